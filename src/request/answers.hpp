// Buffers the answers of a target until their callers have received them.
//
// Index
//   answer_summary   length and digest of a complete answer
//   answer_store     the aggregate: appends, slices and discards answers
//                    within a memory limit
#pragma once

#include "request/request_table.hpp"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace lagoon {

// ---- answer_summary -----------------------------------------------------

struct answer_summary
{
    std::uint64_t length = 0;  // bytes
    digest content = {};       // of all its bytes
    auto operator<=>(answer_summary const&) const = default;
};

// ---- answer_store -------------------------------------------------------

class answer_store
{
public:
    explicit answer_store(std::size_t max_bytes);

    // Adds bytes to the end of an answer, also above the limit.
    void append(request_key key, std::string_view bytes);

    // Marks the answer as complete and computes its digest.
    void finalise(request_key key);

    // Returns up to segment_size bytes from `offset`; empty past the end and
    // for an unknown request.
    std::string slice(request_key key, std::uint64_t offset) const;

    // Returns the number of bytes so far; 0 for an unknown request.
    std::uint64_t length(request_key key) const;

    // The digest is valid only after finalise().
    answer_summary summarise(request_key key) const;

    void discard(request_key key);

    // Returns whether the limit is reached; no further run should start then.
    // Running requests may still exceed it.
    bool is_full() const;

private:
    struct stored_answer
    {
        std::string bytes = {};
        digest content = {};
        auto operator<=>(stored_answer const&) const = default;
    };

    std::size_t max_bytes;        // bytes
    std::size_t total_bytes = 0;  // bytes
    std::unordered_map<request_key, stored_answer, detail::request_key_hash>
        answers = {};
};

}  // namespace lagoon
