#pragma once

#include "snipeweir/configuration/FleetConfiguration.h"
#include "snipeweir/configuration/VmList.h"
#include "snipeweir/membership/MemberView.h"

#include <map>
#include <memory>
#include <vector>

namespace snipeweir {

/// Configuration, VM list and members as known to this node at one moment; calls are routed by it. Immutable: the
/// control thread publishes a new view after each change. Any thread may read it.
struct RoutingView {
    uint64_t version = 0;
    std::shared_ptr<const FleetConfiguration> configuration; ///< Null before the first revision.
    std::shared_ptr<const VmList> vmList; ///< Null before the first VM list.
    std::vector<MemberView> members;
    std::map<VmId, size_t> memberIndex; ///< Positions in members.
    bool hasCaughtUp = false; ///< Whether the documents counted as current, see Distributor::hasCaughtUp().
    SteadyTime createdAt;

    /// @return Whether calls may be routed by this view: both documents are present and up to date.
    bool isUsable() const { return configuration && vmList && hasCaughtUp; }

    /// @return The member on a VM; null if it is unknown.
    const MemberView* member(const VmId& vm) const
    {
        const auto found = memberIndex.find(vm);
        return found == memberIndex.end() ? nullptr : &members[found->second];
    }
};

}
