// Value types shared by all components: time, identifiers, addresses and
// digests.
//
// All of them are immutable values: they are constructed, compared, copied
// and replaced as a whole, never modified member by member.
//
// Index
//   time          time points and durations on the process's monotonic clock
//   identifiers   ids, generations, epochs and digests, one type each
//   addresses     IPv4 address and port
//   hashing       XXH64, used for identifiers, digests and ranking
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace lagoon {

// ---- time ---------------------------------------------------------------

// Tag type for the monotonic clock of a process. Time points of different
// processes are not comparable, so messages carry durations only.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<monotonic_clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = monotonic_clock::duration;      // microseconds
using time_point = monotonic_clock::time_point;  // microseconds since boot

// Longest duration in a message or document. Sums of three don't overflow.
constexpr duration max_duration{INT64_MAX / 4};

// ---- identifiers --------------------------------------------------------

struct service_id
{
    std::uint64_t value = 0;  // hash of the service name
    auto operator<=>(service_id const&) const = default;
};

struct target_id
{
    std::uint64_t value = 0;  // hash of the target VM name
    auto operator<=>(target_id const&) const = default;
};

struct caller_id
{
    std::uint64_t value = 0;  // hash of the caller name
    auto operator<=>(caller_id const&) const = default;
};

struct process_id
{
    std::uint64_t value = 0;  // hash of the process name
    auto operator<=>(process_id const&) const = default;
};

struct flow_key
{
    std::uint64_t value = 0;  // random, chosen by the caller
    auto operator<=>(flow_key const&) const = default;
};

struct request_number
{
    std::uint32_t value = 0;  // increases by one within a flow
    auto operator<=>(request_number const&) const = default;
};

struct run_id
{
    std::uint64_t value = 0;  // identifies a run at the back end of a target
    auto operator<=>(run_id const&) const = default;
};

struct generation
{
    std::uint64_t value = 0;  // increases only; 0 means no configuration yet
    auto operator<=>(generation const&) const = default;
};

struct epoch
{
    std::uint64_t value = 0;  // random, new at each process start
    auto operator<=>(epoch const&) const = default;
};

struct digest
{
    std::uint64_t value = 0;  // XXH64 of the content
    auto operator<=>(digest const&) const = default;
};

// ---- addresses ----------------------------------------------------------

struct peer_address
{
    std::uint32_t ip = 0;    // IPv4, host byte order
    std::uint16_t port = 0;  // UDP or TCP port, host byte order
    auto operator<=>(peer_address const&) const = default;
};

// Renders as "127.0.0.1:9000".
std::string to_text(peer_address const& address);

// ---- hashing ------------------------------------------------------------

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0);
std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second);

// Identifiers are hashes of names. lagoon-sheet rejects a sheet in which two
// names have the same hash.
service_id make_service_id(std::string_view name);
target_id make_target_id(std::string_view name);
caller_id make_caller_id(std::string_view name);
process_id make_process_id(std::string_view name);

namespace detail {

// Hash functor for identifiers, whose values are uniformly distributed.
struct identifier_hash
{
    template <class Identifier>
    std::size_t operator()(Identifier const& id) const noexcept
    {
        return static_cast<std::size_t>(id.value);
    }
};

struct address_hash
{
    std::size_t operator()(peer_address const& address) const noexcept
    {
        return (std::size_t{address.ip} << 16U) | address.port;
    }
};

}  // namespace detail
}  // namespace lagoon
