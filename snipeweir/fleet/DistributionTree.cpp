#include "snipeweir/fleet/DistributionTree.h"

#include <algorithm>
#include <optional>

namespace snipeweir {

namespace {

    /// @return Level-order position of a node in a tree with the announcer as its root at position 0; empty if the node
    /// is not in the order.
    std::optional<size_t> positionOf(
        const std::vector<std::string>& order, const std::string& announcer, const std::string& node)
    {
        if (node == announcer)
            return 0;
        size_t position = 0;
        for (const std::string& ip : order) {
            position += ip == announcer ? 0 : 1;
            if (ip == node)
                return position;
        }
        return std::nullopt;
    }

    /// @return The nodes of a tree in level order, starting with the announcer as its root.
    std::vector<std::string> withRoot(const std::vector<std::string>& order, const std::string& announcer)
    {
        std::vector<std::string> nodes { announcer };
        nodes.reserve(order.size() + 1);
        std::copy_if(order.begin(), order.end(), std::back_inserter(nodes),
            [&](const std::string& ip) { return ip != announcer; });
        return nodes;
    }

}

std::vector<std::string> DistributionTree::children(
    const std::string& announcer, const std::string& node, uint32_t tree) const
{
    std::vector<std::string> nodes = withRoot(m_order, announcer);
    // The second tree uses the reverse order, so that the inner nodes of one tree are leaves of the other.
    if (tree % 2 == 1)
        std::reverse(nodes.begin() + 1, nodes.end());
    if (isDirect()) {
        if (node != announcer || tree != 0)
            return {};
        nodes.erase(nodes.begin());
        return nodes;
    }
    const auto found = std::find(nodes.begin(), nodes.end(), node);
    if (found == nodes.end())
        return {};
    const auto position = static_cast<size_t>(found - nodes.begin());
    const size_t first = std::min(nodes.size(), position * m_settings.announcementFanOut + 1);
    const size_t last = std::min(nodes.size(), first + m_settings.announcementFanOut);
    return { nodes.begin() + static_cast<ptrdiff_t>(first), nodes.begin() + static_cast<ptrdiff_t>(last) };
}

uint32_t DistributionTree::maxHops() const
{
    if (isDirect())
        return 1;
    uint32_t hops = 0;
    for (size_t reached = 1, level = 1; reached < m_order.size(); ++hops) {
        level *= m_settings.announcementFanOut;
        reached += level;
    }
    return hops;
}

DistributionTree::Source DistributionTree::documentSource(const std::string& announcer, const std::string& node) const
{
    const auto position = positionOf(m_order, announcer, node);
    if (!position || *position <= m_settings.documentFanOut)
        return { announcer, 0 };
    size_t parent = (*position - 1) / m_settings.documentFanOut;
    Source source { withRoot(m_order, announcer)[parent], 0 };
    for (; parent > 0; parent = (parent - 1) / m_settings.documentFanOut)
        ++source.level;
    return source;
}

}
