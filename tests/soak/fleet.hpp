// Loopback addresses of all parts of a run and the settings files of its
// processes.
//
// Index
//   fleet_ports       ports, the same on all machines
//   fleet_addresses   addresses of one run
//   settings texts    settings of the programs under test
#pragma once

#include "plan.hpp"

#include <string>

namespace lagoon::soak {

// ---- fleet_ports --------------------------------------------------------

namespace fleet_ports {

constexpr std::uint16_t packets = 8172;
constexpr std::uint16_t exchange = 7720;
constexpr std::uint16_t ready = 8167;
constexpr std::uint16_t metrics = 7735;
constexpr std::uint16_t outbound = 8162;
constexpr std::uint16_t back_end = 8165;
constexpr std::uint16_t store = 8169;

}  // namespace fleet_ports

// ---- fleet_addresses ----------------------------------------------------

// Addresses are 127.NET.PART.INDEX. Each machine has an address of its own and
// one at the proxy. Other machines use only the latter, so that all datagrams
// between machines pass through the proxy.
struct fleet_addresses
{
    std::uint32_t net = 0;
    std::size_t entries = 0;
    auto operator<=>(fleet_addresses const&) const = default;

    std::uint32_t get_machine_ip(std::size_t machine) const
    {
        return this->make_machine_ip(0, machine);
    }

    std::uint32_t get_proxy_ip(std::size_t machine) const
    {
        return this->make_machine_ip(2, machine);
    }

    std::uint32_t get_caller_ip(std::size_t index) const
    {
        return this->make_ip(4, index);
    }

    std::uint32_t get_store_ip(std::size_t entry) const
    {
        return this->make_ip(5, entry);
    }

    // Four data centres and three services, so that the targets of a data
    // centre belong to different services.
    static std::string get_data_centre(std::size_t machine)
    {
        constexpr std::size_t data_centres = 4;
        return "zg-" + std::to_string(machine % data_centres);
    }

    std::uint32_t get_router_ip() const
    {
        return this->make_ip(6, 0);
    }

    // Shared by all back ends of a service.
    std::uint32_t get_back_end_ip(std::size_t service) const
    {
        return this->make_ip(6, 1 + service);
    }

    // Port on which a machine exchanges datagrams with other machines.
    std::uint16_t get_machine_port(std::size_t machine) const
    {
        return machine < this->entries ? fleet_ports::exchange
                                       : fleet_ports::packets;
    }

    // Returns the index of the machine with this own or proxy address.
    std::size_t find_machine(std::uint32_t ip) const
    {
        std::size_t const part = (ip >> 8U) & 0xFFU;
        std::size_t const index = (ip & 0xFFU) - 1;
        return part % 2 == 1 ? this->entries + index : index;
    }

private:
    std::uint32_t make_ip(std::uint32_t part, std::size_t index) const
    {
        constexpr std::uint32_t loopback = 127U << 24U;
        return loopback | (this->net << 16U) | (part << 8U) |
               static_cast<std::uint32_t>(index + 1);
    }

    std::uint32_t make_machine_ip(std::uint32_t part, std::size_t machine) const
    {
        return machine < this->entries
                   ? this->make_ip(part, machine)
                   : this->make_ip(part + 1, machine - this->entries);
    }
};

// ---- settings texts -----------------------------------------------------

namespace detail {

inline std::string write_address_field(std::string const& name,
                                       std::uint32_t ip, std::uint16_t port)
{
    return "  \"" + name + "\": \"" + to_text(peer_address{ip, port}) + "\",\n";
}

inline std::string write_log_fields(std::uint64_t lines)
{
    return "  \"log_level\": \"info\",\n  \"log_lines_per_second\": " +
           std::to_string(lines) + "\n}\n";
}

}  // namespace detail

inline std::string make_entry_settings(fleet_addresses const& network,
                                       std::size_t machine,
                                       std::uint64_t log_lines_per_second)
{
    using detail::write_address_field;
    constexpr std::size_t max_seeds = 3;
    std::string seeds;
    for (std::size_t i = 0; i < std::min(max_seeds, network.entries); ++i)
        seeds += (i == 0 ? "\"" : ", \"") +
                 to_text(peer_address{network.get_proxy_ip(i),
                                      fleet_ports::exchange}) +
                 "\"";
    std::uint32_t const own = network.get_machine_ip(machine);
    return "{\n  \"name\": \"entry-" + std::to_string(machine) +
           "\",\n  \"data_centre\": \"" +
           fleet_addresses::get_data_centre(machine) + "\",\n" +
           write_address_field("packets", own, fleet_ports::packets) +
           write_address_field("exchange", own, fleet_ports::exchange) +
           write_address_field("ready", own, fleet_ports::ready) +
           write_address_field("metrics", own, fleet_ports::metrics) +
           write_address_field("platform", network.get_store_ip(machine),
                               fleet_ports::store) +
           "  \"seeds\": [" + seeds + "],\n  \"change_limit_ms\": 3000,\n" +
           "  \"evacuation_limit_ms\": 3000,\n" +
           "  \"reset_lost_connections\": true,\n" +
           detail::write_log_fields(log_lines_per_second);
}

inline std::string
make_target_settings(fleet_addresses const& network, std::size_t machine,
                     std::string const& service, std::size_t service_number,
                     bool is_first_start, std::uint64_t log_lines_per_second)
{
    using detail::write_address_field;
    std::uint32_t const own = network.get_machine_ip(machine);
    return "{\n  \"name\": \"target-" + std::to_string(machine) +
           "\",\n  \"service\": \"" + service + "\",\n" +
           write_address_field("packets", own, fleet_ports::packets) +
           write_address_field("outbound", own, fleet_ports::outbound) +
           write_address_field("back_end",
                               network.get_back_end_ip(service_number),
                               fleet_ports::back_end) +
           write_address_field("ready", own, fleet_ports::ready) +
           write_address_field("metrics", own, fleet_ports::metrics) +
           "  \"first_start\": " + (is_first_start ? "true" : "false") +
           ",\n  \"longest_connection_s\": 60,\n  \"stop_limit_s\": 6,\n" +
           detail::write_log_fields(log_lines_per_second);
}

}  // namespace lagoon::soak
