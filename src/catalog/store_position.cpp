#include "catalog/store_position.hpp"

namespace lagoon {

std::optional<generation> make_generation(store_position const& position,
                                          failure& error)
{
    if (position.era > max_era || position.revision > max_revision)
        return fail(error,
                    {step::read_platform,
                     reason::unsupported,
                     {},
                     "era " + std::to_string(position.era) + " or revision " +
                         std::to_string(position.revision) +
                         " of the store is too large"});
    return generation{(position.era << revision_bits) | position.revision};
}

store_position find_position(generation number)
{
    return {number.value >> revision_bits, number.value & max_revision};
}

}  // namespace lagoon
