#include "snipeweir/core/Random.h"
#include "tests/fleet/WrittenEntries.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

/// A registry that sees each write to the source.
struct Source {
    ManualClock clock;
    BackendRegistry registry { clock, BackendRegistry::Settings(), decode };
    uint64_t revision = 1;

    void put(const std::string& key, const Written& written) { putValue(key, text(written)); }
    void putValue(const std::string& key, const std::string& value)
    {
        ++revision;
        registry.takeChanges({ { { { key, value, { revision } } } }, Revision { revision } });
    }
    void remove(const std::string& key)
    {
        ++revision;
        registry.takeChanges({ { { { key, "", { revision } }, true } }, Revision { revision } });
    }
    /// Instances in use, in order and separated by spaces; those that drain have an asterisk.
    std::vector<SourceItem> document() const
    {
        return registry.document([](const std::string&) { return false; });
    }
    std::string used() { return used(registry); }
    static std::string used(BackendRegistry& registry)
    {
        std::string result;
        for (const BackendEntry& entry : registry.list().entries)
            result.append(result.empty() ? "" : " ").append(entry.instance).append(entry.isDraining ? "*" : "");
        return result;
    }
};

/// Heartbeat of a backend server.
constexpr auto heartbeat = 1500ms;

}

TEST_CASE("A copy of an entry under another key hides the entry, whatever its start time and sequence number")
{
    const Written own { "10.0.0.1", 7, 50 };
    for (const Written& copy : { Written { "10.0.0.1", 7, 50 }, { "10.0.0.1", 7, 40 }, { "10.0.0.1", 7, 1000 },
             { "10.0.0.1", 6, 1000 }, { "10.0.0.1", 9, 1 }, { "10.0.0.1", 0, 50 }, { "10.0.0.1", 9, 60, "draining" },
             { "10.0.0.1", 9, 60, "ready", "records" } }) {
        for (const std::string key : { "a", "z" }) {
            Source source;
            source.put("server", own);
            source.clock.advance(heartbeat);
            source.put("server", { "10.0.0.1", 7, 51 });
            CHECK(source.used() == "server");
            source.put(key, copy);
            CHECK(source.used() == "server");
            for (uint64_t beat = 52; beat < 60; ++beat) {
                source.clock.advance(heartbeat);
                source.put("server", { "10.0.0.1", 7, beat });
                CHECK(source.used() == "server");
            }
            REQUIRE(source.registry.list().skipped.size() == 1);
            CHECK(source.registry.list().skipped[0].key == key);
            // The server leaves; the copy is not a server.
            source.remove("server");
            CHECK(source.used().empty());
        }
    }
}

TEST_CASE("A node that starts uses a copy for longer than the server needs for its next heartbeat")
{
    for (const Written& copy : { Written { "10.0.0.1", 9, 1000 }, { "10.0.0.1", 7, 1000 }, { "10.0.0.1", 7, 10 } }) {
        Source source;
        source.registry.takeList(
            { Revision { 1 }, { { "bak", text(copy) }, { "server", text({ "10.0.0.1", 7, 50 }) } } });
        source.used();
        source.clock.advance(heartbeat);
        source.put("server", { "10.0.0.1", 7, 51 });
        CHECK(source.used() == "server");
    }
}

TEST_CASE("A new server at an address stays hidden behind the entry of the one that ran there before")
{
    for (const uint64_t startedAtMs : { 0, 9 }) {
        Source source;
        source.put("old", { "10.0.0.1", startedAtMs == 0 ? 0ULL : 7ULL, 50 });
        source.put("old", { "10.0.0.1", startedAtMs == 0 ? 0ULL : 7ULL, 51 });
        CHECK(source.used() == "old");
        source.clock.advance(2500ms);
        source.put("new", { "10.0.0.1", startedAtMs, 1, "ready", "records" });
        source.used();
        source.clock.advance(heartbeat);
        source.put("new", { "10.0.0.1", startedAtMs, 2, "ready", "records" });
        CHECK(source.used() == "new");
    }
}

TEST_CASE("A new server at an address waits for its second heartbeat although the one before has been silent")
{
    Source source;
    source.put("old", { "10.0.0.1", 7, 50 });
    source.put("old", { "10.0.0.1", 7, 51 });
    source.clock.advance(2500ms);
    source.put("new", { "10.0.0.1", 9, 1 });
    CHECK(source.used() == "new");
}

TEST_CASE("The instance that the server itself reports does not hold its address")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    source.put("bak", { "10.0.0.1", 9, 10 });
    CHECK(source.used() == "bak");
    source.registry.confirm({ "10.0.0.1", 0 }, "server");
    CHECK(source.used() == "server");
    // The copy is written again and again.
    source.put("bak", { "10.0.0.1", 9, 11 });
    CHECK(source.used() == "server");
}

TEST_CASE("An entry of a service that the configuration does not name competes for an address")
{
    Source source;
    source.registry.isKnownService = [](const ServiceName& service) { return service.text() == "scans"; };
    source.put("server", { "10.0.0.1", 7, 50 });
    source.put("other", { "10.0.0.1", 9, 1, "ready", "unheard-of" });
    CHECK(source.used() == "other server");
}

TEST_CASE("A removed entry that reappears is used again without a higher sequence number")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    source.remove("server");
    for (const uint64_t sequence : { 50, 49, 1, 50 }) {
        source.put("server", { "10.0.0.1", 7, sequence });
        CHECK(source.used().empty());
        source.remove("server");
    }
    // An earlier incarnation with a higher number, and the entry under another key.
    source.put("server", { "10.0.0.1", 6, 90 });
    source.put("server.bak", { "10.0.0.1", 7, 50 });
    CHECK(source.used().empty());
    CHECK(source.registry.list().skipped.size() == 2);
    source.put("server", { "10.0.0.1", 7, 51 });
    CHECK(source.used() == "server");
    // A new incarnation counts anew.
    source.remove("server");
    source.put("server", { "10.0.0.1", 8, 1 });
    CHECK(source.used() == "server");
}

TEST_CASE("A copy made before a removal is used because other older copies had been taken for heartbeats")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    source.put("server", { "10.0.0.1", 7, 10 });
    source.put("server", { "10.0.0.1", 7, 11 });
    source.remove("server");
    source.put("server", { "10.0.0.1", 7, 45 });
    CHECK(source.used().empty());
}

TEST_CASE("A removal is missed if the entry reappears before the next read")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    const std::string value = text({ "10.0.0.1", 7, 50 });
    SUBCASE("of the changes")
    {
        source.registry.takeChanges(
            { { { { "server", "", { 3 } }, true }, { { "server", value, { 4 } } } }, Revision { 4 } });
    }
    SUBCASE("of all entries, which asks for the changes")
    {
        const SourceItems list { Revision { 4 }, { { "server", value, { 4 } } } };
        CHECK(source.registry.hidesWrites({ Revision { 4 }, {} }));
        CHECK_FALSE(source.registry.hidesWrites({ Revision { 4 }, { { "server", value, { 2 } } } }));
        CHECK(source.registry.hidesWrites(list));
        source.registry.takeChanges(
            { { { { "server", "", { 3 } }, true }, { { "server", value, { 4 } } } }, Revision { 4 } });
        source.registry.takeList(list);
        CHECK_FALSE(source.registry.hidesWrites(list));
    }
    CHECK(source.used().empty());
}

TEST_CASE("A full read hides a heartbeat before the removal of an entry, whose copy is used then")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    const std::string value = text({ "10.0.0.1", 7, 51 });
    const SourceItems list { Revision { 5 }, { { "server", value, { 5 } } } };
    REQUIRE(source.registry.hidesWrites(list));
    source.registry.takeChanges(
        { { { { "server", value, { 3 } } }, { { "server", "", { 4 } }, true }, { { "server", value, { 5 } } } },
            Revision { 5 } });
    source.registry.takeList(list);
    CHECK(source.used().empty());
}

TEST_CASE("Changes that are known already are applied once more")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    source.remove("server");
    source.put("server", { "10.0.0.1", 7, 51 });
    const std::string value = text({ "10.0.0.1", 7, 51 });
    source.registry.takeChanges(
        { { { { "server", "", { 3 } }, true }, { { "server", value, { 4 } } } }, Revision { 4 } });
    CHECK(source.used() == "server");
    // A page of a full read contains later changes than the revision of the list.
    source.registry.takeList({ Revision { 4 }, { { "server", text({ "10.0.0.1", 7, 53 }), { 9 } } } });
    source.registry.takeChanges(
        { { { { "server", "", { 8 } }, true }, { { "server", text({ "10.0.0.1", 7, 53 }), { 9 } } } },
            Revision { 9 } });
    CHECK(source.used() == "server");
}

TEST_CASE("A server that drains is used again through its own later entry, an older copy or a reappearing one")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    source.put("server", { "10.0.0.1", 7, 51, "draining" });
    CHECK(source.used() == "server*");
    source.put("server", { "10.0.0.1", 7, 50 });
    CHECK(source.used() == "server*");
    source.put("server", { "10.0.0.1", 7, 52 });
    CHECK(source.used() == "server*");
    source.remove("server");
    source.put("server", { "10.0.0.1", 7, 53 });
    CHECK(source.used().empty());
    source.put("server", { "10.0.0.1", 8, 1 });
    CHECK(source.used() == "server");
}

TEST_CASE("An entry that another writer overwrote is not used, or keeps what the server writes from being used")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    SUBCASE("by an older one")
    {
        source.put("server", { "10.0.0.1", 7, 40, "ready", "records" });
        CHECK(source.registry.list().entries[0].service.text() == "scans");
    }
    SUBCASE("by a newer one")
    {
        source.put("server", { "10.0.0.1", 9, 1000, "ready", "records" });
        source.put("server", { "10.0.0.1", 7, 51 });
        source.put("server", { "10.0.0.1", 7, 52 });
        CHECK(source.registry.list().entries[0].service.text() == "scans");
    }
    SUBCASE("by one with a higher number, after which the server drains")
    {
        source.put("server", { "10.0.0.1", 7, 1000 });
        source.put("server", { "10.0.0.1", 7, 51, "draining" });
        CHECK(source.used() == "server*");
    }
    SUBCASE("by bytes that cannot be read")
    {
        source.putValue("server", "\xff");
        CHECK(source.used().empty());
        CHECK(source.registry.list().skipped.size() == 1);
        source.put("server", { "10.0.0.1", 7, 51 });
        CHECK(source.used() == "server");
    }
}

TEST_CASE("A node that fetches a document uses entries that its sender does not use")
{
    Source source;
    source.put("server", { "10.0.0.1", 7, 50 });
    source.put("bak", { "10.0.0.1", 7, 40 });
    source.put("left", { "10.0.0.2", 7, 80 });
    source.remove("left");
    source.put("back", { "10.0.0.3", 7, 80 });
    source.remove("back");
    source.put("back", { "10.0.0.3", 7, 80 });
    source.putValue("odd", "?");
    CHECK(source.used() == "server");
    Source fetcher;
    fetcher.registry.takeDocument(source.registry.version(), source.document());
    CHECK(fetcher.used() == "server");
    CHECK(fetcher.registry.list().skipped.size() == 3);
    // It reads the source from now on.
    fetcher.revision = source.revision;
    fetcher.put("left", { "10.0.0.2", 7, 79 });
    fetcher.put("back", { "10.0.0.3", 7, 80 });
    CHECK(fetcher.used() == "server");
    fetcher.put("left", { "10.0.0.2", 7, 81 });
    CHECK(fetcher.used() == "left server");
    // A node that has just started does not know what was removed, but those that do keep to it.
    Source restarted;
    restarted.registry.takeList({ Revision { source.revision + 9 }, { { "back", text({ "10.0.0.3", 7, 80 }) } } });
    CHECK(restarted.used() == "back");
    source.registry.takeDocument(restarted.registry.version(), restarted.document());
    CHECK(source.used().empty());
}

TEST_CASE("A node does not tell a removal from an entry that may have expired, or only one that it knew itself")
{
    Source source;
    source.put("left", { "10.0.0.1", 7, 50 });
    source.put("kept", { "10.0.0.2", 7, 50 });
    CHECK(source.used() == "kept left");
    Source fetcher;
    fetcher.registry.takeDocument(Revision { 5 }, source.document());
    CHECK(fetcher.used() == "kept left");
    source.remove("left");
    source.remove("kept");
    source.used();
    const auto items = source.registry.document([](const std::string& instance) { return instance == "kept"; });
    fetcher.registry.takeDocument(Revision { 6 }, items);
    CHECK(fetcher.registry.list().removed == std::set<std::string> { "left" });
    // A node that never had them in use passes on what it was told.
    Source started;
    started.registry.takeDocument(Revision { 6 }, items);
    started.used();
    fetcher.registry.takeDocument(Revision { 7 }, started.document());
    CHECK(fetcher.registry.list().removed == std::set<std::string> { "left" });
    fetcher.revision = 7;
    fetcher.put("left", { "10.0.0.1", 7, 51 });
    CHECK(fetcher.registry.list().removed.empty());
}

TEST_CASE("Removed entries are remembered or sent to other nodes without bound")
{
    Source source;
    const BackendRegistry::Settings settings;
    const auto name = [](uint64_t number) { return "server-" + std::to_string(number); };
    for (uint64_t number = 0; number <= settings.maxRemoved; ++number) {
        source.put(name(number), { "10.0.0.1", 7, 50 });
        source.remove(name(number));
    }
    CHECK(source.document().size() == settings.maxRemovedInDocument);
    source.put(name(settings.maxRemoved), { "10.0.0.2", 7, 50 });
    CHECK(source.used().empty());
    source.put(name(0), { "10.0.0.3", 7, 50 });
    CHECK(source.used() == name(0));
}

// Two servers at addresses of their own write their entries, and another writer leaves copies of any age, under any
// key, and bytes that cannot be read. A node reads all changes every 700 ms, or a list, or a document of another such
// node.
TEST_CASE("In a random history, a running server is hidden or a removed one is used")
{
    CHECK(rc::check([](uint64_t seed) {
        Random random(seed);
        Source source;
        SourceItems items { Revision { 1 }, {} };
        SourceChanges unread;
        const auto write = [&](const std::string& key, const std::optional<std::string>& value) {
            ++source.revision;
            SourceChanges::Event event { { key, value.value_or(""), { source.revision } }, !value };
            unread.events.push_back(event);
            unread.version = Revision { source.revision };
            items = applyChanges(items, { { event }, Revision { source.revision } });
        };
        uint64_t sequence = 100;
        bool isRemoved = false;
        SteadyTime ownKeyDisturbedAt {};
        for (int step = 0; step < 400; ++step) {
            if (!isRemoved && step % 15 == 0) // 1.5 s
                write("server", text({ "10.0.0.1", 7, ++sequence }));
            if (step == 250) {
                isRemoved = true;
                write("server", std::nullopt);
            }
            if (random.below(10) == 0) {
                // A copy has been made before, so the incarnation that was removed has no higher number in it.
                const Written copy { "10.0.0.1", 6 + random.below(2), random.below(sequence + 1) };
                const std::string key = random.below(3) == 0 ? "server" : "copy" + std::to_string(random.below(3));
                if (key == "server")
                    ownKeyDisturbedAt = source.clock.now();
                write(key, random.below(8) == 0 ? "?" : text(copy));
            }
            if (step % 7 == 0) {
                const bool isList = random.below(5) == 0;
                if (!isList || source.registry.hidesWrites(items))
                    source.registry.takeChanges(unread);
                if (isList)
                    source.registry.takeList(items);
                unread.events.clear();
                if (random.below(9) == 0)
                    source.registry.takeDocument(source.registry.version(), source.document());
                const std::string used = " " + source.used() + " ";
                // Bytes that cannot be read under the server's own key count until its next heartbeat.
                const bool isDisturbed = source.clock.now() - ownKeyDisturbedAt < heartbeat + 700ms;
                if (!isRemoved && !isDisturbed && step > 30)
                    RC_ASSERT(used == " server ");
                if (isRemoved)
                    RC_ASSERT(used.find(" server ") == std::string::npos);
            }
            source.clock.advance(100ms);
        }
    }));
}
