#include "snipeweir/transport/JsonRpcServer.h"

#include "snipeweir/transport/JsonDepth.h"

#include <json/json.h>
#include <jsonrpccpp/server.h>
#include <map>

namespace snipeweir {

namespace {

    constexpr std::array<std::string_view, jsonRpcRefusalCount> refusalNames { "wrong_http_method", "bad_body",
        "too_large", "unauthenticated", "too_deep", "batch", "malformed", "invalid_request", "unknown_method",
        "invalid_parameters", "method_failed" };

    // JSON-RPC reserves -32099 to -32000 for server-defined errors; libjsonrpccpp uses -32604 and below.
    constexpr int methodErrorBase = -32000;

}

std::string_view jsonRpcRefusalName(JsonRpcRefusal refusal) { return refusalNames.at(static_cast<size_t>(refusal)); }

/// Passes request texts to libjsonrpccpp, which calls back to run the methods.
class JsonRpcServer::Connector final : public jsonrpc::AbstractServerConnector,
                                       public jsonrpc::IProcedureInvokationHandler {
public:
    Connector()
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        SetHandler(m_handler.get());
    }

    void add(const std::string& name, const std::vector<std::string>& stringParameters, Method method)
    {
        jsonrpc::Procedure procedure;
        procedure.SetProcedureName(name);
        procedure.SetProcedureType(jsonrpc::RPC_METHOD);
        procedure.SetReturnType(jsonrpc::JSON_OBJECT);
        procedure.SetParameterDeclarationType(jsonrpc::PARAMS_BY_NAME);
        for (const std::string& parameter : stringParameters)
            procedure.AddParameter(parameter, jsonrpc::JSON_STRING);
        m_handler->AddProcedure(procedure);
        m_methods[name] = std::move(method);
    }

    // The HttpServer listens for connections, so there is nothing to start or stop.
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }

    bool SendResponse(const std::string& responseBody, void* response) override
    {
        static_cast<Response*>(response)->body = responseBody;
        return true;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        const Method& method = m_methods.at(procedure.GetProcedureName());
        const auto error = errorOf([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(output, method(input));
            return {};
        });
        if (error)
            throw jsonrpc::JsonRpcException(methodErrorBase - static_cast<int>(error->code), error->message);
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
    std::map<std::string, Method> m_methods;
};

JsonRpcServer::JsonRpcServer(JsonRpcServerSettings settings)
    : m_settings(std::move(settings))
    , m_connector(std::make_unique<Connector>())
{
}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::add(const std::string& name, const std::vector<std::string>& stringParameters, Method method)
{
    m_connector->add(name, stringParameters, std::move(method));
}

JsonRpcServer::Response JsonRpcServer::refuse(JsonRpcRefusal refusal, int status)
{
    m_refused.at(static_cast<size_t>(refusal)).fetch_add(1, std::memory_order_relaxed);
    return { status, "{\"refused\":\"" + std::string(jsonRpcRefusalName(refusal)) + "\"}\n" };
}

void JsonRpcServer::serve(HttpServerExchange& exchange)
{
    const auto respond = [&](const Response& response, const std::string& mac) {
        std::vector<HttpHeader> headers { { "Content-Type", "application/json" } };
        if (!mac.empty())
            headers.push_back({ m_settings.macHeader, mac });
        exchange.respond(response.status, headers, response.body);
    };
    if (exchange.method() != "POST")
        return respond(refuse(JsonRpcRefusal::WrongHttpMethod, 405), "");

    // A request without the MAC header is refused without reading its body.
    const auto mac = exchange.header(m_settings.macHeader.c_str());
    std::string body;
    if (mac) {
        const auto error = errorOf([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(
                body, exchange.readBody(m_settings.maxRequestBytes, exchange.beganAt() + m_settings.bodyTimeout));
            return {};
        });
        if (error && error->code == ErrorCode::TooLarge)
            return respond(refuse(JsonRpcRefusal::TooLarge, 413), "");
        if (error)
            return respond(refuse(JsonRpcRefusal::BadBody, 400), "");
    }
    const auto nonce = m_settings.authenticate(mac, body);
    if (!nonce)
        return respond(refuse(JsonRpcRefusal::Unauthenticated, 401), "");
    const Response response = handle(body);
    respond(response, m_settings.sign(*nonce, response.body));
}

JsonRpcServer::Response JsonRpcServer::handle(const std::string& request)
{
    if (request.size() > m_settings.maxRequestBytes)
        return refuse(JsonRpcRefusal::TooLarge, 413);
    if (isNestedDeeperThan(request, m_settings.maxDepth))
        return refuse(JsonRpcRefusal::TooDeep, 400);
    const size_t start = request.find_first_not_of(" \t\r\n");
    if (start != std::string::npos && request[start] == '[')
        return refuse(JsonRpcRefusal::Batch, 400);

    // The library does not catch exceptions of its JSON parser or of the methods.
    Response response;
    try {
        m_connector->OnRequest(request, &response);
        countError(response.body);
    } catch (...) {
        return refuse(JsonRpcRefusal::MethodFailed, 500);
    }
    return response;
}

void JsonRpcServer::countError(const std::string& responseBody)
{
    // The library's JSON writer sorts keys, so the response to a failed request starts with "error".
    if (!responseBody.starts_with("{\"error\":"))
        return;
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(responseBody.data(), responseBody.data() + responseBody.size(), &value, nullptr);
    const int code = value["error"]["code"].asInt();
    JsonRpcRefusal refusal = JsonRpcRefusal::MethodFailed;
    if (code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR)
        refusal = JsonRpcRefusal::Malformed;
    else if (code == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND)
        refusal = JsonRpcRefusal::UnknownMethod;
    else if (code == jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS)
        refusal = JsonRpcRefusal::InvalidParameters;
    else if (code <= jsonrpc::Errors::ERROR_RPC_INVALID_REQUEST)
        refusal = JsonRpcRefusal::InvalidRequest;
    m_refused.at(static_cast<size_t>(refusal)).fetch_add(1, std::memory_order_relaxed);
}

uint64_t JsonRpcServer::refusedCount(JsonRpcRefusal refusal) const
{
    return m_refused.at(static_cast<size_t>(refusal)).load(std::memory_order_relaxed);
}

}
