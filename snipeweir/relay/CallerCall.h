#pragma once

#include "snipeweir/relay/CallerPath.h"

namespace snipeweir {

/// State of one request of a caller and of the attempts to send it.
struct CallerPath::Call {
    explicit Call(const asio::any_io_executor& executor)
        : wakeTimer(executor)
    {
    }

    RelayRequest request;
    std::shared_ptr<const RouteTable> routes;
    const Route* route = nullptr;
    CallerAuthentication::Credential credential;
    /// Time at which the request had been read.
    SteadyTime arrivedAt;
    /// Later than the arrival if the request waited for earlier ones of its connection.
    SteadyTime startedAt;
    /// Time for which the caller waits for the response.
    std::chrono::milliseconds callerTimeout { 0 };
    /// Whether the request is a retry whose target latency has already passed.
    bool isLate = false;
    /// Cancelled when an attempt ends or the caller disconnects.
    Timer wakeTimer;
    std::vector<std::shared_ptr<Attempt>> attempts;
    /// IP addresses of the nodes that the request was sent to.
    std::vector<std::string> attemptedNodes;
    /// Number of attempts, without those that were refused before they reached a backend server.
    uint32_t attemptCount = 0;
    /// Number of attempts, including those.
    uint32_t offers = 0;
    bool isCallerDisconnected = false;
    /// Whether the node stops, and the request is answered with what is there.
    bool hasWaitEnded = false;
    bool hasBegunResponse = false;
    /// Whether an attempt has the head of its response.
    bool isResponseArriving = false;
    /// The rest of a response that is being read before its turn; null if none is.
    std::shared_ptr<HttpExchange> heldRest;
    std::optional<Response> response;
    /// Tokens of the quota of the request's organisation.
    Quotas::Ticket quota;

    bool isAwaited() const { return !isCallerDisconnected && !hasWaitEnded; }
};

/// One attempt to send a call to one node.
struct CallerPath::Attempt {
    RelayRequest request;
    std::string ip;
    /// Incarnation of the backend server that the request is sent to.
    BackendIncarnation incarnation;
    Cancellation cancellation;
    std::optional<Response> response;
    bool isProcessed = false;
};

}
