// Comparison of the routes in a change with those in force. Operators' versions
// only rise, but a store that reverts to an older copy holds earlier ones for
// a while.
//
// Index
//   comparisons   whether a change has earlier or later routes
//   keep_routes   a change without its own routes
#pragma once

#include "catalog/catalog.hpp"

namespace lagoon::detail {

// ---- comparisons --------------------------------------------------------

// Version 0 is unknown and is not compared. A full change without any routes
// counts as earlier than a known version.
bool has_earlier_routes(catalog_change const& change, routes_part const& own);
bool has_later_routes(catalog_change const& change, routes_part const& own);

// ---- keep_routes --------------------------------------------------------

// Returns a full change with `own` in place of its routes.
catalog_change keep_routes(catalog_change change, routes_part const& own);

}  // namespace lagoon::detail
