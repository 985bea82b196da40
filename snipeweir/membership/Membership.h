#pragma once

#include "snipeweir/membership/Bridges.h"
#include "snipeweir/membership/FailureDetector.h"
#include "snipeweir/membership/Gossip.h"
#include "snipeweir/membership/JoinProtocol.h"
#include "snipeweir/membership/PingMessage.h"

#include <memory>

namespace snipeweir {

struct MembershipHooks {
    ControlSender send;
    /// Opaque bytes to attach to every ping and ack, for example document revisions; empty for none.
    std::function<std::string()> pingAttachment;
    std::function<void(const Peer&, std::string_view)> onPingAttachment;
    std::function<void(const Event&)> onEvent;
};

/// Members of the fleet and their states. A deterministic state machine: clock, seed and messages come from outside, so
/// that the same seed and messages give the same decisions. Within the data centre members ping each other
/// (FailureDetector) and spread rumours (Gossip); Bridges links the data centres; Synchronizer repairs differences;
/// MemberViewBuilder merges in the VM list and the node's own calls. Owned by the control thread; not safe for
/// concurrent use.
class Membership final : public PeerDirectory {
public:
    /// @param memberChart State chart of a member, charts/member.json.
    /// @param seed Seed of all random choices.
    /// @return The membership, or ErrorCode::InvalidArgument for an unusable chart, setting or name.
    static Result<std::unique_ptr<Membership>> create(MembershipSettings, Peer self, ServiceName,
        StateChart memberChart, const Clock&, uint64_t seed, MembershipHooks);

    /// Drives all timers. To be called at least every 100 ms; a gap longer than maxTickGap counts as a pause.
    void tick();

    /// Handles a message that Envelope has authenticated. Types other than those of membership are ignored.
    /// @param from Address that the datagram came from.
    void receive(const Address& from, const ControlMessage&);

    /// Attempts to join through these control addresses until a member of the own data centre has replied.
    void join(const std::vector<Address>& seeds);

    /// Announces that this node leaves. The node keeps replying until the process ends.
    void leave();

    void onVmList(const std::vector<VmListEntry>&);

    /// Records what a call of this node showed about a member. Only a hint: an unreachable member is pinged soon, but
    /// never removed by it.
    void onCallEvidence(const VmId&, OwnEvidence);

    /// To be called when the process has been paused.
    void onPaused();

    /// @return All known members with this node, ordered by data centre and VM name.
    std::vector<MemberView> members() const;

    /// @return Counter that increases whenever members() may have changed by more than the passage of time.
    uint64_t version() const { return m_table.version() + m_vmListVersion; }

    /// @return Whether a member of the own data centre has replied since the start.
    bool isJoined() const { return m_joinProtocol.isJoined(); }

    /// @return Whether this node itself is the likely cause of unanswered pings at present (LocalHealth).
    bool isDegraded() const { return m_detector.isDegraded(); }

    // PeerDirectory.
    const Peer& self() const override { return m_table.self().record.peer; }
    const std::vector<Peer>& localPeers() const override { return m_table.localPeers(); }
    std::vector<Peer> remoteBridges() const override { return m_bridges.remoteBridges(); }
    bool isBridge() const override { return m_bridges.isBridge(); }

private:
    Membership(MembershipSettings, const MemberRecord& self, StateChart, const Clock&, uint64_t seed, MembershipHooks);

    // Sending.
    PingMessage pingMessage(uint64_t nonce) const;
    void sendPing(const Peer& target, uint64_t nonce);
    void sendPingRequest(const Peer& relay, const Peer& target, uint64_t nonce);
    void sendRelayedAck(const Address& requester, uint64_t nonce);

    // Receiving.
    void onPing(const Address& from, const ControlMessage&);
    void onPingAck(const Address& from, const ControlMessage&);
    void onPingRequest(const Address& from, const ControlMessage&);
    void onRumours(const Address& from, const ControlMessage&);
    void applyRumours(
        const Address& from, const RumourList&, const VmId& sender, const DataCentreName& senderDataCentre);
    void applyRecord(const MemberRecord&, RecordOrigin, const std::string& source);
    void onRecordAboutSelf(const MemberRecord&, const std::string& source);
    void compareHashes(const Address& from, const Member& sender, const PingMessage&);
    void recordSender(const ControlMessage&);

    // Reactions.
    void onChange(const Member&, RecordChange, RecordOrigin);
    void suspect(const VmId&);
    void declareDead(const VmId&, const char* cause);
    const Member* knownSender(const ControlMessage&) const;
    bool isViewComplete() const;
    void emitEvent(std::string kind, const std::string& cause, const std::string& source);

    const MembershipSettings m_settings;
    const Clock& m_clock;
    const MembershipHooks m_hooks;
    Random m_random;
    const SteadyTime m_startedAt;
    MemberTable m_table;
    Gossip m_gossip;
    FailureDetector m_detector;
    Synchronizer m_synchronizer;
    Bridges m_bridges;
    MemberViewBuilder m_viewBuilder;
    JoinProtocol m_joinProtocol;
    SteadyTime m_lastTickAt;
    SteadyTime m_nextLocalRepairAt;
    SteadyTime m_nextRemoteRepairAt;
    SteadyTime m_localAgreedAt;
    SteadyTime m_remoteAgreedAt;
    uint32_t m_startRaises = 0;
    uint64_t m_vmListVersion = 0;
};

}
