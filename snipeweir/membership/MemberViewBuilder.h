#pragma once

#include "snipeweir/membership/Bridges.h"

namespace snipeweir {

/// Merges the three sources of information about members into views: the peers' reports (the member table), the
/// platform's VM list, and the node's own calls. The list lags, so it only adds candidates and confirms leaving; own
/// calls only change alive to suspected and back, and dead to suspected. No source alone empties a service: a service
/// that one source would empty keeps its members as suspected. Owned by the control thread.
class MemberViewBuilder {
public:
    MemberViewBuilder(const MembershipSettings&, const MemberTable&, const Bridges&, const Clock&);

    void setVmList(std::vector<VmListEntry>);
    const std::vector<VmListEntry>& vmList() const { return m_vmList; }

    /// @return Whether there is a list and it does not name the VM, or names it as leaving.
    bool isGoneFromVmList(const VmId&) const;

    /// Records evidence about a member that is known only from the VM list.
    void setListedOnlyEvidence(const VmId&, OwnEvidence);

    /// @param localConfirmedAt When the view of the own data centre was last confirmed.
    /// @param remoteConfirmedAt When the view of the reachable other data centres was last confirmed.
    /// @return All known members, ordered by data centre and VM name.
    std::vector<MemberView> views(SteadyTime localConfirmedAt, SteadyTime remoteConfirmedAt) const;

private:
    struct MergedMember;
    struct Evidence {
        OwnEvidence value = OwnEvidence::None;
        SteadyTime at;
    };

    MergedMember mergeMember(const Member&, SteadyTime confirmedAt) const;
    MergedMember mergeListedOnly(const VmListEntry&) const;
    static void preventEmptyService(std::vector<MergedMember*>&);

    const MembershipSettings& m_settings;
    const MemberTable& m_table;
    const Bridges& m_bridges;
    const Clock& m_clock;
    std::vector<VmListEntry> m_vmList;
    std::map<VmId, size_t> m_vmListIndex;
    std::map<VmId, Evidence> m_listedOnlyEvidence;
    SteadyTime m_vmListReceivedAt;
};

}
