#include "base/failure.hpp"

namespace lagoon {

char const* to_text(step value)
{
    switch (value) {
    case step::none:
        return "none";
    case step::read_settings:
        return "read_settings";
    case step::read_sheet:
        return "read_sheet";
    case step::read_document:
        return "read_document";
    case step::decode_packet:
        return "decode_packet";
    case step::verify_token:
        return "verify_token";
    case step::route_packet:
        return "route_packet";
    case step::open_flow:
        return "open_flow";
    case step::admit_request:
        return "admit_request";
    case step::run_request:
        return "run_request";
    case step::return_answer:
        return "return_answer";
    case step::adopt_generation:
        return "adopt_generation";
    case step::exchange_with_peer:
        return "exchange_with_peer";
    case step::read_platform:
        return "read_platform";
    case step::call_control:
        return "call_control";
    }
    return "?";
}

char const* to_text(reason value)
{
    switch (value) {
    case reason::none:
        return "none";
    case reason::malformed:
        return "malformed";
    case reason::out_of_range:
        return "out_of_range";
    case reason::unknown_name:
        return "unknown_name";
    case reason::duplicate:
        return "duplicate";
    case reason::unsupported:
        return "unsupported";
    case reason::not_permitted:
        return "not_permitted";
    case reason::wrong_service:
        return "wrong_service";
    case reason::wrong_epoch:
        return "wrong_epoch";
    case reason::bad_token:
        return "bad_token";
    case reason::expired:
        return "expired";
    case reason::too_large:
        return "too_large";
    case reason::overloaded:
        return "overloaded";
    case reason::leaving:
        return "leaving";
    case reason::stale:
        return "stale";
    case reason::conflict:
        return "conflict";
    case reason::unreachable:
        return "unreachable";
    case reason::timed_out:
        return "timed_out";
    }
    return "?";
}

std::string to_text(failure const& value)
{
    std::string text = to_text(value.failed_step);
    text += ": ";
    text += to_text(value.cause);
    if (value.peer != peer_address{})
        text += " (" + to_text(value.peer) + ")";
    if (!value.detail.empty())
        text += ": " + value.detail;
    return text;
}

}  // namespace lagoon
