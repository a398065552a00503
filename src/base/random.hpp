// Random numbers. Components take their generator as a template parameter:
// tests pass a seeded one, programs seed it from the operating system.
//
// Index
//   random_source     concept of a generator
//   random_index      a random index below a bound
//   random_fraction   a random number in [0, 1)
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

// Returns an index in [0, bound); `bound` must be at least 1.
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
