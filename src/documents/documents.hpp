// JSON documents of the configuration, as stored on the platform and on the
// operator's disk and sent between peers. The format is defined here only.
//
// Keys on the platform (each value is smaller than 1 MB):
//   head           generation, digest and the latest changes
//   index          all parts with the generation of their last change
//   fleet          the entries
//   parts/NAME     one service
//
// Index
//   platform_head    small document that processes watch
//   platform_index   list of parts, read if the head doesn't reach back far
//                    enough
//   writing          values to JSON
//   parsing          JSON to values; errors are reported as json_problem
#pragma once

#include "catalog/catalog.hpp"
#include "documents/checked_json.hpp"

#include <optional>
#include <string>
#include <vector>

namespace lagoon {

constexpr std::size_t max_head_changes = 64;          // listed in the head
constexpr std::size_t max_document_size = 1'000'000;  // bytes

// ---- platform_head ------------------------------------------------------

// Last change of a part; the name is empty for the fleet.
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
    generation reaches_back = {};  // `recent` lists all changes since
    std::vector<part_change> recent = {};
    auto operator<=>(platform_head const&) const = default;
};

// ---- platform_index -----------------------------------------------------

struct platform_index
{
    catalog_version version = {};
    std::vector<part_change> parts = {};  // including the fleet
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
