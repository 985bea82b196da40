#include "snipeweir/distribution/PeerChoice.h"

#include <algorithm>
#include <numeric>

namespace snipeweir {

// Partial Fisher-Yates shuffle: only the first count positions are shuffled.
std::vector<Address> choosePeers(const std::vector<Peer>& peers, size_t count, Random& random)
{
    std::vector<size_t> order(peers.size());
    std::iota(order.begin(), order.end(), size_t { 0 });
    std::vector<Address> chosen;
    for (size_t i = 0; i < std::min(count, peers.size()); ++i) {
        std::swap(order[i], order[i + random.below(order.size() - i)]);
        chosen.push_back(peers[order[i]].controlAddress);
    }
    return chosen;
}

}
