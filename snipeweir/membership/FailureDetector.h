#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/membership/LocalHealth.h"
#include "snipeweir/membership/MemberTable.h"
#include "snipeweir/membership/SuspicionTimers.h"

#include <deque>

namespace snipeweir {

/// SWIM failure detector for the own data centre: each interval it pings one member in shuffled round-robin order. A
/// member that sends no ack gets indirect pings through other members, is then suspected and finally declared dead.
/// Sends through hooks, so that it does not depend on message formats. Owned by the control thread.
class FailureDetector {
public:
    struct Hooks {
        std::function<void(const Peer& target, uint64_t nonce)> ping;
        std::function<void(const Peer& relay, const Peer& target, uint64_t nonce)> requestPing;
        std::function<void(const Address& requester, uint64_t nonce)> sendRelayedAck;
        std::function<void(const VmId&)> suspect;
        std::function<void(const VmId&, const char* cause)> declareDead;
        /// Whether a source other than the peers confirms that the member is gone.
        std::function<bool(const VmId&)> isConfirmedGone;
    };

    FailureDetector(const MembershipSettings&, MemberTable&, Random&, const Clock&, Hooks);

    void tick();

    /// @param nonce Nonce of a ping of this node.
    /// @param isRelayed Whether another member relayed the ack of the target.
    void onAck(uint64_t nonce, const VmId& from, bool isRelayed);

    /// Pings the target on behalf of the requester.
    void onPingRequest(const Address& requester, uint64_t nonce, const Peer& target);

    /// Queues the member for a ping ahead of the round-robin order.
    void probeNext(const VmId&);

    void onMemberAdded(const VmId&);
    void onSuspected(const VmId&);
    void onSuspicionCleared(const VmId& vm) { m_suspicionTimers.cancel(vm); }
    void onPaused();

    bool isDegraded() const { return m_localHealth.isDegraded(); }

private:
    struct Probe {
        VmId target;
        uint64_t nonce = 0;
        SteadyTime sentAt;
        bool isIndirect = false;
        bool wasSuspected = false;
    };
    struct RelayedPing {
        uint64_t nonce = 0;
        Address requester;
        uint64_t requesterNonce = 0;
        SteadyTime expiresAt;
    };

    std::chrono::milliseconds scaledTimeout(std::chrono::milliseconds timeout) const;
    const Member* nextTarget();
    void startProbe(SteadyTime now);
    void checkProbes(SteadyTime now);
    void sendPingRequests(const Probe&);
    void onProbeFailed(const Probe&, SteadyTime now);
    void expireSuspicions(SteadyTime now);

    const MembershipSettings& m_settings;
    MemberTable& m_table;
    Random& m_random;
    const Clock& m_clock;
    const Hooks m_hooks;
    LocalHealth m_localHealth;
    SuspicionTimers m_suspicionTimers;
    std::vector<VmId> m_probeOrder;
    std::deque<VmId> m_priorityTargets;
    std::vector<Probe> m_probes;
    std::deque<RelayedPing> m_relayedPings;
    SteadyTime m_nextPingAt;
    uint64_t m_lastNonce = 0;
    bool m_wasDegraded = false;
};

}
