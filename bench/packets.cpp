// Packets a second through one entry beside a bare relay, in one run.
//
//   bench-packets relay LISTEN SINK     is the relay
//   bench-packets drive ENTRY RELAY SINK TARGET_NAME
//
// The driver keeps a window of packets under way and counts those that reach
// the sink, the address that the catalog gives for the target.

#include "documents/checked_json.hpp"
#include "relay_program.hpp"
#include "wire/codec.hpp"

#include <algorithm>
#include <iostream>
#include <poll.h>
#include <string>
#include <vector>

namespace lagoon {

namespace {

constexpr int rounds = 5;
constexpr duration round_length = std::chrono::seconds{1};
constexpr std::size_t window = 128;  // packets under way
constexpr int wait_ms = 20;          // then the rest of a window is lost

struct driven_path
{
    peer_address to = {};
    std::vector<double> rates = {};  // packets a second, a round each
};

std::string some_packet(std::string const& target)
{
    flow_token const token{
        make_service_id("members"), make_target_id(target), {1}, {2}, 3, {}};
    return encode_packet(
        caller_message{pull_answer{token, {1}, 0, segment_size}});
}

std::size_t take_all(int sink)
{
    static datagram_reader reader;
    std::size_t sum = 0;
    while (std::size_t const count = reader.read(sink))
        sum += count;
    return sum;
}

double drive(int source, int sink, peer_address to, std::string const& packet)
{
    take_all(sink);
    datagram_writer writer;
    std::size_t arrived = 0;
    std::size_t under_way = 0;
    time_point const begin = read_clock();
    while (read_clock() - begin < round_length) {
        for (; under_way < window; ++under_way)
            writer.add(source, to, packet);
        writer.flush(source);
        pollfd waiting{sink, POLLIN, 0};
        bool const any = ::poll(&waiting, 1, wait_ms) > 0;
        std::size_t const count = any ? take_all(sink) : 0;
        arrived += count;
        under_way = any ? under_way - std::min(under_way, count) : 0;
    }
    double const seconds =
        static_cast<double>((read_clock() - begin).count()) / 1e6;
    return static_cast<double>(arrived) / seconds;
}

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

int drive_both(peer_address entry, peer_address relay, peer_address sink,
               std::string const& target)
{
    failure last;
    auto const source = bind_udp_socket({sink.ip, 0}, last);
    auto const into = bind_udp_socket(sink, last);
    if (!source || !into) {
        std::cerr << to_text(last) << '\n';
        return 1;
    }
    std::string const packet = some_packet(target);
    driven_path through_entry{entry, {}};
    driven_path through_relay{relay, {}};
    for (int i = 0; i < rounds; ++i)
        for (driven_path* path : {&through_entry, &through_relay})
            path->rates.push_back(
                drive(source->descriptor, into->descriptor, path->to, packet));
    double const ours = median(through_entry.rates);
    double const bare = median(through_relay.rates);
    std::cout << "packets/s through one entry: " << ours
              << "\npackets/s through a bare relay: " << bare
              << "\nratio: " << ours / bare << '\n';
    return 0;
}

}  // namespace

}  // namespace lagoon

int main(int count, char** arguments)
{
    using namespace lagoon;
    std::vector<std::string> const words(arguments + 1, arguments + count);
    auto const at = [&words](std::size_t i) {
        return parse_address(words.at(i)).value_or(peer_address{});
    };
    if (words.size() == 3 && words[0] == "relay") {
        install_stop_handlers();
        relay_program program{at(1), at(2)};
        failure last;
        if (!program.open(last))
            return 1;
        program.run();
        return 0;
    }
    if (words.size() == 5 && words[0] == "drive")
        return drive_both(at(1), at(2), at(3), words[4]);
    std::cerr << "usage: bench-packets relay|drive ADDRESSES\n";
    return 2;
}
