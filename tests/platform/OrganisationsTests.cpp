#include "platform/ConfigurationCheck.h"
#include "platform/Documents.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace snipeweir::platform;

namespace {

/// @param resources Resources of the configuration, separated by commas.
std::string configurationWith(const std::string& resources)
{
    return R"({"version":"5","resources":[)" + resources + "]}";
}

std::string organisation(const std::string& name, const std::string& spec)
{
    return R"({"typeUrl":"tenants","metadata":{"name":")" + name + R"("},"spec":)" + spec + "}";
}

OperatorState decode(const std::string& resources)
{
    SourceDocument document;
    document.version.revision.value = 7;
    document.text = encodeItems({ { "op/config", configurationWith(resources) } });
    return decodeOperators(document);
}

const Organisation* find(const OperatorState& state, const std::string& key)
{
    return state.configuration->organisations->find(OrganisationTable::digest(key));
}

}

TEST_CASE("Organisations are decoded with other values, or routes with another need for keys")
{
    const OperatorState state = decode(
        organisation("a b", R"({"apiKeys":["k1","k 2"],"priority":3,"ratePerS":1.5,"burst":10})") + ","
        + organisation("plain", R"({"apiKeys":["k3"],"priority":null,"ratePerS":0,"burst":4})") + ","
        + organisation("none", R"({"apiKeys":[]})")
        + R"(,{"typeUrl":"routes","metadata":{"name":"open"},"spec":{"host":"h","prefix":"/o/","kind":"safe","service":"x","noAuth":true}})"
          R"(,{"typeUrl":"routes","metadata":{"name":"odd"},"spec":{"host":"h","prefix":"/p/","kind":"safe","service":"x","noAuth":"true"}})"
          R"(,{"typeUrl":"routes","metadata":{"name":"usual"},"spec":{"host":"h","prefix":"/q/","kind":"safe","service":"x"}})");
    REQUIRE(state.configuration);
    REQUIRE(state.configuration->organisations);
    CHECK(state.skipped.empty());
    CHECK(state.configuration->organisations->organisationCount() == 3);
    const Organisation* first = find(state, "k 2");
    REQUIRE(first);
    CHECK(first->name == "a b");
    CHECK(first->priority == 3);
    CHECK(first->requestsPerSecond == 1.5);
    CHECK(first->burst == 10);
    const Organisation* plain = find(state, "k3");
    REQUIRE(plain);
    CHECK_FALSE(plain->priority);
    CHECK(plain->requestsPerSecond == 0);
    CHECK(plain->burst == 0);
    REQUIRE(state.configuration->routes.size() == 3);
    CHECK_FALSE(state.configuration->routes[0].requiresKey);
    CHECK(state.configuration->routes[1].requiresKey);
    CHECK(state.configuration->routes[2].requiresKey);
    CHECK_FALSE(decode("").configuration->organisations);
}

TEST_CASE("A malformed organisation removes the others, is used, is not counted, or opens the routes")
{
    const std::string good = organisation("good", R"({"apiKeys":["good-key"]})");
    for (const std::string& bad :
        { organisation("", R"({"apiKeys":["bad-key"]})"), organisation("a\\r\\nX: y", R"({"apiKeys":["bad-key"]})"),
            organisation(" a", R"({"apiKeys":["bad-key"]})"),
            organisation(std::string(300, 'a'), R"({"apiKeys":["bad-key"]})"), organisation("bad", "7"),
            organisation("bad", "{}"), organisation("bad", R"({"apiKeys":"bad-key"})"),
            organisation("bad", R"({"apiKeys":["bad-key"],"ratePerS":-1})"),
            organisation("bad", R"({"apiKeys":["bad-key"],"ratePerS":"5"})"),
            organisation("bad", R"({"apiKeys":["bad-key"],"burst":1e300})"),
            organisation("good", R"({"apiKeys":["bad-key"]})"),
            std::string(R"({"typeUrl":"tenants","spec":{"apiKeys":["bad-key"]}})"),
            std::string(R"({"typeUrl":"tenants"})") }) {
        const OperatorState state = decode(good + "," + bad);
        REQUIRE(state.configuration);
        REQUIRE(state.configuration->organisations);
        CHECK(find(state, "good-key"));
        CHECK_MESSAGE(!find(state, "bad-key"), bad);
        CHECK(state.skipped.size() == 1);
        // On its own it still says that requests need keys.
        CHECK(decode(bad).configuration->organisations);
        for (const SkippedEntry& skipped : state.skipped)
            CHECK((skipped.key + skipped.reason).find("bad-key") == std::string::npos);
    }
}

TEST_CASE("A malformed key or priority takes the organisation with it, or the key of another one")
{
    const OperatorState state = decode(organisation("a", R"({"apiKeys":["k1"]})") + ","
        + organisation("b", R"({"apiKeys":["",7,null,"\u0001"," k"," ","k1","k2"],"priority":"high"})"));
    REQUIRE(state.configuration);
    CHECK(find(state, "k1")->name == "a");
    CHECK(find(state, "k2")->name == "b");
    CHECK_FALSE(find(state, ""));
    CHECK_FALSE(find(state, "k2")->priority);
    CHECK(state.skipped.size() == 8);
}

TEST_CASE("The check of a configuration misses a fault, reports one where there is none, or shows a key")
{
    CHECK(checkConfiguration(
        configurationWith(organisation("a", R"({"apiKeys":["k1"],"ratePerS":2,"burst":3})")
            + R"(,{"typeUrl":"routes","metadata":{"name":"r"},"spec":{"host":"h","prefix":"/p/","kind":"safe","service":"x","noAuth":true}})"))
              .empty());
    const auto faultsOf = [](const std::string& resources) {
        std::string text;
        for (const ConfigurationFault& fault : checkConfiguration(configurationWith(resources)))
            text.append(fault.text()).append("\n");
        return text;
    };
    const std::string twice = faultsOf(
        organisation("a", R"({"apiKeys":["secret-1"]})") + "," + organisation("b", R"({"apiKeys":["x","secret-1"]})"));
    CHECK(twice
        == "$.resources[1].spec.apiKeys[1]: found the key at $.resources[0].spec.apiKeys[0], "
           "allowed a key that is held once\n");
    const auto firstFault = [&](const std::string& spec) { return faultsOf(organisation("a", spec)); };
    for (const auto& expected : std::vector<std::pair<std::string, std::string>> {
             { R"({"apiKeys":["k"],"ratePerS":-1})", ".ratePerS: found a negative number" },
             { R"({"apiKeys":["k"],"ratePerS":"5"})", ".ratePerS: found no number" },
             { R"({"apiKeys":["k"],"ratePerS":5,"burst":-2})", ".burst: found a negative number" },
             { R"({"apiKeys":["k"],"burst":2})", ".burst: found a burst without a rate" },
             { R"({"apiKeys":["k"],"ratePerSecond":2})", "the unknown field ratePerSecond" },
             { R"({"apiKeys":["k"],"priority":-1})", ".priority: found another value" },
             { R"({"apiKeys":["k",""]})", ".apiKeys[1]: found no usable key" }, { "{}", ".apiKeys: found no list" } }) {
        const std::string fault = firstFault(expected.first);
        CHECK_MESSAGE(fault.find(expected.second) != std::string::npos, fault);
    }
    CHECK(faultsOf(organisation("a", R"({"apiKeys":["k"]})") + "," + organisation("a", R"({"apiKeys":["j"]})"))
              .find("$.resources[1].metadata.name: found a")
        == 0);
    CHECK(faultsOf(R"({"typeUrl":"routes","metadata":{"name":"r"},"spec":{"host":"h","noAuth":"yes"}})")
        == "$.resources[0].spec.noAuth: found another value, allowed true or false\n"
           "op/config r: found malformed route, allowed what nodes can use\n");
    CHECK(checkConfiguration("[]").size() == 1);
    CHECK(checkConfiguration("{}").size() == 1);
}
