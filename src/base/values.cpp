#include "base/values.hpp"

#include <xxhash.h>

namespace lagoon {

namespace {

// One seed per kind of name: a caller and a service with the same name get
// different identifiers.
constexpr std::uint64_t service_seed = 1;
constexpr std::uint64_t target_seed = 2;
constexpr std::uint64_t caller_seed = 3;
constexpr std::uint64_t process_seed = 4;

}  // namespace

std::string to_text(peer_address const& address)
{
    auto const octet = [&address](int shift) {
        return std::to_string((address.ip >> shift) & 0xFFU);
    };
    return octet(24) + "." + octet(16) + "." + octet(8) + "." + octet(0) + ":" +
           std::to_string(address.port);
}

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_pair(std::uint64_t first, std::uint64_t second)
{
    return XXH64(&first, sizeof first, second);
}

service_id make_service_id(std::string_view name)
{
    return {hash_bytes(name, service_seed)};
}

target_id make_target_id(std::string_view name)
{
    return {hash_bytes(name, target_seed)};
}

caller_id make_caller_id(std::string_view name)
{
    return {hash_bytes(name, caller_seed)};
}

process_id make_process_id(std::string_view name)
{
    return {hash_bytes(name, process_seed)};
}

}  // namespace lagoon
