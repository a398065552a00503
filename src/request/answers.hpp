// Answers that a target holds until their callers have them whole.
//
// Index
//   answer_summary    what is known of an answer's length
//   answer_store   the aggregate: appends, slices and discards within a bound
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
    digest content = {};       // of those bytes
    auto operator<=>(answer_summary const&) const = default;
};

// ---- answer_store -------------------------------------------------------

class answer_store
{
public:
    explicit answer_store(std::size_t max_bytes);

    void append(request_key key, std::string_view bytes);

    // The answer is whole: its digest is worked out once.
    void finalise(request_key key);

    // At most segment_size bytes from `offset`, fewer at the end.
    std::string slice(request_key key, std::uint64_t offset) const;

    std::uint64_t length(request_key key) const;
    answer_summary summarise(request_key key) const;  // of a sealed answer
    void discard(request_key key);

    // Whether the bound is reached, so that no further run should start.
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
