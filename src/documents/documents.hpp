// The configuration as JSON: on the platform, between peers, and on the
// operator's disk. Only this part knows what a document looks like.
//
// Keys on the platform (each value below one megabyte):
//   head           generation, digest, and the latest changes
//   index          every part and when it last changed
//   fleet          the entries
//   parts/NAME     one service
//
// Index
//   platform_head    the small value that is watched
//   platform_index   read when the head doesn't reach back far enough
//   writing          values to JSON
//   parsing          JSON to values; faults come as json_problem
#pragma once

#include "catalog/catalog.hpp"
#include "documents/checked_json.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

constexpr std::size_t max_head_changes = 64;          // kept in the head
constexpr std::size_t max_document_size = 1'000'000;  // bytes of one value

// ---- platform_head ------------------------------------------------------

// One part that changed at a generation; an empty name is the fleet.
struct part_change
{
    generation changed_at = {};
    std::string name = {};
    bool is_removed = false;
    auto operator<=>(part_change const&) const = default;
};

struct platform_head
{
    catalog_version version = {};
    generation reaches_back = {};  // every change after this is in `recent`
    std::vector<part_change> recent = {};
    auto operator<=>(platform_head const&) const = default;
};

// ---- platform_index -----------------------------------------------------

struct platform_index
{
    catalog_version version = {};
    std::vector<part_change> parts = {};  // the fleet included
    auto operator<=>(platform_index const&) const = default;
};

// ---- writing ------------------------------------------------------------

std::string write_document(platform_head const& head);
std::string write_document(platform_index const& index);
std::string write_document(fleet_part const& part);
std::string write_document(service_part const& part);
std::string write_document(catalog_change const& change);

// ---- parsing ------------------------------------------------------------

std::optional<platform_head> parse_head(json_checker& checker,
                                        std::string const& text);
std::optional<platform_index> parse_index(json_checker& checker,
                                          std::string const& text);
std::optional<fleet_part> parse_fleet(json_checker& checker,
                                      std::string const& text);
std::optional<service_part> parse_service(json_checker& checker,
                                          std::string const& text);
std::optional<catalog_change> parse_change(json_checker& checker,
                                           std::string const& text);

}  // namespace lagoon
