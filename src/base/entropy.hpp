// Random bytes from the operating system, for epochs, keys and seeds.
//
// Index
//   random_uint64   64 random bits
//   random_bytes    an array of random bytes
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <sodium.h>

namespace lagoon {

// ---- random_uint64 ------------------------------------------------------

inline std::uint64_t random_uint64()
{
    std::uint64_t word = 0;
    randombytes_buf(&word, sizeof word);
    return word;
}

// ---- random_bytes -------------------------------------------------------

template <std::size_t Size> std::array<std::uint8_t, Size> random_bytes()
{
    std::array<std::uint8_t, Size> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    return bytes;
}

}  // namespace lagoon
