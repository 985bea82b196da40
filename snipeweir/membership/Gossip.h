#pragma once

#include "snipeweir/core/ControlMessage.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/membership/ByteBudget.h"
#include "snipeweir/membership/MemberTable.h"
#include "snipeweir/membership/RumourQueue.h"

namespace snipeweir {

/// Spreads rumours within the own data centre. A new rumour is pushed to a few random members at once, within a byte
/// budget, and piggybacked on pings and their acks a bounded number of times. Owned by the control thread.
class Gossip {
public:
    enum class Urgency {
        Push, ///< Pushed at once, and piggybacked on pings.
        Piggyback, ///< Only piggybacked on pings.
    };

    Gossip(const MembershipSettings&, const MemberTable&, Random&, const Clock&, ControlSender);

    void spread(const MemberRecord&, Urgency);
    void spread(const LinkReport&, Urgency);

    /// Sends a record to one address at once, besides pushes and piggybacking.
    void sendRecord(const Address&, const MemberRecord&);

    /// Sends what was spread with Urgency::Push since the last call.
    /// @param fanoutCount Number of random members to send to.
    /// @param exclude Member that is left out because the rumours came from it.
    void flushPushes(uint32_t fanoutCount, const VmId& exclude);

    /// Takes queued rumours to piggyback; each counts as sent once.
    /// @param first Record to include whether or not it is queued; null for none.
    /// @return Encoded rumour lists for a ping or its ack.
    std::string takePiggyback(const MemberRecord* first);

private:
    uint32_t transmissionCount() const;
    void addPush(std::vector<std::string>& batch, std::string text);

    const MembershipSettings& m_settings;
    const MemberTable& m_table;
    Random& m_random;
    const Clock& m_clock;
    const ControlSender m_send;
    RumourQueue m_memberRumours;
    RumourQueue m_linkRumours;
    std::vector<std::string> m_memberPushes;
    std::vector<std::string> m_linkPushes;
    ByteBudget m_budget;
};

/// @return Wire encoding of the rumour lists.
std::string encodeRumours(const std::vector<std::string>& members, const std::vector<std::string>& links);

}
