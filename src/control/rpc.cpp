#include "control/rpc.hpp"

#include <jsonrpccpp/client/batchcall.h>
#include <jsonrpccpp/server.h>

namespace lagoon {

namespace {

// ---- JSON ---------------------------------------------------------------

std::string render(Json::Value const& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

// Fails on invalid text and on deep nesting, which the library's own parser
// reports by an exception.
bool parse(std::string const& text, Json::Value& value)
{
    constexpr int max_depth = 64;
    Json::CharReaderBuilder builder;
    builder["stackLimit"] = max_depth;
    std::unique_ptr<Json::CharReader> const reader(builder.newCharReader());
    std::string errors;
    try {
        return reader->parse(text.data(), text.data() + text.size(), &value,
                             &errors);
    } catch (Json::Exception const&) {
        return false;
    }
}

// ---- server -------------------------------------------------------------

// Stores the response in a string; the event loop sends it.
class text_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override
    {
        return true;
    }

    bool StopListening() override
    {
        return true;
    }

    bool SendResponse(std::string const& response, void* slot) override
    {
        *static_cast<std::string*>(slot) = response;
        return true;
    }
};

class method_server : public jsonrpc::AbstractServer<method_server>
{
public:
    method_server(jsonrpc::AbstractServerConnector& connector,
                  rpc_handlers const& handlers)
        : AbstractServer(connector), handlers(handlers)
    {
        this->bindAndAddMethod(jsonrpc::Procedure("status",
                                                  jsonrpc::PARAMS_BY_NAME,
                                                  jsonrpc::JSON_OBJECT, NULL),
                               &method_server::status);
        this->bindAndAddMethod(
            jsonrpc::Procedure("changes_since", jsonrpc::PARAMS_BY_NAME,
                               jsonrpc::JSON_OBJECT, "generation",
                               jsonrpc::JSON_INTEGER, NULL),
            &method_server::changes_since);
    }

    void status(Json::Value const&, Json::Value& result)
    {
        parse(this->handlers.status(this->handlers.context), result);
    }

    void changes_since(Json::Value const& input, Json::Value& result)
    {
        Json::Value const& generation = input["generation"];
        unsigned long long const since =
            generation.isUInt64() ? generation.asUInt64() : 0;
        parse(this->handlers.changes_since(this->handlers.context, since),
              result);
    }

private:
    rpc_handlers handlers;
};

std::string render_parse_error()
{
    Json::Value response(Json::objectValue);
    response["jsonrpc"] = "2.0";
    response["id"] = Json::Value();
    response["error"]["code"] = jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR;
    response["error"]["message"] = "request is not JSON, or is nested too deep";
    return render(response);
}

// ---- client -------------------------------------------------------------

// The library only renders batches. A batch of one call is a list with one
// item, which is the plain call.
std::string render_single_call(jsonrpc::BatchCall const& batch)
{
    Json::Value calls;
    parse(batch.toString(), calls);
    return render(calls[0]);
}

}  // namespace

// ---- rpc_server ---------------------------------------------------------

struct rpc_server::implementation
{
    explicit implementation(rpc_handlers const& handlers)
        : server(connector, handlers)
    {
    }

    text_connector connector;
    method_server server;
};

rpc_server::rpc_server(rpc_handlers const& handlers)
    : impl(new implementation(handlers))
{
}

rpc_server::~rpc_server() = default;

std::string rpc_server::handle_request(std::string const& request)
{
    Json::Value parsed;
    if (!parse(request, parsed))
        return render_parse_error();
    std::string response;
    this->impl->connector.OnRequest(request, &response);
    return response;
}

// ---- requests -----------------------------------------------------------

std::string make_rpc_status_request()
{
    jsonrpc::BatchCall batch;
    batch.addCall("status", Json::Value(Json::objectValue));
    return render_single_call(batch);
}

std::string make_rpc_changes_request(unsigned long long generation)
{
    Json::Value parameters(Json::objectValue);
    parameters["generation"] = Json::Value::UInt64(generation);
    jsonrpc::BatchCall batch;
    batch.addCall("changes_since", parameters);
    return render_single_call(batch);
}

// ---- rpc_response -------------------------------------------------------

rpc_response parse_rpc_response(std::string const& text)
{
    Json::Value value;
    if (!parse(text, value) || !value.isObject())
        return {false, "", "response is not JSON"};
    if (value.isMember("error") && !value["error"].isNull())
        return {false, "", render(value["error"])};
    if (!value.isMember("result"))
        return {false, "", "response has no result"};
    return {true, render(value["result"]), ""};
}

}  // namespace lagoon
