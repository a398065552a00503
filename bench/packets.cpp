// Benchmark of packets per second through one entry, compared with a plain UDP
// relay in the same run.
//
//   bench-packets relay LISTEN SINK                    runs the relay
//   bench-packets drive ENTRY RELAY SINK TARGET_NAME   measures both
//
// The driver keeps a fixed number of packets in flight and counts those that
// reach SINK, the address that the catalog gives for the target. It alternates
// rounds through the entry and the relay and prints the median rates.

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
constexpr std::size_t max_in_flight = 128;  // packets
constexpr int receive_timeout_ms = 20;  // then packets in flight count as lost

struct measured_path
{
    peer_address to = {};
    std::vector<double> rates = {};  // packets per second of each round
};

std::string make_packet(std::string const& target)
{
    flow_token const token{
        make_service_id("members"), make_target_id(target), {1}, {2}, 3, {}};
    return encode_packet(
        caller_message{pull_answer{token, {1}, 0, segment_size}});
}

std::size_t drain_socket(int sink)
{
    static datagram_reader reader;
    std::size_t sum = 0;
    while (std::size_t const count = reader.read(sink))
        sum += count;
    return sum;
}

double measure_rate(int sender, int sink, peer_address to,
                    std::string const& packet)
{
    drain_socket(sink);
    datagram_writer writer;
    std::size_t arrived = 0;
    std::size_t in_flight_count = 0;
    time_point const begin = read_clock();
    while (read_clock() - begin < round_length) {
        for (; in_flight_count < max_in_flight; ++in_flight_count)
            writer.add(sender, to, packet);
        writer.flush(sender);
        pollfd waiting{sink, POLLIN, 0};
        bool const is_readable = ::poll(&waiting, 1, receive_timeout_ms) > 0;
        std::size_t const count = is_readable ? drain_socket(sink) : 0;
        arrived += count;
        in_flight_count =
            is_readable ? in_flight_count - std::min(in_flight_count, count)
                        : 0;
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

int compare_rates(peer_address entry, peer_address relay, peer_address sink,
                  std::string const& target)
{
    failure error;
    auto const sender = bind_udp_socket({sink.ip, 0}, error);
    auto const receiver = bind_udp_socket(sink, error);
    if (!sender || !receiver) {
        std::cerr << to_text(error) << '\n';
        return 1;
    }
    std::string const packet = make_packet(target);
    measured_path through_entry{entry, {}};
    measured_path through_relay{relay, {}};
    for (int i = 0; i < rounds; ++i)
        for (measured_path* path : {&through_entry, &through_relay})
            path->rates.push_back(measure_rate(
                sender->descriptor, receiver->descriptor, path->to, packet));
    double const entry_rate = median(through_entry.rates);
    double const relay_rate = median(through_relay.rates);
    std::cout << "packets/s through one entry: " << entry_rate
              << "\npackets/s through a plain relay: " << relay_rate
              << "\nratio: " << entry_rate / relay_rate << '\n';
    return 0;
}

}  // namespace

}  // namespace lagoon

int main(int count, char** arguments)
{
    using namespace lagoon;
    std::vector<std::string> const args(arguments + 1, arguments + count);
    auto const at = [&args](std::size_t i) {
        return parse_address(args.at(i)).value_or(peer_address{});
    };
    if (args.size() == 3 && args[0] == "relay") {
        install_stop_handlers();
        relay_program program{at(1), at(2)};
        failure error;
        if (!program.open(error))
            return 1;
        program.run();
        return 0;
    }
    if (args.size() == 5 && args[0] == "drive")
        return compare_rates(at(1), at(2), at(3), args[4]);
    std::cerr << "usage: bench-packets relay|drive ADDRESSES\n";
    return 2;
}
