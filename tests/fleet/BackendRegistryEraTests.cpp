#include "snipeweir/core/Random.h"
#include "tests/fleet/WrittenEntries.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

/// A source that can be restored from a copy.
struct Store {
    uint64_t era = 1;
    uint64_t revision = 80;
    std::map<std::string, SourceItem> items;
    /// Changes of this era.
    std::vector<SourceChanges::Event> events;

    SourceVersion version() const { return { Revision { revision }, era }; }
    SourceItems list() const
    {
        SourceItems result { version(), {} };
        for (const auto& [key, item] : items)
            result.items.push_back(item);
        return result;
    }
    void put(const std::string& key, const Written& written)
    {
        items[key] = { key, text(written), { ++revision } };
        events.push_back({ items[key] });
    }
    void remove(const std::string& key)
    {
        items.erase(key);
        events.push_back({ { key, "", { ++revision } }, true });
    }
    void restore(const Store& copy)
    {
        const uint64_t next = era + 1;
        *this = copy;
        era = next;
        events.clear();
    }
};

using Items = std::vector<SourceItem>;

/// A node that reads the source, or takes the documents of other nodes.
struct Node {
    ManualClock& clock;
    BackendRegistry registry { clock, BackendRegistry::Settings(), decode };
    uint64_t era = 0;
    SteadyTime eraBegin {};
    SteadyTime currentAt {};

    void note(uint64_t newEra, SteadyTime begin)
    {
        if (newEra == era || std::exchange(era, newEra) == 0)
            return;
        eraBegin = begin;
        registry.setEraBegin(begin);
    }
    /// Reads the changes, and all items in another era.
    void read(const Store& store)
    {
        currentAt = clock.now();
        if (store.era == era) {
            registry.takeChanges({ store.events, store.version() });
        } else {
            note(store.era, clock.now());
            registry.takeList(store.list());
        }
        registry.expireKept(currentAt);
    }
    void take(const Node& other)
    {
        if (other.era < era || other.era == 0)
            return;
        note(other.era, other.eraBegin);
        const Items items = other.document();
        if (other.registry.version() < registry.version())
            registry.takeLost(items);
        else
            registry.takeDocument(other.registry.version(), items);
        currentAt = std::max(currentAt, other.currentAt);
        registry.expireKept(currentAt);
    }
    Items document() const
    {
        return registry.document([](const std::string&) { return false; });
    }
    /// Instances in use, in order and separated by spaces; those that drain have an asterisk.
    std::string used()
    {
        std::string result;
        for (const BackendEntry& entry : registry.list().entries)
            result.append(result.empty() ? "" : " ").append(entry.instance).append(entry.isDraining ? "*" : "");
        return result;
    }
};

/// A source with the entries "a" and "b", a copy of it without "b", and a node that has read it.
struct Restored {
    ManualClock clock;
    Store store;
    Store copy;
    Node node { clock };

    Restored()
    {
        store.put("a", { "10.0.0.1", 7, 50 });
        copy = store;
        store.put("b", { "10.0.0.2", 7, 50 });
        node.read(store);
        CHECK(node.used() == "a b");
    }
    /// Restores the copy, which the node reads.
    void restore()
    {
        clock.advance(10s);
        store.restore(copy);
        node.read(store);
        clock.advance(100ms);
    }
    Written b(uint64_t sequence, const std::string& state = "ready") const
    {
        return { "10.0.0.2", 7, sequence, state };
    }
};

}

TEST_CASE("An entry that the source lost is dropped before its server can write it again, or kept for ever")
{
    Restored with;
    with.restore();
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.keptInstances().size() == 1);
    CHECK(with.node.registry.nextExpiry() == with.node.eraBegin + 2200ms);
    with.clock.advance(2s);
    with.node.registry.takeList(with.store.list());
    CHECK(with.node.used() == "a b");
    with.clock.advance(200ms);
    // A node that was cut off meanwhile doesn't know whether it was written.
    CHECK_FALSE(with.node.registry.expireKept(with.node.eraBegin + 2199ms));
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.expireKept(with.node.eraBegin + 2200ms));
    CHECK(with.node.used() == "a");
    CHECK(with.node.registry.keptInstances().size() == 0);
    CHECK_FALSE(with.node.registry.nextExpiry());
    // It is gone now.
    with.store.put("b", with.b(50));
    with.node.read(with.store);
    CHECK(with.node.used() == "a");
    with.store.put("b", with.b(51));
    with.node.read(with.store);
    CHECK(with.node.used() == "a b");
}

TEST_CASE("An entry that lapses early in the copy is dropped before its server can write it again")
{
    Restored with;
    with.copy = with.store;
    with.restore();
    CHECK(with.node.registry.keptInstances().size() == 0);
    with.store.remove("b");
    with.node.read(with.store);
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.keptInstances().size() == 1);
    with.clock.advance(2200ms);
    with.node.read(with.store);
    CHECK(with.node.used() == "a");
}

TEST_CASE("An entry that its server wrote again isn't in use, expires as kept, or stays once it is removed")
{
    for (const uint64_t sequence : { 50, 51 }) {
        Restored with;
        with.restore();
        with.store.put("b", with.b(sequence));
        with.node.read(with.store);
        CHECK(with.node.used() == "a b");
        CHECK(with.node.registry.keptInstances().size() == 0);
        SUBCASE("")
        {
            with.store.remove("b");
            with.node.read(with.store);
            CHECK(with.node.used() == "a");
        }
        with.clock.advance(3s);
        CHECK_FALSE(with.node.registry.expireKept(with.clock.now()));
    }
}

TEST_CASE("A server that drained or left in the lost seconds is used again")
{
    Restored with;
    with.copy = with.store;
    with.store.put("b", with.b(51, "draining"));
    SUBCASE("after it drained")
    {
        with.node.read(with.store);
        with.restore();
        CHECK(with.node.used() == "a b*");
        with.clock.advance(5s);
        with.node.registry.expireKept(with.clock.now());
        CHECK(with.node.used() == "a b*");
        with.store.remove("b");
        with.node.read(with.store);
        CHECK(with.node.used() == "a");
    }
    SUBCASE("after it left")
    {
        with.store.remove("b");
        with.node.read(with.store);
        with.restore();
        CHECK(with.node.used() == "a");
        CHECK(with.node.registry.list().skipped.size() == 1);
    }
    SUBCASE("whose drained entry isn't in the copy")
    {
        with.node.read(with.store);
        with.copy.items.erase("b");
        with.restore();
        CHECK(with.node.used() == "a");
    }
    // A later incarnation is used at once.
    with.store.put("b", { "10.0.0.2", 8, 1 });
    with.node.read(with.store);
    CHECK(with.node.used() == "a b");
}

TEST_CASE("An older entry or incarnation in the copy replaces the known one")
{
    Restored with;
    with.copy = with.store;
    with.store.put("a", { "10.0.0.1", 7, 51, "ready", "records" });
    with.store.put("b", { "10.0.0.3", 8, 1 });
    with.node.read(with.store);
    with.restore();
    const auto entries = with.node.registry.list().entries;
    REQUIRE(entries.size() == 2);
    CHECK(entries[0].service.text() == "records");
    CHECK(entries[0].sequence == 51);
    CHECK(entries[1].startedAtMs == 8);
    CHECK(entries[1].address.ip == "10.0.0.3");
    CHECK(with.node.registry.keptInstances().size() == 0);
    // The document of a node that knows only the copy.
    Node started { with.clock };
    started.read(with.store);
    with.node.take(started);
    CHECK(with.node.registry.list().entries[0].sequence == 51);
    CHECK(with.node.registry.list().entries[1].startedAtMs == 8);
}

TEST_CASE("A list or changes of another era are applied, or ask for changes that aren't there")
{
    Restored with;
    const SourceItems before = with.store.list();
    with.restore();
    const SourceVersion version = with.node.registry.version();
    CHECK(version == with.store.version());
    CHECK_FALSE(with.node.registry.hidesWrites(before));
    CHECK_FALSE(with.node.registry.hidesWrites({ { Revision { 1 }, 3 }, {} }));
    // Kept entries aren't missing from a list.
    CHECK_FALSE(with.node.registry.hidesWrites(with.store.list()));
    CHECK(with.node.registry.hidesWrites({ { Revision { 90 }, 2 }, {} }));
    for (const uint64_t era : { 0, 1, 3 })
        with.node.registry.takeChanges(
            { { { { "a", "", { 99 } }, true }, { { "c", text({ "10.0.0.3", 7, 1 }), { 99 } } } },
                { Revision { 99 }, era } });
    with.node.registry.takeList({ { Revision { 900 }, 1 }, {} });
    with.node.registry.takeDocument({ Revision { 900 }, 1 }, {});
    CHECK(with.node.registry.version() == version);
    CHECK(with.node.used() == "a b");
    // Revisions that were given out before are new ones in this era.
    with.store.put("c", { "10.0.0.3", 7, 1 });
    with.node.read(with.store);
    CHECK(with.node.used() == "a b c");
}

TEST_CASE(
    "A node that starts in the new era drops what its peers keep, uses what they know is gone, or keeps it longer")
{
    Restored with;
    with.copy.put("left", { "10.0.0.3", 7, 50 });
    with.store.put("left", { "10.0.0.3", 7, 51 });
    with.store.remove("left");
    with.node.read(with.store);
    with.restore();
    CHECK(with.node.used() == "a b");
    Node started { with.clock };
    SUBCASE("and has only its peers")
    {
        started.era = 1;
        started.take(with.node);
        CHECK(started.registry.keptInstances().size() == 1);
    }
    SUBCASE("and has read the source")
    {
        started.era = 1;
        with.store.put("a", { "10.0.0.1", 7, 51 });
        started.note(2, with.node.eraBegin);
        started.registry.takeList(with.store.list());
        CHECK(started.used() == "a left");
        const SourceVersion version = started.registry.version();
        started.take(with.node);
        CHECK(started.registry.version() == version);
    }
    CHECK(started.used() == "a b");
    with.clock.advance(2200ms);
    CHECK(started.registry.expireKept(with.clock.now()));
    CHECK(started.used() == "a");
}

TEST_CASE(
    "What an older document says of removed servers or later writes is ignored, or goes before what was written since")
{
    Restored with;
    with.copy = with.store;
    with.store.put("a", { "10.0.0.1", 7, 51, "draining" });
    with.store.remove("b");
    with.node.read(with.store);
    with.restore();
    Node started { with.clock };
    started.note(1, {});
    started.note(2, with.node.eraBegin);
    with.store.put("c", { "10.0.0.4", 7, 1 });
    started.registry.takeList(with.store.list());
    CHECK(started.used() == "a b c");
    SUBCASE("in time")
    {
        started.take(with.node);
        CHECK(started.used() == "a* c");
    }
    SUBCASE("written again later")
    {
        with.store.put("b", with.b(51));
        started.registry.takeList(with.store.list());
        started.take(with.node);
        CHECK(started.used() == "a* b c");
    }
    SUBCASE("malformed")
    {
        started.registry.takeLost({ { "gone/b", "x" }, { "kept/b", "x" }, { "kept/d", "x" }, { "a", "x" },
            { "copy/b", "x" }, { "d", text({ "10.0.0.5", 7, 1 }) } });
        CHECK(started.used() == "a b c");
    }
}

// Four servers run, drain, leave and start again under their instances; entries lapse after four seconds. Two nodes
// read the source and a third takes their documents.
TEST_CASE(
    "With a source that goes back at random, a server is used again after it left, or nodes don't agree in the end")
{
    CHECK(rc::check([](uint64_t seed) {
        constexpr std::chrono::milliseconds calmTime = 9s;
        Random random(seed);
        ManualClock clock;
        Store store;
        std::vector<Store> copies;
        struct Server {
            uint64_t startedAtMs = 1;
            uint64_t sequence = 0;
            bool isRunning = true;
            bool isDraining = false;
        };
        std::map<std::string, Server> servers;
        std::map<std::string, SteadyTime> writtenAt;
        for (const char* name : { "a", "b", "c", "d" })
            servers[name];
        std::vector<Node> nodes { Node { clock }, Node { clock }, Node { clock } };
        struct Seen {
            /// Start time and sequence number of the entry when it was last listed, and highest ones that were gone.
            std::map<std::string, std::pair<uint64_t, uint64_t>> listed;
            std::map<std::string, std::pair<uint64_t, uint64_t>> gone;
            std::map<std::string, uint64_t> drained;
        };
        std::vector<Seen> seen(nodes.size());
        const auto check = [&](size_t index) {
            Seen& known = seen[index];
            std::map<std::string, std::pair<uint64_t, uint64_t>> listed;
            for (const BackendEntry& entry : nodes[index].registry.list().entries) {
                listed[entry.instance] = { entry.startedAtMs, entry.sequence };
                if (entry.isDraining) {
                    known.drained[entry.instance] = std::max(known.drained[entry.instance], entry.startedAtMs);
                    continue;
                }
                RC_ASSERT(listed[entry.instance] > known.gone[entry.instance]);
                RC_ASSERT(entry.startedAtMs > known.drained[entry.instance]);
            }
            for (const auto& [name, mark] : known.listed) {
                if (!listed.contains(name))
                    known.gone[name] = std::max(known.gone[name], mark);
            }
            known.listed = listed;
        };
        constexpr int steps = 300;
        for (int step = 0; step < steps; ++step) {
            const bool isCalm = (steps - step) * 100ms < calmTime;
            if (step % 4 == 0)
                copies.push_back(store);
            if (!isCalm && random.below(25) == 0) {
                const Store& copy = copies[copies.size() - 1 - random.below(std::min<size_t>(copies.size(), 10))];
                store.restore(copy);
            }
            for (auto& [name, server] : servers) {
                const std::string ip = "10.0.0." + name;
                if (!isCalm && random.below(60) == 0) {
                    if (!server.isRunning)
                        server = { server.startedAtMs + 1, 0 };
                    else if (!server.isDraining && random.below(3) != 0)
                        server.isDraining = true;
                    else {
                        server.isRunning = false;
                        store.remove(name);
                    }
                    writtenAt.erase(name);
                }
                const bool isDue = !writtenAt.contains(name) || clock.now() - writtenAt[name] >= 1500ms;
                if (server.isRunning && isDue) {
                    store.put(
                        name, { ip, server.startedAtMs, ++server.sequence, server.isDraining ? "draining" : "ready" });
                    writtenAt[name] = clock.now();
                }
                if (!server.isRunning && store.items.contains(name) && isCalm && (steps - step) * 100ms < calmTime - 4s)
                    store.remove(name);
            }
            for (size_t index = 0; index < 2; ++index) {
                if (step % 7 != static_cast<int>(index) * 3)
                    continue;
                nodes[index].read(store);
                check(index);
            }
            if (random.below(6) == 0) {
                nodes[2].take(nodes[random.below(2)]);
                check(2);
            }
            // A reader takes what another one knows.
            if (random.below(30) == 0) {
                nodes[1].take(nodes[0]);
                check(1);
            }
            clock.advance(100ms);
        }
        std::string running;
        for (const auto& [name, server] : servers) {
            if (server.isRunning)
                running.append(running.empty() ? "" : " ").append(name).append(server.isDraining ? "*" : "");
        }
        nodes[2].take(nodes[0].registry.version() < nodes[1].registry.version() ? nodes[1] : nodes[0]);
        for (Node& node : nodes)
            RC_ASSERT(node.used() == running);
    }));
}

TEST_CASE("A node that has only its peers keeps an entry that was written again and removed")
{
    Restored with;
    Node fetcher { with.clock };
    fetcher.take(with.node);
    with.restore();
    fetcher.take(with.node);
    with.store.put("b", with.b(51));
    with.node.read(with.store);
    fetcher.take(with.node);
    CHECK(fetcher.used() == "a b");
    CHECK(fetcher.registry.keptInstances().size() == 0);
    with.clock.advance(100ms);
    with.store.remove("b");
    with.node.read(with.store);
    fetcher.take(with.node);
    CHECK(fetcher.used() == "a");
}

TEST_CASE("A kept entry of which another node knows a later write is dropped at once")
{
    Restored with;
    Node other { with.clock };
    other.read(with.store);
    with.store.put("b", with.b(51));
    other.read(with.store);
    with.clock.advance(10s);
    with.store.restore(with.copy);
    with.node.note(2, with.clock.now());
    other.read(with.store);
    with.clock.advance(100ms);
    SUBCASE("in a document") { with.node.take(other); }
    SUBCASE("in an older document")
    {
        with.node.registry.takeList(with.store.list());
        with.store.put("a", { "10.0.0.1", 7, 51 });
        with.node.registry.takeList(with.store.list());
        with.node.take(other);
        with.clock.advance(100ms);
        with.node.registry.takeList(with.store.list());
    }
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.keptInstances().size() == 1);
}

TEST_CASE("A kept entry counts as one of the source, and outlives its time, once another node knows a later write")
{
    Restored with;
    with.restore();
    with.store.put("a", { "10.0.0.1", 7, 51 });
    with.node.registry.takeList(with.store.list());
    with.node.registry.takeLost({ { "kept/b", text(with.b(51)) } });
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.keptInstances().size() == 1);
    with.clock.advance(2200ms);
    with.node.registry.expireKept(with.clock.now());
    CHECK(with.node.used() == "a");
}

TEST_CASE("A server that drained and left is used again, or an entry without a name, as another node keeps it")
{
    Restored with;
    with.copy.put("b", with.b(48));
    with.store.put("b", with.b(51, "draining"));
    with.store.remove("b");
    with.node.read(with.store);
    Node started { with.clock };
    started.take(with.node);
    with.restore();
    started.note(2, with.node.eraBegin);
    const Items items { { "a", text({ "10.0.0.1", 7, 50 }) }, { "kept/b", text(with.b(52)) } };
    SUBCASE("in a document") { started.registry.takeDocument({ Revision { 200 }, 2 }, items); }
    SUBCASE("in an older document") { started.registry.takeLost(items); }
    CHECK(started.used() == "a");
}

TEST_CASE("An entry that was written again after its removal is dropped as another node knows only of the removal")
{
    Restored with;
    Node other { with.clock };
    other.read(with.store);
    with.store.remove("b");
    other.read(with.store);
    with.store.put("b", with.b(51));
    with.node.read(with.store);
    with.clock.advance(10s);
    with.store.restore(with.copy);
    SUBCASE("and is not in the copy") { }
    SUBCASE("and is older in the copy") { with.store.put("b", with.b(49)); }
    other.read(with.store);
    with.clock.advance(100ms);
    with.node.take(other);
    CHECK(with.node.used() == "a b");
}

TEST_CASE("A server that starts in the new era and is removed at once is kept as if the source had lost it")
{
    Restored with;
    with.restore();
    with.store.put("c", { "10.0.0.3", 7, 1 });
    with.store.put("a", { "10.0.0.1", 8, 1 });
    with.node.read(with.store);
    CHECK(with.node.used() == "a b c");
    with.clock.advance(100ms);
    with.store.remove("c");
    with.store.remove("a");
    with.node.read(with.store);
    CHECK(with.node.used() == "b");
}

TEST_CASE("A kept entry that the source has again, with a lower number, is dropped with the lost ones")
{
    Restored with;
    with.restore();
    with.store.put("b", with.b(49));
    with.node.read(with.store);
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.keptInstances().size() == 0);
    with.clock.advance(2200ms);
    with.node.read(with.store);
    CHECK(with.node.used() == "a b");
}

TEST_CASE("A kept entry that loses its address is taken for one of the source, or outlives its time")
{
    Restored with;
    with.restore();
    with.store.put("c", { "10.0.0.2", 9, 1 });
    with.node.read(with.store);
    with.clock.advance(1500ms);
    with.store.put("c", { "10.0.0.2", 9, 2 });
    with.node.read(with.store);
    CHECK(with.node.used() == "a c");
    CHECK_FALSE(with.node.registry.hidesWrites(with.store.list()));
    CHECK(with.node.registry.list().skipped.empty());
    with.node.registry.confirm({ "10.0.0.2", 0 }, "b");
    CHECK(with.node.used() == "a b");
    CHECK(with.node.registry.keptInstances().size() == 1);
    with.clock.advance(2200ms);
    with.node.read(with.store);
    CHECK(with.node.used() == "a c");
}

TEST_CASE("An entry that a node first sees in the copy, after it was behind, is dropped when it lapses early")
{
    Restored with;
    with.store.put("b", with.b(51));
    with.copy = with.store;
    with.clock.advance(10s);
    with.store.restore(with.copy);
    with.node.note(2, with.clock.now());
    // The response arrives some milliseconds after the era was heard of.
    with.clock.advance(5ms);
    with.node.registry.takeList(with.store.list());
    CHECK(with.node.used() == "a b");
    with.clock.advance(100ms);
    with.store.remove("b");
    with.node.read(with.store);
    CHECK(with.node.used() == "a b");
}

TEST_CASE("A document that was current before the time was over drops what its sender keeps")
{
    Restored with;
    with.restore();
    const Node sender = with.node;
    with.clock.advance(3s);
    Node fetcher { with.clock };
    fetcher.note(1, {});
    fetcher.note(2, sender.eraBegin);
    fetcher.registry.takeDocument(sender.registry.version(), sender.document());
    CHECK(fetcher.used() == "a b");
    CHECK(fetcher.registry.expireKept(fetcher.clock.now()));
    CHECK(fetcher.used() == "a");
}

TEST_CASE("A node that starts 3 s after the era began uses a server that its peers know is gone")
{
    Restored with;
    with.copy = with.store;
    with.store.put("a", { "10.0.0.1", 7, 51, "draining" });
    with.store.remove("b");
    with.node.read(with.store);
    with.restore();
    with.store.put("c", { "10.0.0.4", 7, 1 });
    Node started { with.clock };
    started.note(1, {});
    started.note(2, with.node.eraBegin);
    with.clock.advance(3s);
    started.registry.takeList(with.store.list());
    started.take(with.node);
    CHECK(started.used() == "a* c");
}

TEST_CASE("A server that is known to be gone is used as a node that missed its removal keeps it")
{
    Restored with;
    Node behind { with.clock };
    behind.read(with.store);
    with.store.remove("b");
    with.node.read(with.store);
    with.clock.advance(10s);
    with.store.restore(with.copy);
    behind.read(with.store);
    CHECK(behind.registry.keptInstances().size() == 1);
    with.clock.advance(100ms);
    SUBCASE("in a document") { }
    SUBCASE("in an older document")
    {
        with.store.put("a", { "10.0.0.1", 7, 51 });
        with.node.read(with.store);
    }
    with.node.take(behind);
    CHECK(with.node.used() == "a");
    CHECK(with.node.registry.keptInstances().size() == 0);
}
