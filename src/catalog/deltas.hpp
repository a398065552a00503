// Application of deltas to records, and merging of subsequent deltas.
//
// Index
//   find_position    a target in the list of a service
//   apply_services   the configured services after a change
//   merge            one delta from two
#pragma once

#include "catalog/catalog.hpp"

#include <vector>

namespace lagoon::detail {

// ---- find_position ------------------------------------------------------

// Linear search: the targets of a part that was received as a whole keep the
// order of the document and aren't sorted by id.
std::vector<target_record>::iterator
find_position(std::vector<target_record>& targets, target_id id);

// ---- apply_services -----------------------------------------------------

// Returns the configured services after a change; sorted.
std::vector<service_id> apply_services(std::vector<service_id> services,
                                       routes_delta const& delta);

// ---- merge --------------------------------------------------------------

// Merges a later delta into an earlier one; the later record of a target, route
// or service wins.
void merge(service_delta& into, service_delta const& later);
void merge(routes_delta& into, routes_delta const& later);

}  // namespace lagoon::detail
