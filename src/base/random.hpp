// Where random numbers come from is a parameter of the parts that need them,
// so that tests give a seed and programs give the system's entropy.
//
// Index
//   random_source     the concept
//   random_index      an index below a bound
//   random_fraction   a number in [0, 1)
#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>

namespace lagoon {

// ---- random_source ------------------------------------------------------

template <class R>
concept random_source =
    std::uniform_random_bit_generator<R> && std::copyable<R>;

using seeded_random = std::mt19937_64;

// ---- random_index -------------------------------------------------------

// An index in [0, bound). The bound is at least 1.
template <random_source R>
std::size_t random_index(R& random, std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>{0, bound - 1}(random);
}

// ---- random_fraction ----------------------------------------------------

template <random_source R> double random_fraction(R& random)
{
    return std::uniform_real_distribution<double>{0, 1}(random);
}

}  // namespace lagoon
