#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeweir {

/// Ways along which announcements and documents reach all nodes from the one that has read them. Every node works them
/// out from the order of the fleet, which all share, so that no message is needed to agree on them. Small fleets get
/// announcements from the announcer itself; in larger ones they pass along two trees whose inner nodes differ, so that
/// a node that is down cuts nobody off. Bounds what one node sends, whatever the fleet's size. Pure.
class DistributionTree {
public:
    struct Settings {
        /// Nodes up to which the announcer sends to each itself: 64 datagrams of 90 bytes each 700 ms are 8 KB/s.
        size_t directNodes = 64;
        /// Nodes that one node passes an announcement on to in each tree; 3,500 nodes are three levels deep.
        size_t announcementFanOut = 16;
        /// Nodes that fetch a document from the same node, so that a large one does not wait for one slow link.
        size_t documentFanOut = 8;
    };

    /// Trees for announcements in a fleet larger than Settings::directNodes.
    static constexpr uint32_t treeCount = 2;

    explicit DistributionTree(Settings settings)
        : m_settings(settings)
    {
    }

    /// Sets the nodes of the fleet.
    /// @param order IP addresses in the order that all nodes share.
    void setOrder(std::vector<std::string> order) { m_order = std::move(order); }
    const std::vector<std::string>& order() const { return m_order; }

    /// @return Whether the announcer sends to each node itself, along the first tree only.
    bool isDirect() const { return m_order.size() <= m_settings.directNodes; }

    /// @param tree Below treeCount.
    /// @return IP addresses that a node sends an announcement of the announcer to.
    std::vector<std::string> children(const std::string& announcer, const std::string& node, uint32_t tree) const;

    /// @return Times that an announcement is passed on at most. Ends loops between nodes whose orders differ.
    uint32_t maxHops() const;

    /// Where a node fetches a document.
    struct Source {
        std::string ip;
        /// Levels of the tree between the announcer and this source; zero if it is the announcer.
        uint32_t level = 0;
    };

    Source documentSource(const std::string& announcer, const std::string& node) const;

private:
    std::vector<std::string> m_order;
    Settings m_settings;
};

}
