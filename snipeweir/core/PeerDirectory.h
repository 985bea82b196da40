#pragma once

#include "snipeweir/core/Identity.h"

#include <vector>

namespace snipeweir {

/// A live member of the fleet, with the data that other modules need to send it control messages.
struct Peer {
    VmId vm;
    DataCentreName dataCentre;
    RegionName region;
    Address controlAddress;
    Incarnation incarnation;
};

/// View of the live members of the fleet. Implemented by membership, used by distribution.
/// Only the control thread may call it.
class PeerDirectory {
public:
    virtual ~PeerDirectory() = default;

    /// @return This node.
    virtual const Peer& self() const = 0;

    /// @return Live members of the node's data centre except the node itself, ordered by VM name.
    virtual const std::vector<Peer>& localPeers() const = 0;

    /// @return Known bridges of the other data centres, ordered by data centre and VM name.
    virtual std::vector<Peer> remoteBridges() const = 0;

    /// @return Whether this node is currently a bridge of its data centre.
    virtual bool isBridge() const = 0;
};

}
