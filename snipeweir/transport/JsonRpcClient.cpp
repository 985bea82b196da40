#include "snipeweir/transport/JsonRpcClient.h"

#include "snipeweir/transport/JsonDepth.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <memory>

namespace snipeweir {

namespace {

    // The exception specifications of the library's client functions allow only JsonRpcException; any other exception
    // terminates the process. This check therefore rejects replies for which the library's JSON parser or value
    // accessors would throw a different exception.
    bool isSafeReply(const std::string& text)
    {
        if (isNestedDeeperThan(text, JsonRpcClient::maxReplyDepth))
            return false;
        Json::Value value;
        const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr) || !value.isObject())
            return false;
        if (!value.isMember("error"))
            return true;
        const Json::Value& error = value["error"];
        return error.isObject() && error["code"].isInt() && error["message"].isString();
    }

    class Connector : public jsonrpc::IClientConnector {
    public:
        explicit Connector(const JsonRpcClient::Transport& transport)
            : m_transport(transport)
        {
        }

        // The override must repeat the deprecated exception specification of the base class.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated"
        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            bool hasReply = false;
            bool isSafe = false;
            try {
                hasReply = m_transport(message, result);
                isSafe = hasReply && isSafeReply(result);
            } catch (...) {
                isSafe = false;
            }
            if (!hasReply)
                throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no reply");
            if (!isSafe)
                throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE, "invalid reply");
        }
#pragma GCC diagnostic pop

    private:
        const JsonRpcClient::Transport& m_transport;
    };

}

JsonRpcClient::JsonRpcClient(Transport transport)
    : m_transport(std::move(transport))
{
}

JsonRpcReply JsonRpcClient::call(const std::string& method, const Json::Value& parameters) const
{
    JsonRpcReply reply;
    try {
        Connector connector(m_transport);
        jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
        client.CallMethod(method, parameters, reply.result);
        reply.isOk = true;
    } catch (const jsonrpc::JsonRpcException& exception) {
        reply.errorCode = exception.GetCode();
        reply.error = exception.what();
    } catch (const std::exception& exception) {
        reply.error = exception.what();
    }
    return reply;
}

}
