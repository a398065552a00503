#include "protocol/messages.hpp"

namespace lagoon {

namespace {

struct named_service
{
    service_id operator()(open_request const& open) const
    {
        return open.service;
    }
    template <class Tokened> service_id operator()(Tokened const& message) const
    {
        return message.token.service;
    }
};

struct named_flow
{
    flow_key operator()(open_request const& open) const
    {
        return open.flow;
    }
    template <class Tokened> flow_key operator()(Tokened const& message) const
    {
        return message.token.flow;
    }
};

}  // namespace

service_id service_of(caller_message const& message)
{
    return std::visit(named_service{}, message);
}

flow_key flow_of(caller_message const& message)
{
    return std::visit(named_flow{}, message);
}

}  // namespace lagoon
