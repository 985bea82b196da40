#pragma once

#include <cstddef>
#include <functional>
#include <json/value.h>
#include <string>

namespace snipeweir {

/// Result of a JSON-RPC call.
struct JsonRpcReply {
    bool isOk = false;
    Json::Value result; ///< Valid if isOk.
    /// Error code sent by the server, or that of libjsonrpccpp if the transport failed or the reply is invalid.
    int errorCode = 0;
    std::string error; ///< Error message; empty if isOk.
};

/// JSON-RPC 2.0 client based on libjsonrpccpp, over a transport supplied by the caller. This header uses no types of
/// the library, whose client headers do not compile as C++17, and must itself compile as C++14. call() is thread-safe
/// if the transport is.
class JsonRpcClient {
public:
    /// Sends the text of a request and receives the text of the reply. @return false if no reply was received.
    using Transport = std::function<bool(const std::string& request, std::string& response)>;

    /// Maximum number of nested objects and arrays in a reply.
    static constexpr std::size_t maxReplyDepth = 32;

    explicit JsonRpcClient(Transport transport);

    /// Calls a method and waits for its reply. Never throws; reports every failure in the returned reply.
    JsonRpcReply call(const std::string& method, const Json::Value& parameters) const;

private:
    Transport m_transport;
};

}
