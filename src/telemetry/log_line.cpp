#include "telemetry/log_line.hpp"

#include <array>
#include <charconv>
#include <cstdio>

namespace lagoon {

namespace {

// Escapes quotes and backslashes. Replaces control characters, which a JSON
// string must not contain.
void append_escaped(std::string& to, std::string_view text)
{
    for (char const character : text) {
        if (character == '"' || character == '\\')
            to += '\\';
        to += static_cast<unsigned char>(character) < 0x20 ? '?' : character;
    }
}

}  // namespace

log_line::log_line(std::string_view event)
{
    this->text = "\"event\":\"";
    append_escaped(this->text, event);
    this->text += '"';
}

void log_line::begin_field(std::string_view key)
{
    this->text += ",\"";
    this->text += key;
    this->text += "\":";
}

log_line& log_line::with(std::string_view key, std::string_view value)
{
    this->begin_field(key);
    this->text += '"';
    append_escaped(this->text, value);
    this->text += '"';
    return *this;
}

log_line& log_line::with(std::string_view key, peer_address address)
{
    return this->with(key, std::string_view{to_text(address)});
}

log_line& log_line::with(std::string_view key, duration span)
{
    std::array<char, 32> digits{};
    int const size = std::snprintf(digits.data(), digits.size(), "%.3f",
                                   static_cast<double>(span.count()) / 1000.0);
    this->begin_field(key);
    this->text.append(digits.data(), static_cast<std::size_t>(size));
    return *this;
}

log_line& log_line::with_number(std::string_view key, std::int64_t number)
{
    std::array<char, 24> digits{};
    auto const [end, error] =
        std::to_chars(digits.data(), digits.data() + digits.size(), number);
    this->begin_field(key);
    this->text.append(digits.data(), end);
    return *this;
}

std::string log_line::get_text() const
{
    return this->text;
}

}  // namespace lagoon
