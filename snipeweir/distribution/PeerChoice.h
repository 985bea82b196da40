#pragma once

#include "snipeweir/core/PeerDirectory.h"
#include "snipeweir/core/Random.h"

namespace snipeweir {

/// Selects distinct peers uniformly at random.
/// @param peers Candidates.
/// @param count Maximum number of peers to select.
/// @param random Source of randomness.
/// @return Control addresses of the selected peers.
std::vector<Address> choosePeers(const std::vector<Peer>& peers, size_t count, Random& random);

}
