#include "platform/Documents.h"
#include "platform/PlatformNames.h"
#include "tests/platform/OddEntries.h"

#include <doctest/doctest.h>
#include <limits>

using namespace snipeweir;
using namespace snipeweir::platform;
using namespace std::chrono_literals;

namespace {

SourceDocument document(const std::vector<SourceItem>& items) { return { Revision { 7 }, encodeItems(items) }; }

}

TEST_CASE("Base64 is decoded completely or rejected")
{
    CHECK(decodeBase64("bm9kZS0x") == "node-1");
    CHECK(decodeBase64("YQ==") == "a");
    CHECK(decodeBase64("") == "");
    CHECK_FALSE(decodeBase64("bm9"));
    CHECK_FALSE(decodeBase64("bm9*"));
}

TEST_CASE("A page is decoded with its revision, and an item whose value cannot be decoded is kept without a value")
{
    const auto page = decodePage(
        R"({"items":[{"key":"servers/i-1","value":"e30=","revision":3},{"key":"servers/i-2","value":"%%%%"}],"hasMore":true,"atRev":530})");
    REQUIRE(page);
    CHECK(page->revision.value == 530);
    CHECK(page->hasMore);
    REQUIRE(page->items.size() == 2);
    CHECK(page->items[0].value == "{}");
    CHECK(page->items[0].revision.value == 3);
    CHECK(page->items[1].value.empty());
    CHECK(page->items[1].revision.value == 0);
    for (const char* bad : { "", "[]", "{}", R"({"items":{},"atRev":1})", R"({"items":[]})" })
        CHECK_FALSE(decodePage(bad));
}

TEST_CASE("Applying the changes of a watch yields the same items as a full read")
{
    const SourceItems before { Revision { 7 }, { { "servers/a", "{}" }, { "servers/b", "{}" } } };
    const auto changes = decodeChanges(
        R"({"events":[{"key":"servers/b","revision":8,"isGone":true},{"key":"servers/c","value":"YQ==","revision":9}],"atRev":9})");
    REQUIRE(changes);
    CHECK(changes->events[0].item.revision.value == 8);
    const SourceItems after = applyChanges(before, *changes);
    CHECK(after.version.revision.value == 9);
    CHECK(encodeItems(after.items) == encodeItems({ { "servers/a", "{}" }, { "servers/c", "a" } }));

    const auto none = decodeChanges(R"({"events":[],"atRev":12})");
    REQUIRE(none);
    CHECK(encodeItems(applyChanges(after, *none).items) == encodeItems(after.items));
    CHECK(applyChanges(after, *none).version.revision.value == 12);
    // A malformed response yields no changes, so that a full read follows.
    for (const char* bad : { "", "{}", R"({"events":[]})", R"({"events":[{"revision":8,"isGone":true}],"atRev":9})",
             R"({"events":[{"key":"servers/c","revision":9}],"atRev":9})", R"({"events":[7],"atRev":9})" })
        CHECK_FALSE(decodeChanges(bad));
}

TEST_CASE("An odd entry of another writer names a backend server")
{
    for (const std::string& odd : oddEntries()) {
        const DecodedBackend decoded = decodeBackend({ "servers/odd", odd });
        CHECK_FALSE(decoded.entry);
        CHECK_FALSE(decoded.fault.empty());
    }
    // Keys whose instance cannot be part of a header field.
    for (const char* key : { "", "servers/", "servers/a b", "servers/a\r\nX: y", "servers/\xc3\x28" }) {
        CHECK_FALSE(decodeBackend({ key, validEntry }).entry);
        CHECK(decodeBackend({ key, validEntry }).fault == "malformed key");
    }
}

TEST_CASE("A valid entry is not decoded, or one without a start time is rejected")
{
    const auto entry = decodeBackend({ "servers/good", validEntry }).entry;
    REQUIRE(entry);
    CHECK(entry->instance == "good");
    CHECK(entry->address == Address { "10.0.0.9", 8080 });
    CHECK(entry->slots == 9);
    CHECK_FALSE(entry->isDraining);
    CHECK(entry->startedAtMs == 1700000000123);
    CHECK(entry->sequence == 4);
    const auto unborn = decodeBackend({ "servers/good", changedEntry(",\"born\":1700000000123", "") }).entry;
    REQUIRE(unborn);
    CHECK(unborn->startedAtMs == 0);
}

TEST_CASE("Values too large for an entry are kept in the document")
{
    const std::string large(24'000, 'A');
    const std::string page = R"({"items":[{"key":"servers/i","value":")" + large + R"("}],"atRev":3})";
    CHECK(decodePage(page)->items[0].value.size() == 18'000);
    CHECK(decodePage(page, maxBackendEntryBytes)->items[0].value.empty());
    const std::string events = R"({"events":[{"key":"servers/i","value":")" + large + R"("}],"atRev":3})";
    CHECK(decodeChanges(events, maxBackendEntryBytes)->events[0].item.value.empty());
}

TEST_CASE("A page with one key that is not UTF-8 cannot be read as a whole")
{
    const auto page = decodePage("{\"items\":[{\"key\":\"servers/\xff\",\"value\":\"\"},"
                                 "{\"key\":\"servers/i\",\"value\":\"e30=\"}],\"atRev\":3}");
    REQUIRE(page);
    CHECK(page->items.size() == 2);
}

TEST_CASE("A key of another writer breaks the request for the next page")
{
    CHECK(encodeKey("servers/i-7f_3.a~") == "servers/i-7f_3.a~");
    CHECK(encodeKey("servers/a b&c=d#%\r\n\xff") == "servers/a%20b%26c%3Dd%23%25%0D%0A%FF");
}

TEST_CASE("A number of the configuration that fits no integer type becomes an arbitrary one")
{
    const auto decode = [](const std::string& number) {
        const std::string config = R"({"version":"1","resources":[{"typeUrl":"routes","metadata":{"name":"r"},)"
                                   R"("spec":{"host":"h","prefix":"/p/","kind":"safe","service":"x","priority":)"
            + number + R"(,"maxAttempts":)" + number
            + R"(}},{"typeUrl":"services","metadata":{"name":"x"},"spec":{"maxConnections":)" + number
            + R"(,"coldPerS":)" + number + R"(}},{"typeUrl":"limits","spec":{"maxHeaderBytes":)" + number
            + R"(,"maxBodyBytes":)" + number + "}}]}";
        return decodeOperators(document({ { "op/config", config } })).configuration;
    };
    for (const std::string large : { "4294967296", "18446744073709551615", "1e30", "1e300" }) {
        const auto configuration = decode(large);
        REQUIRE(configuration);
        CHECK(configuration->routes[0].priority == std::numeric_limits<uint32_t>::max());
        CHECK(configuration->routes[0].maxAttempts == std::numeric_limits<uint32_t>::max());
        CHECK(configuration->services.at(ServiceName("x")).maxConnections == std::numeric_limits<uint32_t>::max());
        CHECK(configuration->limits.maxHeaderBytes == std::numeric_limits<uint32_t>::max());
        CHECK(configuration->limits.maxBodyBytes <= size_t { 1 } << 53U);
    }
    for (const std::string small : { "-1", "-1e300", "-9223372036854775808" }) {
        const auto configuration = decode(small);
        REQUIRE(configuration);
        CHECK(configuration->routes[0].priority == 0);
        CHECK(configuration->routes[0].maxAttempts == 1);
        CHECK(configuration->services.at(ServiceName("x")).maxConnections == 0);
        CHECK(configuration->services.at(ServiceName("x")).coldRequestsPerSecond == 0);
        CHECK(configuration->limits.maxHeaderBytes == 1);
    }
}

TEST_CASE("A route that cannot be used takes the rest of the configuration with it, or is not reported")
{
    const std::string config
        = R"({"version":"2","resources":[{"typeUrl":"routes","metadata":{"name":"r1"},"spec":{"host":5}},{"typeUrl":"routes","metadata":{"name":"r2"},"spec":{"host":"h","prefix":"/p/","kind":"safe","service":"x"}}]})";
    const OperatorState state = decodeOperators(document({ { "op/config", config } }));
    REQUIRE(state.configuration);
    CHECK(state.configuration->routes.size() == 1);
    REQUIRE(state.skipped.size() == 1);
    CHECK(state.skipped[0].key == "op/config r1");
}

TEST_CASE("The fleet configuration is decoded into routes, services and limits")
{
    const std::string config
        = R"({"version":"0000001c","resources":[{"typeUrl":"routes","metadata":{"name":"r1"},"spec":{"host":"h.example","prefix":"/p/","kind":"safe","timeout":"1500ms","targetLatency":"0.5s","priority":2,"trafficSplit":[{"service":"x","weight":90},{"service":"y","weight":10}],"maxAttempts":2}},{"typeUrl":"routes","metadata":{"name":"r2"},"spec":{"host":"h.example","prefix":"/q/","kind":"something new","service":"x"}},{"typeUrl":"services","metadata":{"name":"x"},"spec":{"healthPath":"/hp","maxConnections":260,"coldPerS":11.0}},{"typeUrl":"limits","metadata":{},"spec":{"maxHeaderBytes":100,"maxBodyBytes":200,"headerTimeout":"3000ms","idleTimeout":"15000ms"}}]})";
    const OperatorState state
        = decodeOperators(document({ { "op/config", config }, { "op/evacuate/mvd-b", "{}" }, { "op/other", "{}" } }));
    REQUIRE(state.configuration);
    CHECK(state.configuration->version.value == 0x1c);
    CHECK(state.evacuated == std::set<DataCentreName> { DataCentreName("mvd-b") });
    REQUIRE(state.configuration->routes.size() == 2);
    const Route& route = state.configuration->routes[0];
    CHECK(route.kind == RouteKind::Idempotent);
    CHECK(route.timeout == 1500ms);
    CHECK(route.targetLatency == 500ms);
    CHECK(route.shares.size() == 2);
    CHECK(route.maxAttempts == 2);
    // Requests of an unknown kind must not be retried.
    CHECK(state.configuration->routes[1].kind == RouteKind::AtMostOnce);
    CHECK(state.configuration->services.at(ServiceName("x")).coldRequestsPerSecond == 11.0);
    CHECK(state.configuration->limits.maxHeaderBytes == 100);
}

TEST_CASE("A kept configuration or evacuation can't be told from the other items of the operators' document")
{
    const OperatorState state
        = decodeOperators(document({ { "op/config", R"({"version":"1","resources":[]})" }, { "op/configuration", "{}" },
            { "op/evacuate/mvd-b", "{}" }, { "op/evacuate/gru-a", "" }, { "op/other", "{}" } }));
    CHECK(state.configurationKey == "op/config");
    CHECK(state.evacuationKeys
        == std::map<DataCentreName, std::string> {
            { DataCentreName("gru-a"), "op/evacuate/gru-a" }, { DataCentreName("mvd-b"), "op/evacuate/mvd-b" } });
    CHECK(decodeOperators(document({ { "op/config", "?" } })).configurationKey == "op/config");
    CHECK(decodeOperators(document({})).configurationKey.empty());
}

TEST_CASE("A malformed configuration is not returned, so that the current one stays")
{
    for (const char* bad : { "", "{}", "not json", R"({"version":"zz","resources":[]})",
             R"({"version":"1c zz","resources":[]})", R"({"version":"11111111111111111","resources":[]})" })
        CHECK_FALSE(decodeOperators(document({ { "op/config", bad } })).configuration);
    CHECK(decodeOperators(document({ { "op/config", "not json" } })).skipped.size() == 1);
}

TEST_CASE("The reported load has three numbers, or four with the current slowness")
{
    const auto parse = platformNames().parseLoad;
    CHECK(parse("3,0,8")->slots == 8);
    CHECK(parse("3,0,8")->slownessPercent == 100);
    CHECK(parse("3,0,8,400")->slownessPercent == 400);
    for (const char* bad : { "", "3", "3,0", "a,b,c", "3,,8", "-1,0,8" })
        CHECK_FALSE(parse(bad));
}
