#include "snipeweir/fleet/DistributionTree.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace snipeweir;

namespace {

std::vector<std::string> fleetOf(size_t nodes)
{
    std::vector<std::string> order;
    for (size_t node = 0; node < nodes; ++node)
        order.push_back("n" + std::to_string(node));
    return order;
}

DistributionTree treeOf(size_t nodes)
{
    DistributionTree tree { DistributionTree::Settings() };
    tree.setOrder(fleetOf(nodes));
    return tree;
}

/// Simulates how an announcement is forwarded; nodes that are down neither receive nor forward it.
struct AnnouncementSimulation {
    AnnouncementSimulation(const DistributionTree& simulatedTree, std::string from, std::set<std::string> nodesDown)
        : tree(simulatedTree)
        , announcer(std::move(from))
        , down(std::move(nodesDown))
    {
        for (uint32_t number = 0; number < DistributionTree::treeCount; ++number)
            forward(announcer, number, tree.maxHops());
    }

    void forward(const std::string& node, uint32_t number, uint32_t hopsLeft)
    {
        reached.insert(node);
        if (hopsLeft == 0)
            return;
        for (const std::string& child : tree.children(announcer, node, number)) {
            ++sent[node];
            if (!down.contains(child))
                forward(child, number, hopsLeft - 1);
        }
    }

    size_t maxSent() const
    {
        size_t maxCount = 0;
        for (const auto& [node, count] : sent)
            maxCount = std::max(maxCount, count);
        return maxCount;
    }

    const DistributionTree& tree;
    std::string announcer;
    std::set<std::string> down;
    std::set<std::string> reached;
    std::map<std::string, size_t> sent;
};

}

TEST_CASE("An announcement reaches each node of a fleet of any size, and the messages sent by a node are bounded")
{
    for (const size_t nodes : { 1, 2, 13, 64, 65, 86, 300, 3541 }) {
        const DistributionTree tree = treeOf(nodes);
        for (const std::string announcer : { "n0", "n1" }) {
            const AnnouncementSimulation simulation(tree, announcer, {});
            CHECK(simulation.reached.size() == std::max<size_t>(nodes, announcer == "n0" ? 1 : 2));
            // 9 KB/s with datagrams of 90 bytes and an announcement every 700 ms.
            CHECK(simulation.maxSent() <= 70);
        }
    }
}

TEST_CASE("One failed node does not cut off other nodes")
{
    const DistributionTree tree = treeOf(300);
    for (size_t down = 1; down < 300; ++down) {
        const AnnouncementSimulation simulation(tree, "n0", { "n" + std::to_string(down) });
        CHECK(simulation.reached.size() == 299);
    }
}

TEST_CASE("Announcements of a node that is not registered yet reach the fleet")
{
    const DistributionTree tree = treeOf(300);
    CHECK(AnnouncementSimulation(tree, "new", {}).reached.size() == 301);
}

TEST_CASE("Announcements end after a bounded number of hops, also between nodes whose orders differ")
{
    DistributionTree tree = treeOf(100);
    DistributionTree other = treeOf(100);
    std::vector<std::string> reversed = tree.order();
    std::reverse(reversed.begin(), reversed.end());
    other.setOrder(reversed);
    CHECK(tree.maxHops() == other.maxHops());
    CHECK(tree.maxHops() <= 2);
}

TEST_CASE("Documents are fetched along a tree in which no node serves more than its share")
{
    const DistributionTree tree = treeOf(3541);
    std::map<std::string, size_t> served;
    uint32_t deepest = 0;
    for (const std::string& node : tree.order()) {
        if (node == "n7")
            continue;
        const DistributionTree::Source source = tree.documentSource("n7", node);
        ++served[source.ip];
        deepest = std::max(deepest, source.level);
        // The source's own source is at a lower level.
        if (source.level > 0)
            CHECK(tree.documentSource("n7", source.ip).level < source.level);
    }
    for (const auto& [ip, count] : served)
        CHECK(count <= 8);
    CHECK(deepest == 3);
    CHECK(tree.documentSource("n7", "unknown").ip == "n7");
}
