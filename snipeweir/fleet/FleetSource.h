#pragma once

#include "snipeweir/fleet/FleetView.h"
#include "snipeweir/fleet/SourceItems.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace snipeweir {

/// A document in the encoding in which nodes forward it to each other; see encodeItems().
struct SourceDocument {
    SourceVersion version;
    std::string text;
};

/// Source of the fleet's documents, implemented by the adapter of a platform. Reads return no value if the source did
/// not respond.
struct FleetSource {
    template <typename T> using AsyncResult = boost::asio::awaitable<std::optional<T>>;

    std::function<AsyncResult<SourceItems>()> readBackends;
    std::function<AsyncResult<SourceDocument>()> readOperators;

    /// Returns the changes of the backend servers' items since a revision. Also returns no value if the source no
    /// longer has them. If the source is in another era than the one of that revision, changes may be missing.
    std::function<AsyncResult<SourceChanges>(Revision after)> readBackendChanges;

    /// Waits until the operators have written something after a version, or the source is in another era; returns false
    /// after the wait.
    std::function<AsyncResult<bool>(SourceVersion after, std::chrono::milliseconds wait)> watchOperators;

    /// Decodes the item of a backend server.
    std::function<DecodedBackend(const SourceItem&)> decodeBackend;
    /// Decodes the operators' items. Malformed ones are skipped; the others remain valid.
    std::function<OperatorState(const SourceDocument&)> decodeOperators;
};

}
