// Position of a store that may revert to an older copy. The store counts how
// often it did (its era); revisions are assigned again in each era.
//
// Index
//   store_position   era and revision; converts them to a generation and back
#pragma once

#include "base/failure.hpp"
#include "base/values.hpp"

#include <cstdint>
#include <optional>

namespace lagoon {

// ---- store_position -----------------------------------------------------

struct store_position
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;
    auto operator<=>(store_position const&) const = default;
};

// A generation holds the era in its upper 20 bits and the revision in its lower
// 44, so that generations are ordered by era first.
constexpr unsigned revision_bits = 44;
constexpr std::uint64_t max_revision = (std::uint64_t{1} << revision_bits) - 1;
constexpr std::uint64_t max_era =
    (std::uint64_t{1} << (64 - revision_bits)) - 1;

// Returns the generation of a position, or a failure if the era or the revision
// exceeds its bits.
std::optional<generation> make_generation(store_position const& position,
                                          failure& error);

store_position find_position(generation number);

}  // namespace lagoon
