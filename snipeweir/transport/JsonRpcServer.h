#pragma once

#include "snipeweir/core/Result.h"
#include "snipeweir/transport/HttpServer.h"

#include <array>
#include <atomic>
#include <functional>
#include <json/value.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeweir {

struct JsonRpcServerSettings {
    size_t maxRequestBytes = 65'536;
    size_t maxDepth = 32; ///< Maximum number of nested objects and arrays.
    std::chrono::milliseconds bodyTimeout { 1000 }; ///< Time for receiving the request body.
    std::string macHeader; ///< Name of the header that carries the MAC of requests and responses.
    /// @return Nonce of the request if it is authentic; empty to refuse it.
    std::function<std::optional<uint64_t>(std::optional<std::string_view> mac, const std::string& body)> authenticate;
    /// @return Value of macHeader in the response to the request with that nonce.
    std::function<std::string(uint64_t nonce, const std::string& body)> sign;
};

/// Why a request was refused. Each reason has its own counter; the authenticator also counts the unauthenticated
/// requests.
enum class JsonRpcRefusal {
    WrongHttpMethod,
    BadBody,
    TooLarge,
    Unauthenticated,
    TooDeep,
    Batch,
    Malformed,
    InvalidRequest,
    UnknownMethod,
    InvalidParameters,
    MethodFailed,
};

constexpr size_t jsonRpcRefusalCount = static_cast<size_t>(JsonRpcRefusal::MethodFailed) + 1;

/// @return Stable snake_case name for metrics.
std::string_view jsonRpcRefusalName(JsonRpcRefusal);

/// JSON-RPC 2.0 server based on libjsonrpccpp, for one path of an HttpServer. Checks the size and nesting depth of a
/// request before the library parses it. Refuses batches, because the size of their responses is unbounded. Add all
/// methods first; then serve() and handle() are safe to call from any thread.
class JsonRpcServer {
public:
    using Method = std::function<Result<Json::Value>(const Json::Value& parameters)>;

    struct Response {
        int status = 200;
        std::string body;
    };

    explicit JsonRpcServer(JsonRpcServerSettings);
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer&) = delete;
    JsonRpcServer& operator=(const JsonRpcServer&) = delete;

    /// Adds a method.
    /// @param stringParameters Names of the parameters. All are strings and required.
    void add(const std::string& name, const std::vector<std::string>& stringParameters, Method);

    /// Authenticates an HTTP request, handles its body and sends the signed response.
    void serve(HttpServerExchange&);

    /// Handles the text of an authenticated request. Never throws.
    Response handle(const std::string& request);

    /// @return Number of requests refused for that reason.
    uint64_t refusedCount(JsonRpcRefusal) const;

private:
    class Connector;

    Response refuse(JsonRpcRefusal, int status);
    void countError(const std::string& responseBody);

    const JsonRpcServerSettings m_settings;
    std::array<std::atomic<uint64_t>, jsonRpcRefusalCount> m_refused {};
    std::unique_ptr<Connector> m_connector;
};

}
