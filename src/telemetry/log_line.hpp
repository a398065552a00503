// A structured log line: an event and its fields as the members of a JSON
// object.
//
// Index
//   log_line   builds a line field by field
#pragma once

#include "base/values.hpp"

#include <concepts>
#include <string>
#include <string_view>

namespace lagoon {

// ---- log_line -----------------------------------------------------------

class log_line
{
public:
    explicit log_line(std::string_view event);

    log_line& with(std::string_view key, std::string_view text);
    log_line& with(std::string_view key, peer_address address);

    // Written in milliseconds with three decimals.
    log_line& with(std::string_view key, duration span);

    template <std::integral Number>
    log_line& with(std::string_view key, Number number)
    {
        return this->with_number(key, static_cast<std::int64_t>(number));
    }

    std::string get_text() const;

private:
    log_line& with_number(std::string_view key, std::int64_t number);
    void begin_field(std::string_view key);

    std::string text;
};

}  // namespace lagoon
