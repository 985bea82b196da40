#pragma once

#include "snipeweir/retry/RetryPolicy.h"
#include "snipeweir/routing/Router.h"
#include "snipeweir/telemetry/DecisionLog.h"

#include <functional>
#include <json/json.h>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace snipeweir {

/// Replays a trace of traces/*.json through Router, RetryPolicy and DecisionLog on a manual clock. The trace states how
/// each endpoint responds at each time; an endpoint refuses calls above its limit. docs/routing.md describes the
/// format.
class TraceReplay {
public:
    struct FinishedCall {
        std::chrono::milliseconds startedAt;
        VmId vm;
        Outcome outcome;
    };

    explicit TraceReplay(const Json::Value& trace);

    /// Runs until every call has finished.
    void run();

    const std::vector<FinishedCall>& finishedCalls() const { return m_finishedCalls; }
    uint64_t callCount() const { return m_callCount; }
    uint64_t retryCount() const { return m_retryCount; }
    const DecisionLog& log() const { return m_log; }
    const Router& router() const { return *m_router; }

    /// @return Largest uptime in the load reports that arrived from the endpoint's current incarnation.
    std::chrono::milliseconds newestUptime(const VmId&) const;

    /// @return Hash of a decision log's text (XXH3, 64 bits), in hexadecimal.
    static std::string hash(const std::string& text);

private:
    struct Endpoint {
        EndpointCandidate candidate;
        Json::Value behaviour;
        uint64_t responseCount = 0;
        uint32_t inFlightCount = 0;
        uint64_t incarnation = 1;
        SteadyTime startedAt {};
        std::chrono::milliseconds newestUptime { 0 };
    };
    struct Call {
        CallId id;
        RequestKind kind = RequestKind::Idempotent;
        SteadyTime startedAt {};
        uint32_t attempts = 0;
        std::vector<VmId> tried;
    };
    struct Event {
        SteadyTime at;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };

    void schedule(SteadyTime at, std::function<void()> action);
    void applyEvent(const Json::Value& event);
    void startCalls(const Json::Value& event);
    void attempt(const std::shared_ptr<Call>&);
    void onAttemptFinished(const std::shared_ptr<Call>&, size_t endpoint, CallResult, Reason, const LoadReport&);
    void finish(const Call&, const VmId&, Outcome, Reason);
    void record(const Call&, DecisionRecord);
    LoadReport makeLoadReport(const Endpoint&, SteadyTime createdAt) const;
    size_t indexOf(const std::string& vm) const;

    ManualClock m_clock;
    SteadyTime m_start;
    std::unique_ptr<Router> m_router;
    RetryPolicy m_retryPolicy;
    DecisionLog m_log;
    std::vector<Endpoint> m_endpoints;
    std::priority_queue<Event> m_events;
    std::vector<FinishedCall> m_finishedCalls;
    uint64_t m_sequence = 0;
    uint64_t m_callCount = 0;
    uint64_t m_retryCount = 0;
};

}
