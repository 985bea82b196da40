#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/core/TokenBucket.h"
#include "snipeweir/organisations/Organisation.h"
#include "snipeweir/organisations/QuotaBounds.h"
#include "snipeweir/organisations/QuotaMembers.h"
#include "snipeweir/organisations/QuotaMessage.h"

#include <functional>
#include <set>
#include <unordered_map>

namespace snipeweir {

/// Grants tokens of the organisations of which this node is the granter in its data centre. Tokens are moved between
/// granters and nodes, never copied: they are taken from a bucket before they are sent, so that lost, late and
/// duplicated datagrams can only lose tokens. Performs no I/O; for one thread.
class QuotaGranter {
public:
    struct Settings {
        /// Age of the view of the fleet from which a granter grants only the share of the nodes that it reaches, since
        /// nodes that it does not reach may have other granters. Shorter than QuotaMembers::Settings::grantingMemory.
        std::chrono::milliseconds maxViewAge { 8000 };
        /// Age of the view from which other nodes are probed, with the interval and the number of probed nodes.
        std::chrono::milliseconds probeAfter { 4000 };
        std::chrono::milliseconds probeInterval { 1000 };
        size_t probedNodes = 24;
        /// Difference from which another node's view counts as newer; more than the usual spread within a fleet.
        std::chrono::milliseconds newerBy { 3000 };
        /// Share of the fleet that a granter with an old view must reach. In an outage of the store nearly all nodes
        /// can be reached and none has a newer view; in a partition, the other part may grant its own tokens.
        double minContact = 0.9;
        /// Longest time for which a request waits for tokens of other granters.
        std::chrono::milliseconds maxPending { 20 };
        /// Time after which a granter that has not replied is not waited for, and its tokens are no longer accepted.
        std::chrono::milliseconds transferTimeout { 20 };
        /// Time for which a granter that gave less than requested is not asked again.
        std::chrono::milliseconds emptyBackoff { 100 };
        /// The same for a granter that did not reply or is unavailable.
        std::chrono::milliseconds silentBackoff { 500 };
        /// Maximum number of granters asked at once.
        size_t maxDonors = 3;
        /// Range of the time until which a node is told to ask no more.
        std::chrono::milliseconds minWait { 50 };
        std::chrono::milliseconds maxWait { 1000 };
        /// Demand that a granter keeps in stock.
        std::chrono::milliseconds stock { 100 };
        /// Time without requests after which the state of an organisation is dropped; its bucket is full by then
        /// unless its burst is more than this time's worth of its rate.
        std::chrono::milliseconds idleTime { 60'000 };
        /// Part of the slack that all granters together may grant after they have started.
        double startSlackShare = 0.1;
        /// Part of the slack by which the capacities of all buckets together may exceed the burst, so that each bucket
        /// can hold a whole token and the uneven arrivals of a small organisation, whose burst is a token or two, fit.
        double capacitySlackShare = 0.5;
    };

    struct Counters {
        uint64_t requests = 0;
        uint64_t grantedTokens = 0;
        uint64_t denied = 0;
        uint64_t transfers = 0;
    };

    QuotaGranter(Settings settings, const Clock& clock, QuotaMembers& members, uint64_t seed)
        : m_settings(settings)
        , m_clock(clock)
        , m_members(members)
        , m_random(seed)
    {
    }

    /// Returns the organisation with this hash; null if it is unknown or has no limit.
    std::function<const Organisation*(uint64_t organisation)> limitOf;
    /// Sends a request to the node with this IP address.
    std::function<void(const std::string& ip, const QuotaMessage&)> sendRequest;
    /// Sends a reply.
    std::function<void(const std::string& ip, const QuotaMessage&)> sendReply;
    /// Returns the time since the view of the fleet was last known to be up to date.
    std::function<std::chrono::milliseconds()> viewAge;

    void setBounds(const QuotaBounds& bounds) { m_bounds = bounds; }

    /// Applies changed members and limits.
    void onViewChanged();

    /// @param ip Sender of the request.
    void onRequest(const std::string& ip, const QuotaMessage&);

    /// @param ip Sender of the reply. Replies to requests of another class are ignored.
    void onReply(const std::string& ip, const QuotaMessage&);

    /// Answers the requests that have waited for long enough.
    void advance();

    /// @return Latest time for the next call of advance(); empty if nothing waits.
    std::optional<SteadyTime> nextAdvance() const;

    const Counters& counters() const { return m_counters; }

private:
    struct PendingTake {
        std::string ip;
        uint64_t nonce = 0;
        double tokens = 0;
        SteadyTime expiresAt;
    };
    /// A node that may still grant the organisation's tokens, and the request to it.
    struct Predecessor {
        QuotaMembers::Predecessor node;
        uint64_t nonce = 0;
        /// Time of the next request to it, and the interval after that, which doubles.
        SteadyTime askAt {};
        std::chrono::milliseconds interval { 20 };
    };
    struct Transfer {
        std::string ip;
        double tokens = 0;
        SteadyTime expiresAt;
    };
    struct Bucket {
        explicit Bucket(TokenBucket initial)
            : tokens(initial)
        {
        }

        TokenBucket tokens;
        /// Tokens of other granters for the pending requests. They may be parts of a token that exceed the capacity.
        double gathered = 0;
        std::vector<Predecessor> predecessors;
        std::deque<PendingTake> pending;
        /// Requests to other granters, by nonce.
        std::unordered_map<uint64_t, Transfer> transfers;
        /// Granters that are not asked until a time.
        std::unordered_map<std::string, SteadyTime> backoff;
        /// Requested tokens of about the last second.
        double demand = 0;
        SteadyTime demandAt {};
        /// Time for which the next node that gets no tokens is told to wait.
        SteadyTime promisedAt {};
    };

    Bucket* find(uint64_t organisation);
    /// Sets rate and capacity of a bucket from the limits, the share of the data centre and the predecessors.
    void refresh(uint64_t organisation, Bucket&, const Organisation&);
    /// @return Part of its share that this granter may grant, from 0 to 1.
    double contactShare();
    void handleTake(const std::string& ip, const QuotaMessage&);
    void handleTransfer(const std::string& ip, const QuotaMessage&);
    void handleClaim(const std::string& ip, const QuotaMessage&);
    void handleJoin(const std::string& ip, const QuotaMessage&);
    void reply(const std::string& ip, uint64_t nonce, QuotaMessage::Status, double tokens, SteadyTime waitUntil = {});
    /// Replies to a node that has become granter.
    void replyToNewGranter(const std::string& ip, uint64_t nonce, bool mayGrant, double tokens);
    /// Grants the tokens at hand to a request.
    void grant(Bucket&, const std::string& ip, uint64_t nonce, double tokens);
    void servePending(uint64_t organisation, Bucket&);
    /// Asks other granters for the tokens that are missing.
    /// @return Whether tokens of other granters are expected.
    bool requestTransfers(uint64_t organisation, Bucket&);
    void claim(uint64_t organisation, Bucket&);
    SteadyTime promise(Bucket&);
    void addDemand(Bucket&, double tokens);
    /// @return Tokens at hand.
    double available(const Bucket&) const;
    /// @return Tokens to keep in stock for this data centre's own nodes.
    double stock(const Bucket&) const;

    Settings m_settings;
    const Clock& m_clock;
    QuotaMembers& m_members;
    Random m_random;
    QuotaBounds m_bounds;
    std::unordered_map<uint64_t, Bucket> m_buckets;
    /// Organisations with pending requests, transfers or predecessors.
    std::set<uint64_t> m_active;
    /// Nonces of probes that have no reply yet, the replies in this round, and the result of the last round.
    std::set<uint64_t> m_probes;
    size_t m_probesSent = 0;
    size_t m_probeReplies = 0;
    double m_contact = 0;
    SteadyTime m_probedAt {};
    /// Whether the view has been older than Settings::maxViewAge.
    bool m_hadOldView = false;
    Counters m_counters;
};

}
