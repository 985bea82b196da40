#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// @return The hash that identifies an organisation in messages between nodes; the same on all nodes.
uint64_t organisationHash(std::string_view name);

/// Registered nodes as far as quotas need them: which node grants the tokens of an organisation in which data centre,
/// and which share of a quota a data centre has. Performs no I/O; for one thread.
class QuotaMembers {
public:
    struct Settings {
        /// Time for which a higher count of nodes keeps shares from rising.
        std::chrono::milliseconds countMemory { 10'000 };
        /// The same if no more than half of the nodes are left. This is then more likely the smaller part of a
        /// partitioned fleet than a fleet that has shrunk.
        std::chrono::milliseconds halfCountMemory { 60'000 };
        /// Time for which a data centre's share counts only nodes that were registered throughout, since the other
        /// data centres have not yet reduced their shares.
        std::chrono::milliseconds joinDelay { 10'000 };
        /// Time after which a node that is no longer registered has certainly stopped granting tokens. Longer than
        /// QuotaGranter::Settings::maxViewAge, after which it has stopped by itself.
        std::chrono::milliseconds grantingMemory { 10'000 };
        /// Longest time for which tokens accumulate before the first request of an organisation.
        std::chrono::milliseconds maxAccumulation { 60'000 };
    };

    struct Member {
        std::string ip;
        DataCentreName dataCentre;
    };

    /// @param ownIp IP address of this node.
    /// @param ownDataCentre Data centre of this node while it is not registered.
    QuotaMembers(Settings settings, const Clock& clock, std::string ownIp, DataCentreName ownDataCentre)
        : m_settings(settings)
        , m_clock(clock)
        , m_ownIp(std::move(ownIp))
        , m_dataCentre(std::move(ownDataCentre))
    {
    }

    /// Replaces the registered nodes.
    void update(const std::vector<Member>&);

    /// Treats this node as one that has just been registered, because others may have taken its place meanwhile.
    void rejoin() { m_registeredSince = m_clock.now(); }

    /// Records that a node has become granter, although it may not be registered in this node's view yet.
    void addClaimant(const std::string& ip);

    /// Takes over a higher count of nodes that another node remembers.
    void learnCount(size_t count);

    /// @return Whether a node that is no longer registered may still grant tokens of the organisation in this data
    /// centre and ranks above another node.
    bool hasDepartedAbove(uint64_t organisation, const std::string& ip) const;

    /// @return Whether this node grants the tokens of the organisation in its data centre.
    bool isGranter(uint64_t organisation) const;

    /// @return IP addresses of the organisation's granters, that of this node's data centre first. The order of the
    /// others depends on the organisation and this node, so that they share the load.
    std::vector<std::string> granters(uint64_t organisation) const;

    /// A node that may grant tokens which this node, as a new granter, would grant as well.
    struct Predecessor {
        /// Empty if the node is not known.
        std::string ip;
        /// Time at which it has certainly stopped.
        SteadyTime until;
        /// Whether it is in this data centre. One in another data centre may not count this node in its shares yet.
        bool isLocal = true;
    };

    /// @return Nodes that may still grant what this node is to grant.
    std::vector<Predecessor> predecessors(uint64_t organisation) const;

    /// @return Time since which no other node has granted tokens of the organisation in this data centre, within
    /// Settings::maxAccumulation; in the future if there are predecessors.
    SteadyTime onlyGranterSince(uint64_t organisation) const;

    /// @return Share of the fleet's nodes that are registered in this node's data centre; zero if it is not registered.
    double share() const;

    /// @return Highest number of registered nodes within the memory.
    size_t highestCount() const;

    /// @return The same without what other nodes remember, for those to take over.
    size_t ownHighestCount() const;

    /// @return Registered nodes, in parts of their highest count within Settings::halfCountMemory.
    double presentShare() const;

    /// @return Time since which this node knows itself as registered, or of the last call of rejoin().
    SteadyTime registeredSince() const { return m_registeredSince; }

    /// @return Position of this node among the registered ones, the same at all nodes; empty if it is not registered.
    std::optional<size_t> rank() const { return m_rank; }

    bool contains(const std::string& ip) const;
    size_t dataCentreCount() const { return m_dataCentres.size(); }
    const std::vector<std::string>& ips() const { return m_ips; }

private:
    struct Count {
        SteadyTime since;
        size_t all = 0;
        size_t local = 0;
    };
    struct Candidate {
        std::string ip;
        uint64_t hash = 0;
    };

    static uint64_t score(uint64_t organisation, uint64_t nodeHash);
    /// @return The candidate with the highest score; null if there is none.
    static const Candidate* highest(const std::vector<Candidate>&, uint64_t organisation, std::string_view except);
    /// @return Highest count since a time.
    size_t highestCountSince(SteadyTime) const;

    Settings m_settings;
    const Clock& m_clock;
    std::string m_ownIp;
    /// Sorted.
    std::vector<std::string> m_ips;
    std::map<DataCentreName, std::vector<Candidate>> m_dataCentres;
    std::optional<size_t> m_rank;
    DataCentreName m_dataCentre;
    uint64_t m_ownHash = 0;
    /// Time since which this node knows itself as registered.
    SteadyTime m_registeredSince {};
    std::deque<Count> m_counts;
    /// Highest count that another node remembered, and the time until which it counts.
    size_t m_learnedCount = 0;
    SteadyTime m_learnedUntil {};
    /// Nodes of this data centre that are no longer registered, with the time at which they have stopped granting; kept
    /// until Settings::maxAccumulation later.
    std::map<std::string, SteadyTime> m_departed;
    /// Nodes that said that they are granters, with the time until which this counts.
    std::map<std::string, SteadyTime> m_claimants;
};

}
