#pragma once

#include "snipeweir/core/ControlMessage.h"
#include "snipeweir/membership/ByteBudget.h"
#include "snipeweir/membership/MemberTable.h"

namespace snipeweir {

/// Repairs differences between the member tables of two nodes (anti-entropy): digests with a hash for each data centre,
/// then hashes of 64 buckets of a data centre that differs, then the records of the buckets that differ. Only a
/// member's own data centre is authoritative for it: a node of another data centre requests its records, and never
/// overrules them. The rate of records sent is bounded. Owned by the control thread.
class Synchronizer {
public:
    struct Hooks {
        ControlSender send;
        /// Applies one record that a repair brought.
        std::function<void(const MemberRecord&, const Member& sender)> applyRecord;
        /// Whether this node's view of its own data centre is complete enough to report members as absent.
        std::function<bool()> isViewComplete;
    };

    /// Which data centres a digest is about.
    enum class Scope {
        Listed, ///< Only those it lists.
        All, ///< Also those that only the replying node knows.
    };

    Synchronizer(const MembershipSettings&, MemberTable&, const Clock&, Hooks);

    /// Starts a repair with another node.
    void startRepair(const Address& to, const std::vector<DataCentreName>&, Scope);

    /// @return Whether the message was a reply that named no difference.
    bool onDigest(const Address& from, const Member& sender, std::string_view payload);
    void onDifference(const Address& from, const Member& sender, std::string_view payload);

private:
    void sendBuckets(const Address& to, const DataCentreName&);
    void onBuckets(const Address& from, const Member& sender, const DataCentreName&, std::string_view blob);
    void onRecords(const Address& from, const Member& sender, const DataCentreName&, CborReader&);

    enum class Reply {
        Unwanted,
        Wanted,
    };
    struct Batch;
    void sendRecords(const Address& to, const Member& receiver, const DataCentreName&, uint64_t mask, Reply,
        const std::map<VmId, MemberRecord>* known);
    bool sendBatch(const Address& to, const Member& receiver, const DataCentreName&, Batch&, Reply, bool isWhole);

    const MembershipSettings& m_settings;
    MemberTable& m_table;
    const Clock& m_clock;
    const Hooks m_hooks;
    ByteBudget m_budget;
};

}
