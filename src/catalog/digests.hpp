// Digests of the parts of a catalog; those of whole parts are declared with the
// records. The digest of a catalog is the sum of those of its parts.
//
// Index
//   compute_digest_gain   effect of a delta on that sum
#pragma once

#include "catalog/catalog.hpp"

#include <cstdint>

namespace lagoon::detail {

// ---- compute_digest_gain ------------------------------------------------

// Returns the amount by which a delta increases the digest sum of a service,
// modulo 2^64; `old` is null when the service is new.
std::uint64_t compute_digest_gain(service_part const* old,
                                  service_delta const& delta);

// The same for the routes.
std::uint64_t compute_digest_gain(routes_part const& old,
                                  routes_delta const& delta);

}  // namespace lagoon::detail
