#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/fleet/BackendList.h"
#include "snipeweir/fleet/SourceItems.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace snipeweir {

/// Decides which items of the source name a backend server to use. Other writers can leave copies of entries, put
/// removed entries back and overwrite entries with older ones. Performs no I/O. Not safe for concurrent use.
///
/// A node that reads the source sees each write, and so whether the sequence number of an entry increases. The other
/// nodes fetch what it has decided as a document: items not to be used are in it under other key prefixes, which nodes
/// of earlier versions ignore.
///
/// When the source is in a later era, restored from a copy, what is known of an entry counts until a later write of it,
/// and entries in use that the source lost are kept for a while. See docs/design/source-eras.md.
class BackendRegistry {
public:
    struct Settings {
        /// An entry counts as written by a running server for this time after its sequence number increased: a
        /// heartbeat of 1,500 ms, and 700 ms until the node reads it.
        std::chrono::milliseconds liveTime { 2200 };
        /// Time from the begin of an era of the source within which backend servers have written again what it lost.
        std::chrono::milliseconds missingEntryGrace { 2200 };
        /// Maximum number of removed entries that are remembered, so that they are not used if they reappear.
        size_t maxRemoved = 8192;
        /// Maximum number of removed entries in a document: 256 of 60 bytes are 15 KB before compression, against about
        /// 200 bytes for each entry in use.
        size_t maxRemovedInDocument = 256;
    };

    using Decode = std::function<DecodedBackend(const SourceItem&)>;

    BackendRegistry(const Clock&, Settings, Decode);

    /// Returns whether the configuration names a service. Entries of other services compete for no address.
    std::function<bool(const ServiceName&)> isKnownService = [](const ServiceName&) { return true; };

    /// @return Whether a known item of a full read was written or removed since version(), in the same era. The changes
    /// since then tell what the list hides: whether an entry was removed in between, and what its last sequence number
    /// was.
    bool hidesWrites(const SourceItems&) const;

    /// Takes all items of the source. Ignores a list with a version before version().
    void takeList(const SourceItems&);

    /// Takes changes since version() or an earlier version of its era. Changes that are already known are ignored, and
    /// those in another era.
    void takeChanges(const SourceChanges&);

    /// Takes a document of another node. Ignores one with a version before version().
    void takeDocument(const SourceVersion&, const std::vector<SourceItem>&);

    /// Takes from a document with an earlier version of the same era what the source has lost: which entries were
    /// removed, later writes of the known ones, and entries that the sender keeps.
    void takeLost(const std::vector<SourceItem>&);

    /// Records that a node with a later version, which may be in a later era, has the same entries.
    void confirmVersion(const SourceVersion& version)
    {
        if (version > m_version)
            setVersion(version);
    }

    /// Sets when the source was back from a copy. Entries in use that it doesn't have any more are kept for
    /// Settings::missingEntryGrace from then, unless they were written since.
    void setEraBegin(SteadyTime begin) { m_keepUntil = begin + m_settings.missingEntryGrace; }

    /// Removes the entries that were kept, if their time is over.
    /// @param asOf Time at which the registry was last known to be current.
    /// @return Whether any were removed.
    bool expireKept(SteadyTime asOf);

    /// @return Instances of the entries that are kept although the source doesn't have them.
    std::vector<std::string> keptInstances() const;

    /// @return Time at which expireKept() removes the entries that are kept; empty if there is none.
    std::optional<SteadyTime> nextExpiry() const;

    /// @param isKept Returns whether the view keeps an instance that may have expired while the source was unavailable.
    /// @return The document for other nodes.
    std::vector<SourceItem> document(const std::function<bool(const std::string& instance)>& isKept) const;

    /// Sets which instance runs at an address, as its server reports.
    /// @param instance Empty if not known.
    void confirm(const Address&, const std::string& instance);

    /// Resolves which entry holds each address.
    /// @return The entries to use, and the items that are skipped.
    BackendList list();

    const SourceVersion& version() const { return m_version; }

private:
    enum class State : uint8_t {
        InUse,
        /// In use, although the source has lost it since it was restored from a copy.
        Kept,
        /// Names the address of another entry that is in use, or did when that entry was removed. Used again once its
        /// sequence number increases.
        Copy,
        /// Reappeared after its removal without being newer.
        Reappeared,
        Malformed,
        /// No longer in the source.
        Removed,
    };

    /// Position of an entry among the writes of its server.
    struct Mark {
        uint64_t startedAtMs = 0;
        uint64_t sequence = 0;
        auto operator<=>(const Mark&) const = default;
    };

    struct Record {
        State state = State::Malformed;
        std::string value;
        /// Last valid entry; for removed entries only its address counts.
        BackendEntry entry;
        /// Mark of the last valid entry; empty if there was none.
        std::optional<Mark> mark;
        /// Highest mark of all valid writes under the key. After the entry's removal, it is the mark, so that no copy
        /// made before is used.
        Mark highest;
        /// Mark of the last write that was older than the entry in use.
        std::optional<Mark> olderMark;
        /// Whether the incarnation of the mark has drained, which is final.
        bool hasDrained = false;
        /// Whether the entry held its address when list() was last called.
        bool isHolder = false;
        /// Whether list() ever returned the entry.
        bool wasListed = false;
        /// Whether another node has dropped the entry from its view, so that it was removed and did not expire.
        bool isRemovalConfirmed = false;
        std::string fault;
        /// Version of the last write or removal that was taken.
        SourceVersion version;
        /// Time at which the sequence number was last seen to increase in the source.
        SteadyTime movedAt {};
        /// Number of times that the sequence number of this incarnation was seen to increase.
        uint64_t moves = 0;
        /// Key in m_gone; zero if the record is not there.
        uint64_t goneNumber = 0;
    };

    /// What a document says of an entry that is gone.
    struct GoneItem {
        Mark mark;
        Address address;
        /// Whether it reappeared.
        bool isInSource = false;
        bool hasDrained = false;
        bool isRemovalConfirmed = false;
    };

    static bool isUsed(const Record& record) { return record.state == State::InUse || record.state == State::Kept; }
    static Mark markOf(const BackendEntry& entry) { return { entry.startedAtMs, entry.sequence }; }
    static bool isGone(const Record& record)
    {
        return record.state == State::Removed || record.state == State::Reappeared;
    }

    void write(const SourceItem&, uint64_t era);
    /// Handles a write that is not newer than the entry in use.
    void writeOlder(Record&, const SourceItem&, const BackendEntry&);
    void accept(Record&, const SourceItem&, const BackendEntry&);
    /// Accepts an item that another node has seen. When the sequence number increased is not known then.
    void acceptUnseen(Record&, const SourceItem&, const BackendEntry&);
    /// @return Whether the entry is of an incarnation that has drained and isn't in the source any more.
    static bool hasEnded(const Record&, const BackendEntry&);
    /// Changes the version of the registry.
    void setVersion(const SourceVersion&);
    /// Changes the state of a record to one other than Removed and Reappeared.
    void setPresent(Record&, State);
    void remove(const std::string& key, const SourceVersion&);
    /// Changes the state of a record that is not in the source any more.
    void setMissing(const std::string& key, Record&);
    /// Handles all records that are in the source, except those with the given keys, as missing.
    template <typename Keys> void setOthersMissing(const Keys&);
    void setRemoved(const std::string& key, Record&);
    /// @param value Empty if not known.
    void setReappeared(const std::string& key, Record&, const std::string& value);
    void registerGone(const std::string& key, Record&);
    void markMalformed(Record&, const SourceItem&, std::string fault);
    void takeUsedItem(const SourceItem&);
    void takeCopiedItem(const std::string& key, const SourceItem&);
    void takeKeptItem(const std::string& key, const SourceItem&);
    static std::optional<GoneItem> decodeGoneItem(const std::string& value);
    void takeRemovedItem(const std::string& key, const GoneItem&);
    /// Handles an item of a document as takeLost() does.
    void takeLostEntry(const std::string& key, const SourceItem&, bool isKept);
    void takeLostRemoval(const std::string& key, const std::optional<GoneItem>&);
    bool isKeepingMissing() const { return m_clock.now() < m_keepUntil; }
    static SourceItem goneItem(const std::string& key, const Record&);
    /// @return Whether a removed entry with this address and start time had the same sequence number or a higher one.
    bool isCopyOfRemoved(const BackendEntry&) const;
    bool isConfirmed(const Record&) const;
    /// @return Whether the sequence number increased within liveTime.
    bool isLive(const Record&) const;
    void resolveAddresses();
    /// @return Whether the first record rather than the second holds the address of both.
    bool precedes(const Record&, const Record&) const;

    const Clock& m_clock;
    Settings m_settings;
    Decode m_decode;
    SourceVersion m_version;
    /// First version that was taken in the current era.
    SourceVersion m_firstVersionOfEra;
    SteadyTime m_keepUntil {};
    /// By key, with the removed ones.
    std::map<std::string, Record> m_records;
    /// Keys of removed entries and of those that reappeared, in the order of their removal.
    std::map<uint64_t, std::string> m_gone;
    uint64_t m_lastGoneNumber = 0;
    Address m_confirmedAddress;
    std::string m_confirmedInstance;
};

}
