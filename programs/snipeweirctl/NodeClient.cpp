#include "programs/snipeweirctl/NodeClient.h"

#include "snipeweir/core/StrictJson.h"
#include "snipeweir/transport/HttpClient.h"

#include <utility>

namespace snipeweir {

namespace {

    // The view of a fleet of the design size (see docs/development.md) takes about 1 MB.
    constexpr StrictJsonLimits responseLimits { .maxBytes = 16'777'216, .maxDepth = 32, .maxValues = 1'000'000 };

}

NodeClient::NodeClient(Address node, std::chrono::milliseconds timeout)
    : m_node(std::move(node))
    , m_timeout(timeout)
{
}

Result<Json::Value> NodeClient::get(const std::string& path) const
{
    const SystemClock clock;
    HttpClient client(clock);
    HttpRequest request;
    request.to = m_node;
    request.target = path;
    request.connectTimeout = m_timeout;
    request.noProgressTimeout = m_timeout;
    request.deadline = clock.now() + m_timeout;
    request.reuse = ConnectionReuse::Forbidden;
    BOOST_LEAF_AUTO(response, client.fetch(std::move(request), responseLimits.maxBytes));

    // Validate the response.
    const std::string nodeName = "node " + m_node.text();
    const auto& [head, body] = response;
    if (head.status != 200)
        return fail(head.status == 404 ? ErrorCode::NotFound : ErrorCode::Unavailable,
            nodeName + ": HTTP status " + std::to_string(head.status) + " for " + path);
    StrictJsonDocument document = StrictJson::read(body, responseLimits);
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
