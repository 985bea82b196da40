#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/relay/RequestBody.h"
#include "snipeweir/retry/RetryReport.h"
#include "snipeweir/routes/RouteConfiguration.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace snipeweir {

class HttpExchange;

struct HeaderField {
    std::string name;
    std::string value;
};

/// Cancels the operations for a request that is no longer needed, e.g. because its caller disconnected. For one thread.
class Cancellation {
public:
    bool isCancelled() const { return m_isCancelled; }

    /// Marks the request as cancelled and calls the hook, if any; further calls have no effect.
    void cancel()
    {
        if (m_isCancelled)
            return;
        m_isCancelled = true;
        if (m_hook)
            m_hook();
    }

    /// @param hook Interrupts the current operation; empty if there is none.
    void setHook(std::function<void()> hook) { m_hook = std::move(hook); }

private:
    bool m_isCancelled = false;
    std::function<void()> m_hook;
};

/// A request that is relayed to a backend server of one service.
struct RelayRequest {
    std::string method;
    std::string target;
    /// End-to-end fields to forward, without those that the relay itself sets.
    std::vector<HeaderField> headers;
    /// Null if the request has no body.
    std::shared_ptr<const RequestBody> body;
    CallId id;
    ServiceName service;
    /// Service on the VM of the caller.
    ServiceName callerService;
    /// Name of the organisation whose key the request carries; empty if there is none.
    std::string organisation;
    RouteKind kind = RouteKind::AtMostOnce;
    uint32_t priority = 0;
    /// Time after which the response is late.
    SteadyTime targetAt;
    /// Time by which the backend server must have ended the run.
    SteadyTime deadline;
    /// Time until which the response is awaited: the deadline, or later if the run has to end before a node stops.
    SteadyTime responseDeadline;
    /// Usual service time on a backend server that is not slowed down; zero if unknown.
    std::chrono::microseconds expectedServiceTime { 0 };
    /// Instance of the backend server that the sender has chosen.
    std::string instance;
    /// Returns whether the request may still run after it has waited at this node; empty if nothing can change that.
    std::function<bool()> mayStart;
    /// Called when the head of the response has arrived; may be empty.
    std::function<void()> onResponseHead;
    /// Whether an earlier attempt was sent to a backend server; also set for hedges.
    bool isRetry = false;
    /// Probability that this attempt is a retry or a call of a retried run, 0 to 1; 1 if isRetry is set.
    double retryProbability = 0;

    size_t bodySize() const { return body ? body->size() : 0; }
};

/// Result of one attempt to send a request to a backend server.
struct Response {
    enum class Kind {
        /// The backend server's own response, complete or with the rest of its body still to be read.
        Served,
        /// The request did not run and will not run later.
        NotRun,
        /// The request may have run, and there is no response to forward.
        Unknown,
    };

    Kind kind = Kind::NotRun;
    Reason reason = Reason::None;
    /// Whether the request was sent to the backend server; it then counts as one of the request's attempts.
    bool wasSent = false;
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// Reads the rest of the body; null if the body is complete.
    std::shared_ptr<HttpExchange> rest;
    /// Memory that is reserved for the header fields and the body; null if there is nothing to reserve.
    std::shared_ptr<BodyMemory::Reservation> memory;
    /// Service time at the backend server.
    std::chrono::microseconds serviceTime { 0 };
    /// Slowness of the backend server when the request started, in percent of the usual service time.
    uint32_t slownessPercent = 100;
    RetryReport retryReport;

    static Response notRun(Reason reason, bool wasSent = false)
    {
        Response response;
        response.reason = reason;
        response.wasSent = wasSent;
        return response;
    }

    static Response unknown(Reason reason)
    {
        Response response;
        response.kind = Kind::Unknown;
        response.reason = reason;
        response.wasSent = true;
        return response;
    }
};

}
