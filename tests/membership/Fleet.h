#pragma once

#include "snipeweir/control/Envelope.h"
#include "snipeweir/membership/Membership.h"
#include "tests/support/FakeNetwork.h"

#include <memory>
#include <optional>

namespace snipeweir {

/// Nodes with envelope and membership on a FakeNetwork, in virtual time.
class Fleet {
public:
    struct Node {
        Peer peer;
        ServiceName service;
        std::unique_ptr<Envelope> envelope;
        std::unique_ptr<Membership> membership;
        std::vector<Event> events;
        bool isPaused = false;
        bool isLeaving = false;
    };

    explicit Fleet(uint64_t seed);

    /// Starts nodes named "<data centre>-<number>" in one region.
    void startDataCentre(const std::string& dataCentre, const std::string& region, int count);

    /// @param address Empty for a new address.
    Node& start(const std::string& vm, const std::string& dataCentre, const std::string& region,
        const std::optional<Address>& address = std::nullopt);
    void crash(const std::string& vm);
    void pause(const std::string& vm);
    void resume(const std::string& vm);

    /// Passes a VM list to all running nodes, and to those started later.
    void publishVmList(const std::vector<VmListEntry>&);
    std::vector<VmListEntry> currentVmList() const;

    void run(std::chrono::milliseconds);

    /// @return Time until the condition held, checked every 100 ms; empty if it did not within the bound.
    std::optional<std::chrono::milliseconds> runUntil(
        const std::function<bool()>& condition, std::chrono::milliseconds bound);

    Node& node(const std::string& vm) { return *m_nodes.at(vm); }
    bool isRunning(const std::string& vm) const { return m_nodes.contains(vm); }
    const std::map<std::string, std::unique_ptr<Node>>& nodes() const { return m_nodes; }

    /// @return State of a member in a node's view; empty if it is unknown or known only from the VM list.
    std::optional<MemberState> stateOf(const std::string& observer, const std::string& vm) const;

    /// @return Number of running nodes in whose view the member has the state.
    int countObservers(const std::string& vm, MemberState) const;

    /// @return Whether each running node's view has exactly the running nodes as alive, or as leaving if they leave. A
    /// flapping member counts as alive.
    bool allAgree() const;
    /// @return Why allAgree() is false; empty if it is true.
    std::string disagreement() const;

    /// Data centre, region and name of the node that was last started at an address.
    DataCentreName dataCentreOf(const Address&) const;
    RegionName regionOf(const Address&) const;
    std::string vmAt(const Address&) const;

    ManualClock clock;
    FakeNetwork network;

private:
    void tickAll();

    Random m_random;
    uint32_t m_addressCount = 0;
    uint64_t m_ticks = 0;
    std::map<std::string, std::unique_ptr<Node>> m_nodes;
    std::map<Address, Peer> m_peers;
    std::vector<VmListEntry> m_list;
};

}
