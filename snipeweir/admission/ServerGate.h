#pragma once

#include "snipeweir/admission/PriorityReserve.h"
#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/TokenBucket.h"
#include "snipeweir/placing/NodeLoad.h"

#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace snipeweir {

/// Decides when each request starts at the backend server of this node. All requests to that server pass through this
/// gate, so it knows exactly what runs there. Performs no I/O and takes no locks; for use by one thread. Handles six
/// conditions:
/// - More requests than slots: a short priority queue, in which a request waits only as long as its response can still
///   be on time. Requests that cannot be on time are refused at once.
/// - Urgent requests with a short target beside less urgent ones with a longer target: some slots are kept free for
/// them;
///   see PriorityReserve.
/// - A transient slowdown of the server: long requests wait until it is over. A request keeps the speed at which it
///   started and would otherwise hold its slot for the whole of its longer service time.
/// - A cold server: a token bucket limits the rate of starts.
/// - A server that names a rate limit: another token bucket, which also counts requests that are sent again.
/// - Organisations that compete for the slots: among waiting requests of one priority, the organisation with the fewest
///   requests running and waiting goes first. Requests without an organisation keep their places in the queue.
/// - A server that fails or is gone: the share of failures is tracked, and a closed gate refuses all requests.
class ServerGate {
public:
    struct Settings {
        /// Maximum share of the server's slots in use, in percent. Servers slow down when nearly all slots are in use.
        uint32_t usableSlotPercent = 80;
        /// Maximum wait in percent of the time left until the target, so that refusals come early enough to be useful.
        uint32_t maxWaitPercent = 40;
        /// Wait that is allowed even if it exceeds maxWaitPercent, as long as the response is on time. Requests with a
        /// short target are mostly calls from other backend servers, and refusing one wastes the whole request that
        /// needs it.
        std::chrono::milliseconds maxWaitFloor { 100 };
        /// Maximum wait of a request that is already late.
        std::chrono::milliseconds maxLateWait { 30 };
        /// Slowness, in percent of the usual service time, from which a slowdown is attributed to a noisy neighbour and
        /// expected to be transient. A cold server reports 200.
        uint32_t transientSlowdownPercent = 300;
        /// A slowdown that has lasted this long is no longer treated as transient.
        std::chrono::milliseconds maxTransientSlowdown { 1000 };
        /// Capacity of the token bucket of a cold server, in requests.
        double coldBurst = 2;
        /// Margin below the rate limit of a cold server, in requests per second: requests can bunch up in transit.
        double coldMargin = 2;
        /// Rate of a cold server for which the operators set no limit, in requests per second.
        double defaultColdRate = 5;
        /// Requests to a server with a rate limit that may start together, in seconds of that rate; one more may start
        /// at any rate.
        double rateLimitBurstSeconds = 0.25;
        /// Half-life of the failure rate, so that a server that recovered gets requests again.
        std::chrono::milliseconds failureHalfLife { 1500 };
    };

    /// A request that asks for a slot.
    struct Request {
        /// Chosen by the caller; unique among the waiting and running requests.
        uint64_t id = 0;
        uint32_t priority = 0;
        /// Time after which the response is late.
        SteadyTime targetAt;
        SteadyTime deadline;
        /// Usual service time on a server at full speed; zero if unknown.
        std::chrono::microseconds usualServiceTime { 0 };
        /// Hash of the name of the organisation that sent the request; zero for none.
        uint64_t organisation = 0;
    };

    enum class Verdict {
        Admitted,
        Waiting,
        Refused,
    };

    struct Decision {
        uint64_t id = 0;
        Verdict verdict = Verdict::Refused;
        Reason reason = Reason::None;
    };

    enum class RunResult {
        Succeeded,
        Failed,
        /// The server confirmed that it did not run the request.
        NotRun,
        /// The caller cancelled the request; no information about the server.
        Cancelled,
    };

    ServerGate(Settings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
        , m_reserve(PriorityReserve::Settings(), clock)
        , m_coldBucket(settings.defaultColdRate, settings.coldBurst, 0, clock.now())
    {
    }

    /// Opens or closes the gate.
    /// @param reason Reason for refusing all requests; Reason::None to accept requests.
    void setClosed(Reason reason);
    Reason closedReason() const { return m_closedReason; }

    /// @param slots Number of requests that the server can run concurrently.
    void setSlots(uint32_t slots) { m_slots = slots; }

    /// @param perSecond Maximum number of requests to a cold server in any one second; zero if operators set no limit.
    void setMaxColdRate(double perSecond);

    /// @param remaining Time for which the server stays cold; zero if it is warm.
    void setCold(std::chrono::milliseconds remaining);

    /// @param perSecond Requests per second that the server takes; empty if it names no limit. The first request
    /// starts after one interval, so that a restart of this node adds none.
    void setRateLimit(std::optional<double> perSecond);

    /// Counts a request that is sent once more on a new connection.
    void onSentAgain() { chargeStart(); }

    /// Treats the server as cold for 3 s or until the next setCold(), because it may have restarted.
    void assumeCold();

    /// @param percent Current service time in percent of the usual one.
    void setSlownessPercent(uint32_t percent);

    /// @return Whether requests are waiting during a transient slowdown, which the next slowness report may end.
    bool isWaitingForSlowdownEnd() const { return hasTransientSlowdown() && !m_waiting.empty(); }

    /// Admits, queues or refuses a request.
    Decision offer(const Request&);

    /// Frees the slot of a request and updates the mean service time and the failure rate, unless it was cancelled.
    /// @param serviceTime Measured service time; used only if the request succeeded.
    void onFinished(uint64_t id, RunResult, std::chrono::microseconds serviceTime);

    /// Removes a waiting request from the queue.
    void cancelWaiting(uint64_t id);

    /// Admits waiting requests for which a slot is free and refuses those that have waited too long.
    /// @return The decisions made, in order.
    std::vector<Decision> advance();

    /// @return Latest time for the next call of advance(); empty if no request is waiting.
    std::optional<SteadyTime> nextAdvance() const;

    bool isCold() const;

    /// @return Load for replies to other nodes, without the instance, which the caller fills in.
    NodeLoad load() const;

private:
    struct Waiting {
        Request request;
        SteadyTime refuseAt;
    };

    uint32_t limit() const;
    bool hasTransientSlowdown() const;
    /// @return Whether the service time would increase by more than a transient slowdown usually lasts, so that waiting
    /// for its end is faster.
    bool shouldDefer(const Request&) const;
    /// @return Refill rate of the token bucket of a cold server, in requests per second.
    double coldRate() const;
    /// @return Whether a new request is queued before a waiting one. More urgent requests precede others; at equal
    /// priority, requests that can still be on time precede those that are already late.
    bool precedes(const Request&, const Request& waiting) const;
    bool tryAcquireSlot(const Request&);
    /// Records that a request of an organisation runs.
    void addRunning(const Request&);
    /// @return Number of requests of each organisation that run or wait.
    std::unordered_map<uint64_t, size_t> countByOrganisation() const;
    /// Reorders the waiting requests of organisations among their own places, within each priority.
    void orderByOrganisation();
    /// @return Number of requests that start before a new one that is inserted at this position.
    size_t requestsAhead(const Request&, size_t position) const;
    /// Takes the tokens of one start from the buckets that limit the rate of starts.
    void chargeStart();
    /// @return Requests that may start now, as far as the rate of starts is limited.
    double availableStartTokens() const;
    /// @return Time until the server's rate limit lets this number of requests start.
    std::chrono::microseconds rateLimitDelay(double requests) const;
    double failureRate() const;
    std::chrono::microseconds nominalServiceTime(const Request&) const;
    std::chrono::microseconds expectedServiceTime(const Request&) const;
    SteadyTime latestStart(const Request&) const;

    Settings m_settings;
    const Clock& m_clock;
    Reason m_closedReason = Reason::NoConfiguration;
    uint32_t m_slots = 1;
    uint32_t m_running = 0;
    uint32_t m_slownessPercent = 100;
    SteadyTime m_slowdownStartedAt {};
    std::deque<Waiting> m_waiting;
    PriorityReserve m_reserve;
    /// Priorities of the running requests, by id.
    std::unordered_map<uint64_t, uint32_t> m_runningPriorities;
    /// Organisations of the running requests that have one, by request.
    std::unordered_map<uint64_t, uint64_t> m_runningOrganisations;

    // Moving average of the service time in microseconds, scaled to a server at full speed.
    double m_meanNominalServiceUs = 100'000;

    // Cold state and token bucket.
    double m_maxColdRate = 0;
    SteadyTime m_coldUntil {};
    TokenBucket m_coldBucket;

    /// Tokens of the rate limit that the server names; empty if it names none.
    std::optional<TokenBucket> m_rateLimit;

    double m_failureRate = 0;
    SteadyTime m_failureRateUpdatedAt {};
};

}
