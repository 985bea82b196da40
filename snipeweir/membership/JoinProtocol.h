#pragma once

#include "snipeweir/membership/MemberViewBuilder.h"

namespace snipeweir {

/// Joins the fleet: sends join requests to seeds and to members known only from the VM list until a member of the own
/// data centre has replied, and replies to the requests of others. Afterwards it contacts, at a low rate, listed
/// members that are unknown and members considered dead, so that groups that started separately or were partitioned
/// find each other. Owned by the control thread.
class JoinProtocol {
public:
    struct Hooks {
        ControlSender send;
        std::function<void(const MemberRecord&, const VmId& source)> applyRecord;
        std::function<void(
            const Address& from, const RumourList&, const VmId& sender, const DataCentreName& senderDataCentre)>
            applyRumours;
        std::function<void(const VmId& source)> onJoined;
    };

    JoinProtocol(const MembershipSettings&, const MemberTable&, const Bridges&, const MemberViewBuilder&, Random&,
        const Clock&, Hooks);

    void start(const std::vector<Address>& seeds);
    void tick();
    void sendJoin(const Address&);
    void onJoin(const Address& from, const ControlMessage&);
    void onJoinReply(const Address& from, const ControlMessage&);

    /// Records that a member of the own data centre has replied.
    void markJoined(const VmId& source);
    bool isJoined() const { return m_isJoined; }

private:
    std::vector<Address> missingMembers() const;

    const MembershipSettings& m_settings;
    const MemberTable& m_table;
    const Bridges& m_bridges;
    const MemberViewBuilder& m_viewBuilder;
    Random& m_random;
    const Clock& m_clock;
    const Hooks m_hooks;
    std::vector<Address> m_seeds;
    bool m_isJoined = false;
    uint32_t m_attempts = 0;
    SteadyTime m_nextAttemptAt;
};

}
