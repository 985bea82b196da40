#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/organisations/Organisation.h"
#include "snipeweir/organisations/QuotaBounds.h"
#include "snipeweir/organisations/QuotaMembers.h"
#include "snipeweir/organisations/QuotaMessage.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace snipeweir {

/// Whether a request may run as far as the quota of its organisation is concerned.
struct QuotaDecision {
    bool isAdmitted = true;
    /// Time until which the token of an admitted request can be returned.
    SteadyTime expiresAt {};
    /// Time after which a rejected request may be admitted.
    std::chrono::milliseconds retryAfter { 0 };
};

/// Obtains a token for each request of an organisation with a limit, from granters by datagram, before the request
/// runs. Performs no I/O; for one thread.
class QuotaClient {
public:
    struct Settings {
        /// Time from the request for tokens after which they are not spent any more.
        std::chrono::milliseconds tokenLifetime { 250 };
        /// Time without a reply after which the granter of another data centre is asked.
        std::chrono::milliseconds replyTimeout { 10 };
        /// Longest time for which a request waits for its token.
        std::chrono::milliseconds maxWait { 30 };
        /// Tokens of this time's demand are requested in advance, if they are at least two.
        std::chrono::milliseconds prefetch { 100 };
        /// Time for which a granter that did not reply or is unavailable is not asked again.
        std::chrono::milliseconds silentBackoff { 500 };
        std::chrono::milliseconds unavailableBackoff { 50 };
        /// Time for which a node may use its turn while no granter replies.
        std::chrono::milliseconds turnLifetime { 1000 };
        /// Part of the overage, after unspent tokens, that all nodes without a granter may use together. The rest
        /// covers requests that wait at servers.
        double fallbackShare = 0.8;
        /// Upper limit of the even share that a node without a granter may use.
        double maxFallback = 0.3;
        /// Longest time for which a reply keeps a node from asking again.
        std::chrono::milliseconds maxDenial { 2000 };
        /// Longest Retry-After, unless one token takes longer.
        std::chrono::milliseconds maxRetryAfter { 2000 };
        /// Time without requests after which the state of an organisation is dropped.
        std::chrono::milliseconds idleTime { 10'000 };
    };

    struct Counters {
        uint64_t admitted = 0;
        uint64_t rejected = 0;
        /// Requests admitted while no granter replied.
        uint64_t fallbacks = 0;
        uint64_t requestsSent = 0;
        /// Requests to granters without a reply in time.
        uint64_t timeouts = 0;
    };

    QuotaClient(Settings settings, const Clock& clock, const QuotaMembers& members, uint64_t seed)
        : m_settings(settings)
        , m_clock(clock)
        , m_members(members)
        , m_random(seed)
        , m_startedAt(clock.now())
    {
    }

    /// Sends a request to the node with this IP address.
    std::function<void(const std::string& ip, const QuotaMessage&)> send;
    /// Called with the decision on a request for which acquire() returned none.
    std::function<void(uint64_t id, const QuotaDecision&)> onDecided;

    void setBounds(const QuotaBounds& bounds) { m_bounds = bounds; }

    /// Asks for a token.
    /// @param id Identifies the request; chosen by the caller and unique among those that wait.
    /// @param organisation Organisation of the request; one without a limit is admitted at once.
    /// @return The decision; empty if it follows by onDecided.
    std::optional<QuotaDecision> acquire(uint64_t id, const Organisation& organisation);

    /// Returns the token of a request that never reached a server.
    void giveBack(const std::string& organisation, const QuotaDecision&);

    /// @param ip Sender of the reply. Replies to requests of another class are ignored.
    void onReply(const std::string& ip, const QuotaMessage&);

    /// Decides on the requests that have waited for long enough and asks other granters.
    void advance();

    /// @return Latest time for the next call of advance(); empty if nothing waits.
    std::optional<SteadyTime> nextAdvance() const;

    /// @return Requests per second that all nodes without a granter admit together, in parts of the organisation's
    /// rate.
    double fallbackRate() const;

    const Counters& counters() const { return m_counters; }

private:
    struct Waiting {
        uint64_t id = 0;
        SteadyTime until;
    };
    struct Tokens {
        uint64_t count = 0;
        SteadyTime expiresAt;
    };
    /// A request to a granter. Its reply is used once, also if it arrives late.
    struct Ask {
        std::string ip;
        SteadyTime sentAt;
        /// Time after which another granter is asked.
        SteadyTime timeoutAt;
        bool isCurrent = true;
    };
    struct State {
        double rate = 0;
        std::deque<Tokens> tokens;
        std::deque<Waiting> waiting;
        std::unordered_map<uint64_t, Ask> asks;
        /// Granters that are not asked until a time.
        std::unordered_map<std::string, SteadyTime> backoff;
        /// Requests of about the last second, and tokens granted in that time.
        double demand = 0;
        double granted = 0;
        SteadyTime demandAt {};
        /// No granter has a token before this time.
        SteadyTime deniedUntil {};
        /// Time of the latest Retry-After.
        SteadyTime lastRetryAt {};
        /// Number of the last turn used without a granter.
        int64_t lastTurn = 0;
    };

    State& state(uint64_t organisation, const Organisation&);
    std::optional<QuotaDecision> takeToken(State&);
    /// Decides on a request while no granter replies.
    QuotaDecision decideAlone(State&);
    QuotaDecision reject(State&, SteadyTime earliest);
    void decide(uint64_t id, const QuotaDecision&);
    /// Hands tokens to the requests that wait.
    void serve(State&);
    /// Asks the first granter that is not excluded, unless a reply is awaited.
    /// @return Whether a reply is awaited.
    bool ask(uint64_t organisation, State&);
    void rejectAll(State&);
    void prune();

    Settings m_settings;
    const Clock& m_clock;
    const QuotaMembers& m_members;
    Random m_random;
    QuotaBounds m_bounds;
    SteadyTime m_startedAt;
    SteadyTime m_prunedAt {};
    std::unordered_map<uint64_t, State> m_states;
    /// Organisations with waiting requests or awaited replies.
    std::set<uint64_t> m_active;
    Counters m_counters;
};

}
