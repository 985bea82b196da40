#include "snipeweir/core/Random.h"
#include "snipeweir/fleet/OperatorDocument.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeweir;

namespace {

/// Decodes "config", whose value is the version and a mark for its content, and "out/NAME".
OperatorState decode(const SourceDocument& document)
{
    OperatorState state;
    state.version = document.version;
    for (const SourceItem& item : decodeItems(document.text)) {
        if (item.key == "config") {
            state.configurationKey = item.key;
            if (item.value.empty() || item.value[0] < '0' || item.value[0] > '9')
                continue;
            auto configuration = std::make_shared<RouteConfiguration>();
            configuration->version.value = std::stoull(item.value);
            configuration->routes.resize(1);
            configuration->routes[0].name = item.value;
            state.configuration = configuration;
        } else if (item.key.starts_with("out/")) {
            const DataCentreName name(item.key.substr(4));
            state.evacuated.insert(name);
            state.evacuationKeys.emplace(name, item.key);
        }
    }
    return state;
}

using Items = std::vector<SourceItem>;

SourceDocument document(uint64_t era, uint64_t revision, const Items& items)
{
    return { { Revision { revision }, era }, encodeItems(items) };
}

constexpr SteadyTime keepUntil { std::chrono::hours(1) };

/// An operators' document that takes lists of the source.
struct Operators {
    OperatorDocument document { decode };

    bool take(uint64_t era, uint64_t revision, const Items& items, bool canKeep = true)
    {
        return document.take(::document(era, revision, items), canKeep ? std::optional(keepUntil) : std::nullopt);
    }
    bool take(const Operators& other, bool canKeep = true)
    {
        return document.take(
            { other.document.version(), other.document.text() }, canKeep ? std::optional(keepUntil) : std::nullopt);
    }
    uint64_t configuration() const { return document.configurationVersion().value; }
    /// Data centres out of service, in order and separated by spaces; those that are kept have an asterisk.
    std::string evacuated() const
    {
        const auto kept = document.keptEvacuations();
        std::string result;
        for (const DataCentreName& name : document.state().evacuated)
            result.append(result.empty() ? "" : " ")
                .append(name.text())
                .append(std::find(kept.begin(), kept.end(), name) == kept.end() ? "" : "*");
        return result;
    }
};

}

TEST_CASE("An accepted configuration reverts in a new era, or a node that starts gets the one of the source")
{
    for (const Items& items : { Items { { "config", "4" } }, Items {}, Items { { "config", "?" } } }) {
        for (const bool canKeep : { false, true }) {
            Operators node;
            CHECK(node.take(1, 90, { { "config", "5" } }));
            CHECK_FALSE(node.document.isConfigurationKept());
            node.take(2, 80, items, canKeep);
            CHECK(node.document.version() == SourceVersion(Revision { 80 }, 2));
            REQUIRE(node.configuration() == 5);
            CHECK(node.document.state().configuration->routes[0].name == "5");
            CHECK(node.document.isConfigurationKept());
            Operators started;
            started.take(2, 80, items);
            CHECK(started.take(node));
            CHECK(started.configuration() == 5);
            CHECK(started.document.digest() == node.document.digest());
            // Again and later in the same era.
            node.take(2, 81, items);
            CHECK(node.configuration() == 5);
            CHECK(node.take(2, 82, { { "config", "6" } }));
            CHECK(node.configuration() == 6);
            CHECK_FALSE(node.document.isConfigurationKept());
        }
    }
}

TEST_CASE("A document that is the same in the new era leaves the version in the era before")
{
    Operators node;
    const Items items { { "config", "5" }, { "out/a", "{}" } };
    node.take(1, 90, items);
    CHECK_FALSE(node.take(2, 80, items));
    CHECK(node.document.version() == SourceVersion(Revision { 80 }, 2));
    CHECK(node.document.state().version == node.document.version());
    CHECK(node.evacuated() == "a");
    CHECK_FALSE(node.document.isConfigurationKept());
    CHECK_FALSE(node.take(2, 81, items));
    CHECK(node.document.version() == SourceVersion(Revision { 81 }, 2));
    CHECK(node.take(2, 82, { { "config", "5" } }));
    CHECK(node.evacuated().empty());
}

TEST_CASE("An evacuation that the source lost ends at once, is kept for ever, or outlives that it was lifted")
{
    Operators node;
    node.take(1, 90, { { "config", "5" }, { "out/a", "1" }, { "out/b", "2" } });
    SUBCASE("until its time is over")
    {
        CHECK(node.take(2, 80, { { "config", "5" }, { "out/b", "2" } }));
        CHECK(node.evacuated() == "a* b");
        CHECK(node.take(2, 81, { { "config", "6" }, { "out/b", "2" } }));
        CHECK(node.evacuated() == "a* b");
        // The source is restored once more.
        node.take(3, 70, { { "config", "5" } });
        CHECK(node.evacuated() == "a* b*");
        CHECK(node.document.dropKept(keepUntil));
        CHECK(node.evacuated().empty());
        CHECK(node.document.state().evacuationKeys.empty());
        CHECK_FALSE(node.document.dropKept(keepUntil));
    }
    SUBCASE("until it is written again, and lifted")
    {
        node.take(2, 80, { { "config", "5" } });
        CHECK(node.take(2, 81, { { "config", "5" }, { "out/a", "3" } }));
        CHECK(node.evacuated() == "a b*");
        CHECK(node.take(2, 82, { { "config", "5" } }));
        CHECK(node.evacuated() == "b*");
    }
    SUBCASE("unless the node hears of the era after its time is over")
    {
        CHECK(node.take(2, 80, { { "config", "5" } }, false));
        CHECK(node.evacuated().empty());
    }
    SUBCASE("one that was lifted in the lost seconds is in force")
    {
        node.take(1, 91, { { "config", "5" } });
        CHECK(node.take(2, 80, { { "config", "5" }, { "out/a", "1" } }));
        CHECK(node.evacuated() == "a");
    }
}

TEST_CASE("A document that was read earlier takes back more than it adds, or one of an earlier era is taken")
{
    Operators node;
    node.take(2, 80, { { "config", "5" }, { "out/b", "1" }, { "other", "x" } });
    const uint64_t digest = node.document.digest();
    CHECK_FALSE(node.take(2, 79, { { "config", "4" }, { "out/a", "1" } }));
    CHECK(node.document.digest() == digest);
    CHECK(node.take(2, 79, { { "config", "7" }, { "out/a", "1" } }));
    CHECK(node.configuration() == 7);
    CHECK(node.evacuated() == "b");
    CHECK(node.document.version() == SourceVersion(Revision { 80 }, 2));
    CHECK(decodeItems(node.document.text()).size() == 3);
    CHECK_FALSE(node.take(1, 900, { { "config", "9" }, { "out/c", "1" }, { "kept/out/d", "1" } }));
    CHECK(node.configuration() == 7);
    CHECK(node.evacuated() == "b");
    CHECK(node.take(2, 79, { { "kept/out/a", "1" } }));
    CHECK(node.evacuated() == "a* b");
    CHECK_FALSE(node.take(2, 78, { { "kept/out/c", "1" } }, false));
    CHECK(node.evacuated() == "a* b");
}

TEST_CASE("A node that takes the document of another one has other evacuations, items or another digest")
{
    Operators node;
    node.take(1, 90, { { "config", "5" }, { "new", "1" }, { "out/a", "1" }, { "out/b", "2" } });
    node.take(2, 80, { { "config", "4" }, { "new", "2" }, { "out/b", "2" } });
    Operators fetcher;
    CHECK(fetcher.take(node));
    CHECK(fetcher.configuration() == 5);
    CHECK(fetcher.evacuated() == "a* b");
    CHECK(fetcher.document.text() == node.document.text());
    CHECK(fetcher.document.digest() == node.document.digest());
    // Kept evacuations end at each node for itself, which isn't a change of the document.
    const uint64_t digest = node.document.digest();
    CHECK(node.document.dropKept(keepUntil));
    CHECK(node.document.digest() == digest);
    CHECK(node.document.text() != fetcher.document.text());
    const auto items = decodeItems(node.document.text());
    CHECK(std::any_of(
        items.begin(), items.end(), [](const SourceItem& item) { return item.key == "new" && item.value == "2"; }));
    Operators late;
    CHECK(late.take(fetcher, false));
    CHECK(late.evacuated() == "b");
}

TEST_CASE("In random eras, lists and documents, the version of a configuration goes down at a node")
{
    CHECK(rc::check([](uint64_t seed) {
        Random random(seed);
        std::vector<Operators> nodes(4);
        std::vector<uint64_t> highest(nodes.size());
        uint64_t era = 1;
        uint64_t revision = 80;
        for (int step = 0; step < 60; ++step) {
            if (random.below(10) == 0) {
                ++era;
                revision -= random.below(20);
            }
            const size_t index = random.below(nodes.size());
            Operators& node = nodes[index];
            if (random.below(2) == 0) {
                Items items;
                if (random.below(4) != 0)
                    items.push_back({ "config", random.below(5) == 0 ? "?" : std::to_string(1 + random.below(9)) });
                for (const char* name : { "out/a", "out/b" }) {
                    if (random.below(2) == 0)
                        items.push_back({ name, "{}" });
                }
                // Lists of slow readers are of earlier eras and revisions.
                const uint64_t seenEra = era - random.below(std::min<uint64_t>(era, 2));
                node.take(seenEra, ++revision - random.below(3), items, random.below(3) != 0);
            } else {
                node.take(nodes[random.below(nodes.size())], random.below(3) != 0);
            }
            if (random.below(8) == 0)
                node.document.dropKept(keepUntil);
            RC_ASSERT(node.configuration() >= highest[index]);
            highest[index] = node.configuration();
            Operators started;
            started.take(node);
            RC_ASSERT(started.configuration() == node.configuration());
            RC_ASSERT(started.evacuated() == node.evacuated());
            RC_ASSERT(started.document.digest() == node.document.digest() || !node.document.version().isKnown());
        }
    }));
}

TEST_CASE("A malformed configuration in the source is passed on as the one in force, or hides it")
{
    Operators node;
    node.take(2, 80, { { "config", "?" } });
    CHECK_FALSE(node.document.state().configuration);
    Operators other;
    other.take(1, 90, { { "config", "5" } });
    other.take(2, 79, {});
    CHECK(node.take(other));
    CHECK(node.configuration() == 5);
    Operators started;
    started.take(node);
    CHECK(started.configuration() == 5);
}

TEST_CASE("What a same text means in another era, or of a node that keeps, is skipped")
{
    Operators node;
    node.take(1, 90, { { "out/a", "1" } });
    node.take(2, 80, { { "kept/out/b", "1" } });
    CHECK(node.evacuated() == "a* b*");
    node.document.dropKept(keepUntil);
    // The same text in the next era.
    node.take(3, 70, { { "kept/out/b", "1" } });
    CHECK(node.evacuated() == "b*");
}

TEST_CASE("A configuration written in the new era with the version in force replaces it at this node's peers only")
{
    Operators node;
    node.take(1, 90, { { "config", "5 old" } });
    node.take(2, 80, { { "config", "5 new" } });
    CHECK(node.document.state().configuration->routes[0].name == "5 old");
    Operators started;
    started.take(node);
    CHECK(started.document.state().configuration->routes[0].name == "5 old");
}

TEST_CASE("A configuration of version zero is lost if the source has none or a malformed one")
{
    for (const Items& items : { Items {}, Items { { "config", "?" } } }) {
        Operators node;
        node.take(1, 90, { { "config", "0" } });
        node.take(2, 80, items);
        CHECK(node.document.state().configuration);
    }
}

TEST_CASE("An evacuation that was written again and lifted in the new era is in force again as another node keeps it")
{
    Operators node;
    Operators other;
    node.take(1, 90, { { "config", "5" }, { "out/a", "1" } });
    other.take(node);
    node.take(2, 80, { { "config", "5" } });
    other.take(2, 80, { { "config", "5" } });
    node.take(2, 81, { { "config", "5" }, { "out/a", "2" } });
    node.take(2, 82, { { "config", "5" } });
    CHECK(node.evacuated().empty());
    SUBCASE("in an older document") { node.take(other); }
    SUBCASE("in a later document")
    {
        other.take(2, 83, { { "config", "5" }, { "x", "" } });
        node.take(other);
    }
    CHECK(node.evacuated().empty());
}

TEST_CASE("Evacuations that the source lost in several eras add up until no data centre is in service")
{
    Operators node;
    node.take(1, 90, { { "config", "5" }, { "out/a", "1" } });
    node.take(2, 80, { { "config", "5" } });
    node.take(2, 81, { { "config", "5" }, { "out/b", "1" } });
    node.document.take(document(3, 70, { { "config", "5" } }), keepUntil + std::chrono::seconds(3));
    CHECK(node.document.keptEvacuations().size() == 2);
    CHECK(node.document.dropKept(keepUntil));
    CHECK(node.document.keptEvacuations() == std::vector { DataCentreName("b") });
    CHECK(node.document.dropKept(keepUntil + std::chrono::seconds(3)));
}
