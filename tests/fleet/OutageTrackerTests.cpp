#include "snipeweir/core/Random.h"
#include "snipeweir/fleet/FleetView.h"
#include "snipeweir/fleet/OutageTracker.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start { 1h };

/// @return A tracker whose view was current each second until a gap of five seconds ended at 20 s.
OutageTracker trackerWithGap()
{
    OutageTracker tracker;
    for (auto age = 0s; age <= 15s; age += 1s)
        tracker.onViewCurrent(start + age);
    CHECK_FALSE(tracker.hasOutage());
    CHECK(tracker.onViewCurrent(start + 20s));
    return tracker;
}

}

TEST_CASE("A gap that no other node contradicts does not count as an outage of the source")
{
    OutageTracker tracker = trackerWithGap();
    CHECK(tracker.outageEnd() == start + 20s);
    // Nodes that started during the gap, or that had the same one.
    CHECK_FALSE(tracker.onContinuity({ 3s, std::nullopt }, start + 20s, start + 20s));
    CHECK_FALSE(tracker.onContinuity({ 60s, SourceContinuity::Gap { 6s, 0s } }, start + 20s, start + 20s));
    CHECK(tracker.outageEnd() == start + 20s);
    // Another node has read the source before.
    CHECK(tracker.onContinuity({ 60s, SourceContinuity::Gap { 6s, 1s } }, start + 20s, start + 20s));
    CHECK(tracker.outageEnd() == start + 19s);
}

TEST_CASE("A gap in which another node could read the source counts as an outage")
{
    for (const auto& gap :
        { std::optional<SourceContinuity::Gap>(), { { 30s, 10s } }, { { 7s, 4s } }, { { 2s, 0s } } }) {
        OutageTracker tracker = trackerWithGap();
        CHECK(tracker.onContinuity({ 60s, gap }, start + 20s, start + 20s));
        CHECK_FALSE(tracker.hasOutage());
        CHECK(tracker.outageEnd() == SteadyTime {});
        CHECK_FALSE(tracker.continuity(start + 21s).gap);
    }
}

TEST_CASE("The time in transit of another node's state makes an outage appear shorter")
{
    OutageTracker tracker = trackerWithGap();
    // Sent at 20 s with the same gap, received at 21 s.
    CHECK_FALSE(tracker.onContinuity({ 60s, SourceContinuity::Gap { 5s, 0s } }, start + 20s, start + 21s));
    CHECK(tracker.outageEnd() == start + 20s);
}

TEST_CASE("A node does not tell of a gap that still lasts, or of its last one")
{
    const OutageTracker tracker = trackerWithGap();
    auto told = tracker.continuity(start + 22s);
    CHECK(told.knownFor == 22s);
    REQUIRE(told.gap);
    CHECK(told.gap->startAge == 7s);
    CHECK(told.gap->endAge == 2s);
    told = tracker.continuity(start + 30s);
    CHECK(told.gap->startAge == 10s);
    CHECK(told.gap->endAge == 0s);
    CHECK(OutageTracker().continuity(start).knownFor == 0s);
}

TEST_CASE("What a node says about its gap is not understood, or a malformed text is")
{
    const auto parsed = SourceContinuity::parse(SourceContinuity { 9s, SourceContinuity::Gap { 7s, 2s } }.text());
    REQUIRE(parsed);
    CHECK(parsed->knownFor == 9s);
    CHECK(parsed->gap->startAge == 7s);
    CHECK(parsed->gap->endAge == 2s);
    CHECK_FALSE(SourceContinuity::parse("9000")->gap);
    for (const char* bad :
        { "", ",", "1,2", "1,2,", "1,2,3,4", "-1", "1,2,-3", "x", "1 ", "99999999999999999999", "9223372036854775807" })
        CHECK_FALSE(SourceContinuity::parse(bad));
}

namespace {

/// Nodes that read a source in turn and tell each other, some of them partitioned off for a while, and an outage.
struct History {
    static constexpr int64_t nodeCount = 5;
    static constexpr auto step = 50ms;
    static constexpr auto drain = 2000ms;
    static constexpr auto stableWindow = 3000ms;

    struct Node {
        explicit Node(const Clock& clock)
            : view(clock)
        {
        }
        FleetView view;
        OutageTracker outages;
        SteadyTime cutFrom {};
        SteadyTime cutUntil {};
        SteadyTime firstCurrentAt {};
        SteadyTime currentAt {};
        SteadyTime nextAttempt {};
    };

    explicit History(uint64_t seed)
        : random(seed)
    {
        const auto moment = [&](int64_t below) { return start + std::chrono::milliseconds(random.below(below)); };
        if (random.below(2) == 0) {
            outageFrom = moment(15'000) + 2s;
            outageUntil = outageFrom + 2600ms + std::chrono::milliseconds(random.below(5000));
        }
        clock.moveTo(start);
        for (int64_t i = 0; i < nodeCount; ++i) {
            nodes.emplace_back(clock);
            // The first node stays: without any node that can read, a partition cannot be told from an outage.
            if (i == 0 || random.below(2) == 0)
                continue;
            nodes.back().cutFrom = moment(20'000);
            nodes.back().cutUntil = nodes.back().cutFrom + std::chrono::milliseconds(random.below(9000));
        }
        for (size_t i = 0; i < 8; ++i)
            removedAt.push_back(moment(30'000) + 1s);
    }

    bool isOutage() const { return clock.now() >= outageFrom && clock.now() < outageUntil; }
    bool isCut(const Node& node) const { return clock.now() >= node.cutFrom && clock.now() < node.cutUntil; }

    /// Even entries expire in the outage and are back within two seconds. Odd ones are removed for good, but not from
    /// so shortly before an outage that no node can learn it in time until the source has been back for the stable
    /// window.
    bool isInSource(size_t entry, SteadyTime now) const
    {
        if (entry % 2 == 0) {
            const auto backAfter = std::chrono::milliseconds(200 + 250 * entry);
            return outageUntil == SteadyTime {} || now < outageFrom + 2500ms || now >= outageUntil + backAfter;
        }
        return now < removalOf(entry);
    }
    SteadyTime removalOf(size_t entry) const
    {
        const SteadyTime planned = removedAt[entry];
        const bool isUnstable = planned >= outageFrom - drain && planned < outageUntil + stableWindow;
        return isUnstable ? outageUntil + stableWindow : planned;
    }

    static bool isUsed(const Node& node, size_t entry)
    {
        const auto& used = node.view.backends();
        return std::any_of(used.begin(), used.end(),
            [&](const BackendEntry& known) { return known.instance == std::to_string(entry); });
    }

    void take(Node& node, SteadyTime asOf, const Node* sender)
    {
        if (node.firstCurrentAt == SteadyTime {})
            node.firstCurrentAt = asOf;
        node.currentAt = asOf;
        const bool hasGapEnded = node.outages.onViewCurrent(asOf);
        if (sender)
            node.outages.onContinuity(sender->outages.continuity(clock.now()), clock.now(), clock.now());
        BackendList list { Revision { static_cast<uint64_t>((asOf - start) / step) + 1 }, {} };
        for (size_t i = 0; i < removedAt.size(); ++i) {
            if (!isInSource(i, asOf)) {
                // Without an outage, what the nodes say of their gaps must be enough.
                if (outageUntil != SteadyTime {} && sender && sender->firstCurrentAt != SteadyTime {}
                    && !isUsed(*sender, i))
                    list.removed.insert(std::to_string(i));
                continue;
            }
            list.entries.emplace_back();
            list.entries.back().instance = std::to_string(i);
            list.entries.back().address = { "10.0.0." + std::to_string(i + 1), 80 };
        }
        node.view.updateBackends(std::move(list), node.outages.outageEnd(), asOf);
        // A node that read the source itself asks another node, whichever it reaches.
        if (hasGapEnded && !sender) {
            for (Node& other : nodes) {
                if (&other != &node && !isCut(other))
                    node.outages.onContinuity(other.outages.continuity(clock.now()), clock.now(), clock.now());
            }
            node.view.limitMissing(node.outages.outageEnd());
            node.view.expireMissing(asOf);
        }
    }

    /// Sends the view of a node to those with an older one.
    void announce(Node& node)
    {
        for (Node& other : nodes) {
            if (other.currentAt < node.currentAt && !isCut(node) && !isCut(other))
                take(other, node.currentAt, &node);
        }
    }

    void read(int64_t rank)
    {
        Node& node = nodes[static_cast<size_t>(rank)];
        SteadyTime next = std::max(node.currentAt + 700ms + 150ms * rank, node.nextAttempt);
        const auto expiry = node.view.nextExpiry();
        if (expiry && *expiry > node.currentAt && rank == lastReader)
            next = std::min(next, *expiry);
        if (clock.now() < next)
            return;
        if (isOutage() || isCut(node)) {
            node.nextAttempt = clock.now() + 1600ms;
            announce(node);
            return;
        }
        lastReader = rank;
        take(node, clock.now(), nullptr);
        announce(node);
    }

    void check(Node& node)
    {
        const SteadyTime now = clock.now();
        for (size_t i = 0; i < removedAt.size(); ++i) {
            // An outage of the source disrupts the node's link to it as well.
            const bool isDisruptedByOutage = now >= outageFrom && now < outageUntil + stableWindow;
            const bool isConnected
                = (now >= node.cutUntil + stableWindow && !(isDisruptedByOutage && node.cutUntil > outageFrom))
                || now < node.cutFrom;
            if (i % 2 == 1 && isConnected && now >= removalOf(i) + drain)
                RC_ASSERT(!isUsed(node, i));
            const bool hadView = node.firstCurrentAt != SteadyTime {}
                && (outageFrom == SteadyTime {} || node.firstCurrentAt < outageFrom);
            if (i % 2 == 0 && hadView)
                RC_ASSERT(isUsed(node, i));
        }
    }

    Random random;
    ManualClock clock;
    std::vector<Node> nodes;
    int64_t lastReader = 0;
    SteadyTime outageFrom {};
    SteadyTime outageUntil {};
    std::vector<SteadyTime> removedAt;
};

}

TEST_CASE("After a random partition a removed entry is kept too long, or after an outage one is lost that comes back")
{
    CHECK(rc::check([](uint64_t seed) {
        History history(seed);
        while (history.clock.now() < start + 36s) {
            for (int64_t rank = 0; rank < History::nodeCount; ++rank)
                history.read(rank);
            for (History::Node& node : history.nodes)
                history.check(node);
            history.clock.advance(History::step);
        }
    }));
}
