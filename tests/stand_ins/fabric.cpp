// Stand-in for the users' fabric: hands each packet of a caller to any entry,
// and may drop, repeat, delay or reorder packets, all by a seed.

#include "base/random.hpp"
#include "loop/event_loop.hpp"
#include "loop/signals.hpp"
#include "options.hpp"

#include <deque>
#include <map>
#include <sstream>

namespace lagoon::stand_ins {

namespace {

constexpr socket_index front{0};
constexpr std::uint8_t most_callers = 200;  // sockets towards entries

// Shares are parts in a thousand.
struct fabric_faults
{
    std::uint64_t drop = 0;
    std::uint64_t repeat = 0;
    std::uint64_t delay = 0;  // packets that arrive late, and so out of order
};

struct late_packet
{
    time_point due = {};
    socket_index by = {};
    peer_address to = {};
    std::string bytes = {};
};

constexpr duration lateness = std::chrono::milliseconds{15};

class fabric_program : public default_event_handler
{
public:
    fabric_program(peer_address listen, std::vector<peer_address> entries,
                   fabric_faults faults, std::uint64_t seed)
        : listen(listen), entries(std::move(entries)), faults(faults),
          random(seed), loop(*this, {{}, std::chrono::milliseconds{5}})
    {
    }

    bool open(failure& last)
    {
        std::optional<udp_socket> const socket =
            bind_udp_socket(this->listen, last);
        if (socket)
            this->loop.add_socket(front, *socket);
        return socket.has_value();
    }

    void run()
    {
        this->loop.run();
    }

    bool should_stop() const
    {
        return count_stop_signals() > 0;
    }

    // The entry sees one of the fabric's sockets for each caller.
    void on_datagram(socket_index by, peer_address from, std::string_view bytes)
    {
        if (by == front) {
            std::size_t const which =
                random_index(this->random, this->entries.size());
            this->pass(this->lane_of(from), this->entries[which], bytes);
            return;
        }
        auto const caller = this->callers.find(by);
        if (caller != this->callers.end())
            this->pass(front, caller->second, bytes);
    }

    void on_tick()
    {
        time_point const now = read_clock();
        while (!this->late.empty() && this->late.front().due <= now) {
            late_packet const& one = this->late.front();
            this->loop.send(one.by, one.to, one.bytes);
            this->late.pop_front();
        }
    }

private:
    bool happens(std::uint64_t share)
    {
        return random_index(this->random, 1000) < share;
    }

    void pass(socket_index by, peer_address to, std::string_view bytes)
    {
        if (this->happens(this->faults.drop))
            return;
        if (this->happens(this->faults.delay)) {
            this->late.push_back(
                {read_clock() + lateness, by, to, std::string{bytes}});
            return;
        }
        this->loop.send(by, to, bytes);
        if (this->happens(this->faults.repeat))
            this->loop.send(by, to, bytes);
    }

    socket_index lane_of(peer_address caller)
    {
        auto const known = this->lanes.find(caller);
        if (known != this->lanes.end())
            return known->second;
        // The oldest caller's socket goes to the newest.
        this->last_lane =
            static_cast<std::uint8_t>(this->last_lane % most_callers + 1);
        socket_index const fresh{this->last_lane};
        if (this->callers.contains(fresh))
            this->lanes.erase(this->callers[fresh]);
        failure last;
        std::optional<udp_socket> const socket =
            bind_udp_socket({this->listen.ip, 0}, last);
        if (socket)
            this->loop.add_socket(fresh, *socket);
        this->lanes[caller] = fresh;
        this->callers[fresh] = caller;
        return fresh;
    }

    peer_address listen;
    std::vector<peer_address> entries;
    fabric_faults faults;
    seeded_random random;
    std::uint8_t last_lane = 0;
    std::map<peer_address, socket_index> lanes = {};
    std::map<socket_index, peer_address> callers = {};
    std::deque<late_packet> late = {};
    event_loop<fabric_program> loop;
};

std::vector<peer_address> parse_entries(std::string const& text)
{
    std::vector<peer_address> entries;
    std::istringstream parts{text};
    std::string part;
    while (std::getline(parts, part, ','))
        if (std::optional<peer_address> const one = parse_address(part))
            entries.push_back(*one);
    return entries;
}

}  // namespace

}  // namespace lagoon::stand_ins

int main(int count, char** arguments)
{
    using namespace lagoon;
    using namespace lagoon::stand_ins;
    po::options_description options{"stand-in for the fabric"};
    auto const share = [] {
        return po::value<std::uint64_t>()->default_value(0);
    };
    options.add_options()("listen", po::value<std::string>()->required(),
                          "address that callers use")(
        "entries", po::value<std::string>()->required(),
        "addresses, joined by commas")("drop", share(), "parts in a thousand")(
        "repeat", share(), "parts in a thousand")("delay", share(),
                                                  "parts in a thousand")(
        "seed", po::value<std::uint64_t>()->default_value(1), "seed");
    po::variables_map const given = read_options(count, arguments, options);
    install_stop_handlers();
    fabric_program program{address_option(given, "listen"),
                           parse_entries(given["entries"].as<std::string>()),
                           {given["drop"].as<std::uint64_t>(),
                            given["repeat"].as<std::uint64_t>(),
                            given["delay"].as<std::uint64_t>()},
                           given["seed"].as<std::uint64_t>()};
    failure last;
    if (!program.open(last)) {
        std::cerr << to_text(last) << '\n';
        return 1;
    }
    program.run();
    return 0;
}
