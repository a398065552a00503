#include "protocol/relay.hpp"

namespace lagoon {

char const* to_text(offer_verdict value)
{
    switch (value) {
    case offer_verdict::taken:
        return "taken";
    case offer_verdict::waiting:
        return "waiting";
    case offer_verdict::busy:
        return "busy";
    case offer_verdict::not_owner:
        return "not_owner";
    case offer_verdict::unsure:
        return "unsure";
    case offer_verdict::wrong_service:
        return "wrong_service";
    case offer_verdict::leaving:
        return "leaving";
    case offer_verdict::no_answer:
        return "no_answer";
    case offer_verdict::refused:
        return "refused";
    }
    return "?";
}

}  // namespace lagoon
