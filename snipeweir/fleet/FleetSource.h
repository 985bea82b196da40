#pragma once

#include "snipeweir/fleet/FleetView.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace snipeweir {

/// A document in the encoding of the platform's adapter. Nodes forward it to each other in the same encoding, so that
/// one decoder serves both.
struct SourceDocument {
    Revision revision;
    std::string text;
};

/// Source of the fleet's documents, implemented by the adapter of a platform. Reads return no value if the source did
/// not respond.
struct FleetSource {
    template <typename T> using AsyncResult = boost::asio::awaitable<std::optional<T>>;

    std::function<AsyncResult<SourceDocument>()> readBackends;
    std::function<AsyncResult<SourceDocument>()> readOperators;

    /// Applies the changes since the known document and returns the current one. Also returns no value if the source no
    /// longer has the changes since that revision.
    std::function<AsyncResult<SourceDocument>(SourceDocument known)> readBackendChanges;

    /// Waits until the operators have written something after a revision; returns false after the wait.
    std::function<AsyncResult<bool>(Revision after, std::chrono::milliseconds wait)> watchOperators;

    /// Decoders. Malformed entries are skipped; the others remain valid.
    std::function<BackendList(const SourceDocument&)> decodeBackends;
    std::function<OperatorState(const SourceDocument&)> decodeOperators;
};

}
