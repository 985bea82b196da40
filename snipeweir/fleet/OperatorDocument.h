#pragma once

#include "snipeweir/fleet/FleetSource.h"

#include <map>

namespace snipeweir {

/// The operators' document in force at a node. The configuration is only ever replaced by one of a higher version, so
/// that none comes back after the source was restored from a copy. An evacuation that the source lost with it is kept
/// until evacuationGrace after the begin of the era. Other nodes get the document in force, not that of the source.
/// Performs no I/O. Not safe for concurrent use.
class OperatorDocument {
public:
    using Decode = std::function<OperatorState(const SourceDocument&)>;

    /// Time from the begin of an era within which operators write again what the source has lost.
    static constexpr std::chrono::milliseconds evacuationGrace { 5000 };

    explicit OperatorDocument(Decode decode)
        : m_decode(std::move(decode))
    {
    }

    /// Takes a document of the source or of another node. Of one with an earlier version than version() in the same era
    /// only a later configuration is taken, and evacuations that the sender keeps. One of an earlier era is ignored.
    /// @param keepUntil Time until which evacuations that the source lost in this era are kept; empty if it is over.
    /// Those that it lost in an earlier one keep their time.
    /// @return Whether state() or digest() changed.
    bool take(const SourceDocument&, std::optional<SteadyTime> keepUntil);

    /// Records that the source has the document in force at a later version, which may be in a later era.
    void confirmVersion(const SourceVersion&);

    /// Drops the evacuations that the source lost and whose time is over.
    /// @param asOf Time at which the document was last known to be current.
    /// @return Whether there were any.
    bool dropKept(SteadyTime asOf);

    /// @return The data centres whose evacuation the source lost.
    std::vector<DataCentreName> keptEvacuations() const;

    const SourceVersion& version() const { return m_version; }

    /// @return Hash of the document without the evacuations that are kept, which end at each node for itself.
    uint64_t digest() const { return m_digest; }

    /// @return The document for other nodes.
    std::string text() const;

    const OperatorState& state() const { return m_state; }

    /// @return Version of the configuration in force; zero if there is none.
    Revision configurationVersion() const;

    /// @return Whether the configuration in force isn't the one of the last document that was taken.
    bool isConfigurationKept() const { return m_isConfigurationKept; }

private:
    /// Items by key.
    using Items = std::map<std::string, std::string>;

    static SourceDocument documentOf(const SourceVersion&, const Items&);
    void takeOlder(const Items& items, const OperatorState& state);
    void takeCurrent(Items items, OperatorState state, const SourceVersion&, std::optional<SteadyTime> keepUntil);
    void setVersion(const SourceVersion&, const std::set<DataCentreName>& evacuated);
    /// Keeps evacuations that the document doesn't have.
    void keep(const Items& items, const OperatorState& state, SteadyTime until);
    /// Brings state() and digest() up to date with the items and the evacuations that are kept.
    void update();

    Decode m_decode;
    SourceVersion m_version;
    /// Hash of the text that was taken last.
    uint64_t m_takenDigest = 0;
    uint64_t m_digest = 0;
    Items m_items;
    /// Data centres that the source had out of service at some time of the current era.
    std::set<DataCentreName> m_evacuatedInEra;
    /// Evacuation that the source lost.
    struct Kept {
        SourceItem item;
        SteadyTime until;
    };
    std::map<DataCentreName, Kept> m_kept;
    OperatorState m_state;
    bool m_isConfigurationKept = false;
};

}
