#include "snipeweir/routing/Subset.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>
#include <xxhash.h>

namespace snipeweir {

namespace {

    struct RingEntry {
        double position = 0;
        uint64_t hash = 0;
        const EndpointCandidate* endpoint = nullptr;
    };

    std::vector<RingEntry> buildRing(const std::vector<EndpointCandidate>& endpoints)
    {
        std::map<DataCentreName, std::vector<RingEntry>> dataCentres;
        for (const EndpointCandidate& endpoint : endpoints) {
            const std::string& name = endpoint.vm.text();
            dataCentres[endpoint.dataCentre].push_back({ 0, XXH3_64bits(name.data(), name.size()), &endpoint });
        }

        // Interleave the data centres in proportion to their sizes, so that every window holds its share of each.
        std::vector<RingEntry> ring;
        ring.reserve(endpoints.size());
        const auto isBefore = [](const RingEntry& left, const RingEntry& right) {
            return std::pair(left.position, left.hash) < std::pair(right.position, right.hash);
        };
        for (auto& [name, members] : dataCentres) {
            std::sort(members.begin(), members.end(), isBefore);
            for (size_t rank = 0; rank < members.size(); ++rank) {
                members[rank].position = (static_cast<double>(rank) + 0.5) / static_cast<double>(members.size());
                ring.push_back(members[rank]);
            }
        }
        std::sort(ring.begin(), ring.end(), isBefore);
        return ring;
    }

}

std::vector<EndpointCandidate> Subset::choose(
    size_t callerIndex, size_t size, const std::vector<EndpointCandidate>& endpoints)
{
    if (endpoints.size() <= size)
        return endpoints;
    const std::vector<RingEntry> ring = buildRing(endpoints);

    // Multiples of the golden ratio modulo one, in 32-bit fixed point.
    constexpr uint64_t goldenRatio = 0x9E3779B9;
    const uint64_t fraction = (callerIndex * goldenRatio) & 0xFFFFFFFF;
    const auto start = static_cast<size_t>((fraction * ring.size()) >> 32);
    std::vector<EndpointCandidate> chosen;
    size_t usable = 0;
    for (size_t i = 0; i < ring.size() && usable < size; ++i) {
        const EndpointCandidate& endpoint = *ring[(start + i) % ring.size()].endpoint;
        usable += endpoint.isInService && endpoint.isAlive && !endpoint.isLeaving ? 1 : 0;
        chosen.push_back(endpoint);
    }
    return chosen;
}

}
