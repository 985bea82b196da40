#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace snipeweir {

/// Distribution trees for announcements and documents, rooted at the node that has read the source (the announcer).
/// Every node computes the same trees from the shared order of the fleet, without exchanging messages about them. In
/// small fleets the announcer sends announcements to each node directly. In larger fleets announcements are forwarded
/// along two trees with different inner nodes, so that one failed node does not cut off others. Limits what a node
/// sends, whatever the fleet size. All functions are deterministic and perform no I/O.
class DistributionTree {
public:
    struct Settings {
        /// Maximum fleet size for direct announcements: 64 datagrams of 90 bytes every 700 ms are 8 KB/s.
        size_t directNodes = 64;
        /// Number of children in each announcement tree; a tree of 3,500 nodes has three levels below the root.
        size_t announcementFanOut = 16;
        /// Number of nodes that fetch a document from the same node, so that one slow link does not delay a large
        /// document for the whole fleet.
        size_t documentFanOut = 8;
    };

    /// Number of announcement trees in a fleet larger than Settings::directNodes.
    static constexpr uint32_t treeCount = 2;

    explicit DistributionTree(Settings settings)
        : m_settings(settings)
    {
    }

    /// Sets the nodes of the fleet.
    /// @param order IP addresses in the order shared by all nodes.
    void setOrder(std::vector<std::string> order) { m_order = std::move(order); }
    const std::vector<std::string>& order() const { return m_order; }

    /// @return Whether the announcer sends to each node directly; children() then uses the first tree only.
    bool isDirect() const { return m_order.size() <= m_settings.directNodes; }

    /// @param announcer IP address of the node at the root.
    /// @param node IP address of the sending node.
    /// @param tree Index of the tree, below treeCount.
    /// @return IP addresses to which the node forwards the announcement.
    std::vector<std::string> children(const std::string& announcer, const std::string& node, uint32_t tree) const;

    /// @return Maximum number of hops of an announcement. Ends forwarding loops between nodes whose orders differ.
    uint32_t maxHops() const;

    /// Node from which another node fetches a document.
    struct Source {
        std::string ip;
        /// Level of this node in the document tree; zero for the announcer.
        uint32_t level = 0;
    };

    /// @return The node from which a node fetches the announcer's documents; the announcer itself for a node that is
    /// not in the order.
    Source documentSource(const std::string& announcer, const std::string& node) const;

private:
    std::vector<std::string> m_order;
    Settings m_settings;
};

}
