#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/membership/RumourQueue.h"
#include "snipeweir/membership/Synchronizer.h"

namespace snipeweir {

/// Links to the other data centres. The three members that rendezvous hashing selects in each data centre are its
/// bridges. A bridge forwards changes of its own data centre to one bridge of each other data centre, and exchanges a
/// digest with one other data centre each second. A link is lost when digests stay unanswered; the members behind it
/// keep their state. Link reports tell all members of the data centre about lost and restored links. Owned by the
/// control thread.
class Bridges {
public:
    struct Hooks {
        ControlSender send;
        std::function<void(const Address& to)> sendJoin;
        /// Spreads a report within the own data centre.
        std::function<void(const LinkReport&)> spreadReport;
        std::function<void(const Event&)> onEvent;
    };

    Bridges(const MembershipSettings&, MemberTable&, Synchronizer&, Random&, const Clock&, Hooks);

    void tick(const std::vector<VmListEntry>& list);

    /// @return Whether this node is one of its data centre's bridges now.
    bool isBridge() const;

    /// Queues a changed record of the own data centre for sending to the other data centres.
    void forward(const MemberRecord&);

    /// To be called for each message from another data centre.
    void onRemoteMessage(const DataCentreName&);
    void onLinkReport(const LinkReport&);

    bool isReachable(const DataCentreName&) const;

    /// @return When the link was lost; empty while it is up.
    std::optional<SteadyTime> lostSince(const DataCentreName&) const;

    /// @return All known reports of lost links.
    std::vector<LinkReport> lostLinkReports() const;

    /// @return Known bridges of all other data centres.
    std::vector<Peer> remoteBridges() const;

private:
    struct Link {
        uint32_t failures = 0;
        std::optional<SteadyTime> requestSentAt;
        bool isLocallyLost = false; ///< Whether this node's own requests stayed unanswered.
        SteadyTime reportedAt;
        std::map<VmId, LinkReport> reports;
        std::optional<SteadyTime> lostSince; ///< By the majority of the bridges' reports; empty while the link is up.
    };

    void contactDataCentre(const DataCentreName&, Link&, const std::vector<VmListEntry>& list);
    void checkTimeouts();
    void reportLink(const DataCentreName&, Link&, bool isLost);
    void updateLinkState(const DataCentreName&, Link&, const VmId& source);
    void flushForwards();

    const MembershipSettings& m_settings;
    MemberTable& m_table;
    Synchronizer& m_synchronizer;
    Random& m_random;
    const Clock& m_clock;
    const Hooks m_hooks;
    std::map<DataCentreName, Link> m_links;
    std::map<VmId, std::string> m_pendingForwards;
    ByteBudget m_budget;
    SteadyTime m_nextContactAt;
    DataCentreName m_lastContacted;
    uint64_t m_reportVersion;
};

}
