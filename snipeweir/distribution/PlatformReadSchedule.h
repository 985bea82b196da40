#pragma once

#include "snipeweir/core/Random.h"
#include "snipeweir/distribution/ReaderSelection.h"

namespace snipeweir {

/// Settings of the reads from the platform's configuration service. The service allows about 2,000 reads/s. All readers
/// together and all fallback readers together get 700 reads/s each, which leaves headroom while nodes change roles.
struct PlatformReadSettings {
    std::chrono::milliseconds watchWait { 10'000 }; ///< Maximum wait of a watch; randomly up to 1/5 shorter.
    std::chrono::milliseconds minBackoff { 250 }; ///< Backoff after the first failed or stale read.
    std::chrono::milliseconds maxReaderBackoff { 5000 }; ///< Bounds how late a reader notices a recovered service.
    std::chrono::milliseconds maxFallbackBackoff { 60'000 }; ///< The same for a fallback reader.
    std::chrono::milliseconds lostReadTimeout { 30'000 }; ///< Time past its wait until a read counts as failed.
    double readerReadsPerSecond = 5; ///< Limit for one reader.
    double fleetReaderReadsPerSecond = 700; ///< Limit for all readers together.
    double fleetFallbackReadsPerSecond = 700; ///< Limit for all fallback readers together.
    size_t fleetNodesCount = 3500; ///< Assumed until setFleetSize() is called.
};

/// A read for the document's platform thread to start now.
struct PlatformRead {
    DocumentName document = DocumentName::Configuration;
    Revision after; ///< Requests a revision higher than this one.
    std::chrono::milliseconds wait { 0 }; ///< Maximum long-polling wait; zero for an immediate response.
    uint64_t id = 0; ///< Unique; lets the schedule ignore the result of a read that it gave up on.
    size_t attempt = 0; ///< Consecutive failed or stale reads before this one, to pick another address.
};

/// Result of a read.
struct PlatformReadResult {
    enum class Kind : uint8_t {
        Document, ///< 200 with a revision. Pass the text to Distributor::onPublished() first.
        NotModified, ///< 304.
        Failed, ///< No response, another status or a malformed response.
    };
    Kind kind = Kind::Failed;
    Revision revision; ///< Revision of the document; unused for other kinds.
};

/// Decides when this node reads documents from the platform. Readers keep a long-polling watch on each document;
/// fallback readers make single reads at a low rate. Failed and stale reads back off with jitter. At most one read per
/// document runs at a time. State machine without I/O, owned by the control thread; other threads make the calls.
class PlatformReadSchedule {
public:
    /// @param settings Rates, waits and backoffs.
    /// @param selection Provides this node's role; outlives the schedule.
    /// @param store Documents of this node; outlives the schedule.
    /// @param distributor Notified of every contact with the platform; outlives the schedule.
    /// @param clock Source of time; outlives the schedule.
    /// @param seed Seed for the jitter.
    /// @return The schedule, or ErrorCode::InvalidArgument.
    static Result<std::unique_ptr<PlatformReadSchedule>> create(PlatformReadSettings settings,
        const ReaderSelection& selection, const DocumentStore& store, Distributor& distributor, const Clock& clock,
        uint64_t seed);

    /// @return A read to start now, or empty if none is due. Up to two reads run at a time, one per document.
    std::optional<PlatformRead> nextRead();

    /// Records the result of a read. Ignores results of reads that were given up on.
    void onReadDone(const PlatformRead&, const PlatformReadResult&);

    /// Sets the fleet size, which determines this node's share of the fleet's read rates.
    /// @param nodeCount Number of VMs in the VM list.
    void setFleetSize(size_t nodeCount);

    /// @return The role as of the last nextRead().
    ReaderRole role() const { return m_role; }

private:
    /// Read state of one document.
    struct Slot {
        std::optional<PlatformRead> running;
        SteadyTime startedAt;
        SteadyTime notBefore;
        size_t failures = 0;
    };

    PlatformReadSchedule(
        PlatformReadSettings, const ReaderSelection&, const DocumentStore&, Distributor&, const Clock&, uint64_t seed);

    void changeRole(ReaderRole, SteadyTime now);
    std::optional<PlatformRead> nextWatch(SteadyTime now);
    std::optional<PlatformRead> nextFallbackRead(SteadyTime now);
    PlatformRead startRead(DocumentName, std::chrono::milliseconds wait, SteadyTime now);
    size_t firstDocument() const;
    double readerRate() const;
    double fallbackRate() const;
    std::chrono::nanoseconds jitter(double seconds);
    void recordFailure(Slot&, SteadyTime now);

    const PlatformReadSettings m_settings;
    const ReaderSelection& m_selection;
    const DocumentStore& m_store;
    Distributor& m_distributor;
    const Clock& m_clock;
    Random m_random;
    size_t m_fleetNodeCount;
    ReaderRole m_role = ReaderRole::None;
    std::array<Slot, documentCount> m_slots;
    TokenBucket m_readerLimit;
    SteadyTime m_nextFallbackReadAt;
    size_t m_nextDocument;
    uint64_t m_nextReadId = 1;
};

}
