#include "programs/snipeweirctl/NodeClient.h"

#include "snipeweir/core/StrictJson.h"

#include <civetweb.h>
#include <future>
#include <thread>
#include <utility>

namespace snipeweir {

namespace {

    // The view of a fleet of the design size (see docs/development.md) takes about 1 MB.
    constexpr StrictJsonLimits responseLimits { .maxBytes = 16'777'216, .maxDepth = 32, .maxValues = 1'000'000 };

    /// Response as received, or the reason why there is none. It is passed between threads, so it is not a Result,
    /// whose error is bound to one thread.
    struct RawResponse {
        std::string failure;
        int status = 0;
        std::string body;
    };

    RawResponse fetch(const Address& node, const std::string& path, std::chrono::milliseconds timeout)
    {
        RawResponse response;
        char error[256] = "";
        mg_connection* connection = mg_connect_client(node.ip.c_str(), node.port, 0, error, sizeof(error));
        if (!connection) {
            response.failure = "cannot connect";
            return response;
        }
        mg_printf(
            connection, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", path.c_str(), node.text().c_str());
        if (mg_get_response(connection, error, sizeof(error), static_cast<int>(timeout.count())) < 0) {
            response.failure = "no HTTP response";
            mg_close_connection(connection);
            return response;
        }
        const mg_response_info* info = mg_get_response_info(connection);
        response.status = info->status_code;
        const long long expectedBytes = info->content_length;

        // Read the body. A truncated one must not be taken for a complete one.
        char buffer[16'384];
        int bytesRead = 0;
        while (response.body.size() <= responseLimits.maxBytes
            && (bytesRead = mg_read(connection, buffer, sizeof(buffer))) > 0)
            response.body.append(buffer, static_cast<size_t>(bytesRead));
        if (bytesRead < 0
            || (expectedBytes >= 0 && response.body.size() != static_cast<unsigned long long>(expectedBytes)))
            response.failure = "truncated response";
        mg_close_connection(connection);
        return response;
    }

}

NodeClient::NodeClient(Address node, std::chrono::milliseconds timeout)
    : m_node(std::move(node))
    , m_timeout(timeout)
{
}

Result<Json::Value> NodeClient::get(const std::string& path) const
{
    // Run the request on its own thread, because fetch() may block for longer than the timeout.
    std::packaged_task<RawResponse()> task(
        [node = m_node, path, timeout = m_timeout] { return fetch(node, path, timeout); });
    std::future<RawResponse> future = task.get_future();
    std::thread(std::move(task)).detach();
    const std::string nodeName = "node " + m_node.text();
    if (future.wait_for(m_timeout) != std::future_status::ready)
        return fail(ErrorCode::Timeout, nodeName + ": no response within " + std::to_string(m_timeout.count()) + " ms");

    // Validate the response.
    const RawResponse response = future.get();
    if (!response.failure.empty())
        return fail(ErrorCode::Unavailable, nodeName + ": " + response.failure);
    if (response.status != 200)
        return fail(response.status == 404 ? ErrorCode::NotFound : ErrorCode::Unavailable,
            nodeName + ": HTTP status " + std::to_string(response.status) + " for " + path);
    StrictJsonDocument document = StrictJson::read(response.body, responseLimits);
    if (!document.faults.empty()) {
        const JsonFault& fault = document.faults.back();
        return fail(ErrorCode::InvalidDocument,
            nodeName + ": malformed response: " + fault.path + ": found " + fault.found + ", allowed " + fault.allowed);
    }
    if (!document.value.isObject())
        return fail(ErrorCode::InvalidDocument, nodeName + ": malformed response: must be an object");
    return std::move(document.value);
}

}
