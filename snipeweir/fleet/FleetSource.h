#pragma once

#include "snipeweir/fleet/FleetView.h"

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>

namespace snipeweir {

/// A document in the form that the adapter of its source chose. Nodes pass it on to each other in that form, so that
/// one decoder serves both.
struct SourceDocument {
    Revision revision;
    std::string text;
};

/// Where the fleet's documents come from: set by the adapter of a platform. Reads give no value if the source did not
/// answer.
struct FleetSource {
    template <typename T> using Reading = boost::asio::awaitable<std::optional<T>>;

    std::function<Reading<SourceDocument>()> readBackends;
    std::function<Reading<SourceDocument>()> readOperators;

    /// Gives a document of the backend servers with what has changed since; no value as well if the source does not
    /// remember that far back.
    std::function<Reading<SourceDocument>(SourceDocument known)> readBackendChanges;

    /// Waits until the operators have written something after a revision; gives false after the wait.
    std::function<Reading<bool>(Revision after, std::chrono::milliseconds wait)> watchOperators;

    /// Decoders; what is malformed names no backend server and is counted, and the other entries hold.
    std::function<BackendList(const SourceDocument&)> decodeBackends;
    std::function<OperatorState(const SourceDocument&)> decodeOperators;
};

}
