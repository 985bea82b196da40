#include "snipeweir/distribution/ReaderSelection.h"

#include <algorithm>
#include <xxhash.h>

namespace snipeweir {

namespace {

    // Differs from the seeds of other rendezvous hashes, so that bridges and readers are usually different nodes.
    constexpr uint64_t readerSeed = 0x72656164;

    uint64_t score(const VmId& vm) { return XXH3_64bits_withSeed(vm.text().data(), vm.text().size(), readerSeed); }

}

Result<std::unique_ptr<ReaderSelection>> ReaderSelection::create(ReaderSelectionSettings settings,
    const PeerDirectory& peers, const Distributor& distributor, const DocumentStore& store, const Clock& clock)
{
    if (settings.readersPerDataCentreCount == 0)
        return fail(ErrorCode::InvalidArgument, "readersPerDataCentreCount must be at least 1.");
    return std::unique_ptr<ReaderSelection>(new ReaderSelection(settings, peers, distributor, store, clock));
}

ReaderSelection::ReaderSelection(ReaderSelectionSettings settings, const PeerDirectory& peers,
    const Distributor& distributor, const DocumentStore& store, const Clock& clock)
    : m_settings(settings)
    , m_peers(peers)
    , m_distributor(distributor)
    , m_store(store)
    , m_clock(clock)
    , m_startedAt(clock.now())
{
}

std::vector<VmId> ReaderSelection::readers() const
{
    std::vector<std::pair<uint64_t, std::string>> ranked { { score(m_peers.self().vm), m_peers.self().vm.text() } };
    for (const auto& peer : m_peers.localPeers())
        ranked.emplace_back(score(peer.vm), peer.vm.text());
    const size_t count = std::min(m_settings.readersPerDataCentreCount, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(), std::greater<>());
    std::vector<VmId> chosen;
    for (size_t i = 0; i < count; ++i)
        chosen.emplace_back(std::move(ranked[i].second));
    return chosen;
}

ReaderRole ReaderSelection::role() const
{
    // After a fleet restart, until its member view is complete, every node would rank itself among the first three.
    const auto sinceStart = m_clock.now() - m_startedAt;
    if (sinceStart >= m_settings.settleTime) {
        const VmId& self = m_peers.self().vm;
        const uint64_t own = score(self);
        const auto ranksHigher = [&](const VmId& vm) {
            const uint64_t other = score(vm);
            return other != own ? other > own : vm.text() > self.text();
        };
        size_t higherRankedCount = 0;
        for (const auto& peer : m_peers.localPeers()) {
            higherRankedCount += ranksHigher(peer.vm) ? 1 : 0;
            if (higherRankedCount == m_settings.readersPerDataCentreCount)
                break;
        }
        if (higherRankedCount < m_settings.readersPerDataCentreCount)
            return ReaderRole::Reader;
    }
    const bool hasAllDocuments = std::all_of(allDocuments.begin(), allDocuments.end(),
        [this](DocumentName name) { return m_store.current(name) != nullptr; });
    const auto timeout = hasAllDocuments ? m_settings.readerTimeout : m_settings.initialReaderTimeout;
    const auto contactAge = m_distributor.platformContactAge();
    const auto timeWithoutContact
        = contactAge ? std::min(*contactAge, std::chrono::nanoseconds(sinceStart)) : sinceStart;
    return timeWithoutContact > timeout ? ReaderRole::FallbackReader : ReaderRole::None;
}

}
