#pragma once

#include "snipeweir/node/OutboundProxy.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace snipeweir {

/// One attempt to send a call to a serving node.
struct OutboundProxy::Attempt {
    VmId vm;
    Address address;
    CallId id;
    SteadyTime sentAt;
    std::unique_ptr<HttpTransfer> transfer;
    bool hasResponseHead = false;
    bool isDone = false; ///< The response head reports outcome done; the body follows.
    Outcome outcome = Outcome::Unknown;
    Reason reason = Reason::ConnectionLost;
    RetryReason retryReason = RetryReason::AfterRefusal;
    std::string successorKey;
    std::optional<LoadReport> loadReport;
    bool hasReachedNode = true;
    size_t refusalBodyBytes = 0;
};

/// One call of a caller, with the state shared by all its attempts.
struct OutboundProxy::Call {
    HttpServerExchange& exchange;
    CallContext context;
    std::string body;
    CallRegistry::Entry& registryEntry;
    CalledService& service;
    Policy policy;
    uint32_t attemptCount = 0;
    std::vector<VmId> triedVms {};
    Attempt* winner = nullptr; ///< The attempt whose response is forwarded to the caller.
    bool isFinished = false;
    // Result of the last attempt that failed or was refused.
    Outcome lastOutcome = Outcome::NotRun;
    Reason lastReason = Reason::NoEndpoint;
    RetryReason lastRetryReason = RetryReason::AfterRefusal;
    std::string lastSuccessorKey {};
    bool hasLastResponse = false; ///< Whether the last attempt ended with a complete response of the serving node.
    bool hasReachedNode = false; ///< Whether any attempt may have reached a serving node.
};

}
