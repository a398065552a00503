#include "catalog/route_versions.hpp"

namespace lagoon::detail {

namespace {

std::uint64_t find_version(catalog_change const& change)
{
    if (change.routes)
        return change.routes->version;
    return change.route_delta ? change.route_delta->version : 0;
}

bool lacks_routes(catalog_change const& change)
{
    return change.base == generation{} && !change.route_delta &&
           compute_digest(change.routes.value_or(routes_part{})) == digest{};
}

}  // namespace

bool has_earlier_routes(catalog_change const& change, routes_part const& own)
{
    std::uint64_t const version = find_version(change);
    bool const is_lower = version != 0 && version < own.version;
    return is_lower || (own.version != 0 && lacks_routes(change));
}

bool has_later_routes(catalog_change const& change, routes_part const& own)
{
    return own.version != 0 && find_version(change) > own.version;
}

catalog_change keep_routes(catalog_change change, routes_part const& own)
{
    std::uint64_t const removed =
        compute_digest(change.routes.value_or(routes_part{})).value;
    change.result_digest.value += compute_digest(own).value - removed;
    change.routes = own;
    change.routes->changed_at = change.to;
    return change;
}

}  // namespace lagoon::detail
