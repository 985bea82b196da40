#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/relay/RequestBody.h"
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

/// Cancels what is done for a request whose caller has left. For one thread.
class Cancellation {
public:
    bool isCancelled() const { return m_isCancelled; }

    /// Runs the hook, if any, and remembers the cancellation.
    void cancel()
    {
        if (m_isCancelled)
            return;
        m_isCancelled = true;
        if (m_hook)
            m_hook();
    }

    /// @param hook Interrupts the current step; empty when there is none.
    void setHook(std::function<void()> hook) { m_hook = std::move(hook); }

private:
    bool m_isCancelled = false;
    std::function<void()> m_hook;
};

/// A request on its way to a backend server of one service.
struct RelayRequest {
    std::string method;
    std::string target;
    /// Fields to pass on: neither those of one connection nor those that the system sets.
    std::vector<HeaderField> headers;
    /// Null for none.
    std::shared_ptr<const RequestBody> body;
    CallId id;
    ServiceName service;
    /// Service on the VM where the request began.
    ServiceName callerService;
    RouteKind kind = RouteKind::AtMostOnce;
    uint32_t priority = 0;
    SteadyTime targetAt;
    SteadyTime deadline;
    /// Usual run on an undisturbed backend server; zero if not known.
    std::chrono::microseconds work { 0 };
    /// Instance that the sender expects.
    std::string instance;

    const std::string& bodyText() const
    {
        static const std::string none;
        return body ? body->text : none;
    }
};

/// How a request ended at one backend server.
struct Answer {
    enum class Kind {
        /// The backend server's own answer, whole or with a body that follows.
        Served,
        /// The request did not run and never will.
        NotRun,
        /// The request may have run and there is no answer that may be passed on.
        Unknown,
    };

    Kind kind = Kind::NotRun;
    Reason reason = Reason::None;
    /// Whether the request was sent to the backend server; it then counts as an arrival there.
    bool wasSent = false;
    unsigned status = 0;
    std::vector<HeaderField> headers;
    std::string body;
    /// The body's rest; null if body is whole.
    std::shared_ptr<HttpExchange> rest;
    /// Run at the backend server, and its slowness when the run began.
    std::chrono::microseconds run { 0 };
    uint32_t slownessPercent = 100;

    static Answer notRun(Reason reason, bool wasSent = false)
    {
        Answer answer;
        answer.reason = reason;
        answer.wasSent = wasSent;
        return answer;
    }

    static Answer unknown(Reason reason)
    {
        Answer answer;
        answer.kind = Kind::Unknown;
        answer.reason = reason;
        answer.wasSent = true;
        return answer;
    }
};

}
