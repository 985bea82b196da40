#include "snipeweir/distribution/PlatformReadSchedule.h"

#include <algorithm>

namespace snipeweir {

namespace {

    // Burst capacity: the watches of both documents may start together.
    constexpr double readerBurst = documentCount;

    // Maximum exponent of the backoff, to keep the shift from overflowing. At this size the upper bound applies anyway.
    constexpr size_t maxBackoffShift = 16;

}

Result<std::unique_ptr<PlatformReadSchedule>> PlatformReadSchedule::create(PlatformReadSettings settings,
    const ReaderSelection& selection, const DocumentStore& store, Distributor& distributor, const Clock& clock,
    uint64_t seed)
{
    if (settings.fleetNodesCount == 0 || settings.readerReadsPerSecond <= 0 || settings.fleetReaderReadsPerSecond <= 0
        || settings.fleetFallbackReadsPerSecond <= 0 || settings.minBackoff <= std::chrono::milliseconds(0))
        return fail(ErrorCode::InvalidArgument,
            "Rates, fleet size and minimum backoff of platform reads must be greater than 0.");
    return std::unique_ptr<PlatformReadSchedule>(
        new PlatformReadSchedule(settings, selection, store, distributor, clock, seed));
}

PlatformReadSchedule::PlatformReadSchedule(PlatformReadSettings settings, const ReaderSelection& selection,
    const DocumentStore& store, Distributor& distributor, const Clock& clock, uint64_t seed)
    : m_settings(settings)
    , m_selection(selection)
    , m_store(store)
    , m_distributor(distributor)
    , m_clock(clock)
    , m_random(seed)
    , m_fleetNodeCount(settings.fleetNodesCount)
    , m_readerLimit(settings.readerReadsPerSecond, readerBurst, 0, clock.now())
    , m_nextFallbackReadAt(clock.now())
    , m_nextDocument(m_random.below(documentCount))
{
}

std::optional<PlatformRead> PlatformReadSchedule::nextRead()
{
    const SteadyTime now = m_clock.now();

    // Treat a read whose result was lost as failed, so that it does not block its document for ever.
    for (auto& slot : m_slots) {
        if (slot.running && now - slot.startedAt > slot.running->wait + m_settings.lostReadTimeout) {
            slot.running.reset();
            recordFailure(slot, now);
        }
    }
    const ReaderRole role = m_selection.role();
    if (role != m_role)
        changeRole(role, now);
    switch (m_role) {
    case ReaderRole::Reader:
        return nextWatch(now);
    case ReaderRole::FallbackReader:
        return nextFallbackRead(now);
    case ReaderRole::None:
        break;
    }
    return std::nullopt;
}

void PlatformReadSchedule::onReadDone(const PlatformRead& read, const PlatformReadResult& result)
{
    Slot& slot = m_slots[indexOf(read.document)];
    if (!slot.running || slot.running->id != read.id)
        return;
    const SteadyTime now = m_clock.now();
    slot.running.reset();
    if (result.kind == PlatformReadResult::Kind::Failed) {
        recordFailure(slot, now);
        return;
    }
    m_distributor.onPlatformContact();

    // A stale service immediately responds with an old revision. Back off, or the watch becomes a busy loop.
    if (result.kind == PlatformReadResult::Kind::Document && result.revision.value <= read.after.value) {
        recordFailure(slot, now);
        return;
    }
    slot.failures = 0;

    // A change ends the watches of all readers at the same time. Jitter keeps their next reads apart.
    slot.notBefore = now + jitter(1 / readerRate());
}

void PlatformReadSchedule::setFleetSize(size_t nodeCount)
{
    // In a smaller fleet each node has a larger share of the rate, so a read scheduled for the old share may be due
    // earlier.
    m_fleetNodeCount = std::max<size_t>(nodeCount, 1);
    m_nextFallbackReadAt = std::min(m_nextFallbackReadAt, m_clock.now() + jitter(1 / fallbackRate()));
}

void PlatformReadSchedule::changeRole(ReaderRole role, SteadyTime now)
{
    // Many nodes change roles at the same time after a fleet restart or when all readers are lost. Each node starts at
    // a random point in its interval, so that the fleet stays within its rate from the first read on.
    m_role = role;
    m_nextFallbackReadAt = now + jitter(1 / fallbackRate());
    m_readerLimit = TokenBucket(readerRate(), readerBurst, m_random.nextDouble(), now);
}

std::optional<PlatformRead> PlatformReadSchedule::nextWatch(SteadyTime now)
{
    m_readerLimit.setRate(readerRate(), now);
    for (size_t i = 0; i < documentCount; ++i) {
        const DocumentName name = allDocuments[(firstDocument() + i) % documentCount];
        const Slot& slot = m_slots[indexOf(name)];
        if (slot.running || now < slot.notBefore || !m_readerLimit.take(1, now))
            continue;
        const double factor = 0.8 + 0.2 * m_random.nextDouble();
        return startRead(
            name, std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.watchWait * factor), now);
    }
    return std::nullopt;
}

std::optional<PlatformRead> PlatformReadSchedule::nextFallbackRead(SteadyTime now)
{
    if (now < m_nextFallbackReadAt)
        return std::nullopt;
    for (size_t i = 0; i < documentCount; ++i) {
        const DocumentName name = allDocuments[(firstDocument() + i) % documentCount];
        const Slot& slot = m_slots[indexOf(name)];
        if (slot.running || now < slot.notBefore)
            continue;
        m_nextFallbackReadAt = now
            + std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double>((0.5 + m_random.nextDouble()) / fallbackRate()));
        return startRead(name, std::chrono::milliseconds(0), now);
    }
    return std::nullopt;
}

PlatformRead PlatformReadSchedule::startRead(DocumentName name, std::chrono::milliseconds wait, SteadyTime now)
{
    Slot& slot = m_slots[indexOf(name)];
    PlatformRead read;
    read.document = name;
    read.after = m_store.highestSeen(name);
    read.wait = wait;
    read.id = m_nextReadId++;
    read.attempt = slot.failures;
    slot.running = read;
    slot.startedAt = now;
    m_nextDocument = (indexOf(name) + 1) % documentCount;
    return read;
}

size_t PlatformReadSchedule::firstDocument() const
{
    // Read the VM list first, since it contains the fleet size. Until then a node of a small fleet reads at the low
    // rate of a large one.
    return m_store.current(DocumentName::Vms) ? m_nextDocument : indexOf(DocumentName::Vms);
}

double PlatformReadSchedule::readerRate() const
{
    // Under a partition, each group of n members that see only each other selects its own 3 readers. Each of them gets
    // n / (3 * fleet size) of the fleet's reader rate, so that the sum over all groups stays within it. An isolated
    // node may read at least as often as a fallback reader.
    const double members = static_cast<double>(m_selection.localMemberCount());
    const double readers
        = static_cast<double>(m_fleetNodeCount) * static_cast<double>(m_selection.readersPerDataCentre());
    const double share = m_settings.fleetReaderReadsPerSecond * members / readers;
    return std::min(m_settings.readerReadsPerSecond, std::max(share, fallbackRate()));
}

double PlatformReadSchedule::fallbackRate() const
{
    return m_settings.fleetFallbackReadsPerSecond / static_cast<double>(m_fleetNodeCount);
}

std::chrono::nanoseconds PlatformReadSchedule::jitter(double seconds)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(seconds * m_random.nextDouble()));
}

void PlatformReadSchedule::recordFailure(Slot& slot, SteadyTime now)
{
    const auto bound = m_role == ReaderRole::Reader ? m_settings.maxReaderBackoff : m_settings.maxFallbackBackoff;
    const auto backoff = std::min<std::chrono::milliseconds>(
        bound, m_settings.minBackoff * (1LL << std::min(slot.failures, maxBackoffShift)));
    ++slot.failures;

    // Wait a random time between half of the backoff and all of it, so that readers do not retry in lockstep.
    slot.notBefore = now + backoff / 2 + jitter(std::chrono::duration<double>(backoff).count() / 2);
}

}
