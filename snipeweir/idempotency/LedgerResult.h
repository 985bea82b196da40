#pragma once

#include "snipeweir/core/CallTypes.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace snipeweir {

/// Complete response of a backend server, kept for repeats of its key.
struct StoredResponse {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /// @return Bytes of body and headers.
    size_t size() const
    {
        size_t bytes = body.size();
        for (const auto& [name, value] : headers)
            bytes += name.size() + value.size();
        return bytes;
    }
};

/// State of a key in the executor's ledger, and the action that it requires of the node.
struct LedgerResult {
    enum class Kind {
        /// The call owns the run. It must end in seal(), finish() or finishUnknown().
        RunNow,
        /// Another call with this key is running; wait for its end and query the ledger again.
        AttachToRun,
        /// The run is over; return the stored response (done).
        Stored,
        /// The key will never run here. The calling node continues with the successor; without one, not_run.
        Sealed,
        /// As Sealed, but nothing was recorded for this key alone, so there is no successor (not_run).
        Refused,
        /// Whether the key ran is not known or the response was not kept (unknown). It will not be run by this call.
        Unknown,
        /// Queries only: no call with this key has arrived.
        Absent,
    };
    Kind kind = Kind::Unknown;
    Reason reason = Reason::None;
    /// Text of the successor key; empty if there is none.
    std::string successor;
    std::shared_ptr<const StoredResponse> response;
};

}
