#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <chrono>
#include <json/value.h>
#include <string>

namespace snipeweir {

/// Sends administrative requests to a node's public listener.
class NodeClient {
public:
    /// @param node Address of the public listener.
    /// @param timeout Longest time for connecting and reading the whole response.
    NodeClient(Address node, std::chrono::milliseconds timeout);

    /// Sends a GET request. Blocks for at most the timeout.
    /// @param path Path such as "/admin/status".
    /// @return The JSON object of a complete response with status 200, or ErrorCode::Unavailable, ErrorCode::Timeout,
    ///     ErrorCode::NotFound (404) or ErrorCode::InvalidDocument.
    Result<Json::Value> get(const std::string& path) const;

private:
    Address m_node;
    std::chrono::milliseconds m_timeout;
};

}
