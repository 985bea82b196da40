#pragma once

#include "snipeweir/core/StateChart.h"
#include "snipeweir/membership/EventLog.h"
#include "snipeweir/membership/MemberRecord.h"
#include "snipeweir/membership/MembershipSettings.h"

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <unordered_map>

namespace snipeweir {

/// What a record changed in the table.
enum class RecordChange {
    None,
    Counter, ///< Only the counter or a suspicion changed; not sent to other data centres.
    State, ///< The member left, died, returned or was replaced.
    Added,
};

/// Where a record came from.
enum class RecordOrigin {
    Own, ///< Decided by this node.
    Rumour,
    Sync, ///< Anti-entropy; most of these records are known to all other members.
};

/// One known member.
struct Member {
    MemberRecord record;
    SteadyTime changedAt;
    SteadyTime lastMessageAt; ///< When the member itself last sent a message; zero if never.
    OwnEvidence evidence = OwnEvidence::None;
    SteadyTime evidenceAt;
    double flapPenalty = 0;
    SteadyTime flapPenaltyAt;
    bool isMarkedFlapping = false;
    uint64_t hash = 0;
    uint8_t bucket = 0;

    bool isLive() const { return record.state == MemberState::Alive || record.state == MemberState::Suspected; }
};

constexpr size_t bucketCount = 64;
using BucketHashes = std::array<uint32_t, bucketCount>;

/// All known members by data centre. Merges records by their total order, within the transitions of the state chart,
/// and keeps a hash for each data centre over the members that are not dead. Dead members are kept for a bounded time
/// and in a bounded number, so that late rumours do not revive them. Owned by the control thread.
class MemberTable {
public:
    struct Hooks {
        std::function<void(const Member&, RecordChange, RecordOrigin)> onChange;
        std::function<void(const Event&)> onEvent;
    };

    struct DataCentre {
        std::map<VmId, Member> members;
        uint64_t hash = 0;
        std::array<size_t, 4> counts {}; ///< Members in each state.
        bool isBridgeListStale = true;
        std::vector<Peer> bridges;
    };

    MemberTable(const MembershipSettings&, const MemberRecord& self, StateChart, const Clock&, Hooks);

    /// Applies a record if it supersedes the known one and the state chart allows the transition.
    /// @param cause Snake_case name for the event.
    /// @param source VM that reported it.
    RecordChange merge(const MemberRecord&, RecordOrigin, const std::string& cause, const std::string& source);

    /// Sets a suspected member to alive because it acknowledged a ping of this node.
    void clearSuspicion(const VmId&);

    /// Records the time of a message from the member itself.
    void recordMessage(const VmId&);

    void setEvidence(const VmId&, OwnEvidence);

    /// Erases members that have been dead for longer than tombstoneLifetime.
    void tick();

    const Member* find(const VmId&) const;
    const Member* findInOwnDataCentre(const VmId&) const;
    const Member& self() const;
    const std::map<DataCentreName, DataCentre>& dataCentres() const { return m_dataCentres; }
    const DataCentre& ownDataCentre() const { return *m_ownDataCentre; }

    /// @return Live members of the own data centre without this node, ordered by VM name.
    const std::vector<Peer>& localPeers() const;

    /// @return Up to bridgesCount live members of a data centre, the highest by rendezvous hashing first.
    const std::vector<Peer>& bridgesOf(const DataCentreName&) const;

    uint64_t hashOf(const DataCentreName&) const;

    /// @return Hash over all data centres but the own.
    uint64_t remoteHash() const;
    BucketHashes bucketHashes(const DataCentreName&) const;

    bool isFlapping(const Member&) const;

    /// @return Counter that increases with every change of a record or of evidence.
    uint64_t version() const { return m_version; }
    SteadyTime changedAt() const { return m_changedAt; }

private:
    struct Tombstone {
        VmId vm;
        SteadyTime diedAt;
    };

    Member* findMutable(const VmId&);
    std::vector<const char*> transitionEvents(const Member&, const MemberRecord&) const;
    bool isTransitionAllowed(const Member&, const MemberRecord&) const;
    Member* insert(const MemberRecord&);
    void erase(const VmId&);
    void update(Member&, const MemberRecord&);
    void resolveAddressConflict(const MemberRecord&, const std::string& source);
    void recordFlap(Member&);
    double flapPenalty(const Member&) const;
    void emitEvent(const Member&, std::string kind, const std::string& cause, const std::string& source,
        std::chrono::nanoseconds age);

    const MembershipSettings& m_settings;
    const VmId m_selfVm;
    const DataCentreName m_ownDataCentreName;
    const StateChart m_chart;
    const Clock& m_clock;
    const Hooks m_hooks;
    // Mutable because const accessors fill the caches in it.
    mutable std::map<DataCentreName, DataCentre> m_dataCentres;
    DataCentre* m_ownDataCentre = nullptr;
    size_t m_membersCount = 0;
    std::unordered_map<std::string, VmId> m_vmByAddress;
    std::deque<Tombstone> m_tombstones;
    uint64_t m_version = 0;
    SteadyTime m_changedAt;
    mutable bool m_isPeerListStale = true;
    mutable std::vector<Peer> m_localPeers;
};

}
