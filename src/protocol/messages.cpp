#include "protocol/messages.hpp"

namespace lagoon {

namespace {

struct service_getter
{
    service_id operator()(open_request const& open) const
    {
        return open.service;
    }
    template <class TokenMessage>
    service_id operator()(TokenMessage const& message) const
    {
        return message.token.service;
    }
};

struct flow_getter
{
    flow_key operator()(open_request const& open) const
    {
        return open.flow;
    }
    template <class TokenMessage>
    flow_key operator()(TokenMessage const& message) const
    {
        return message.token.flow;
    }
};

}  // namespace

service_id get_service(caller_message const& message)
{
    return std::visit(service_getter{}, message);
}

flow_key get_flow(caller_message const& message)
{
    return std::visit(flow_getter{}, message);
}

}  // namespace lagoon
