#include "snipeweir/routes/RouteTable.h"
#include "snipeweir/routes/TrafficSplitter.h"

#include <doctest/doctest.h>
#include <map>

using namespace snipeweir;

namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix)
{
    Route result;
    result.name = name;
    result.host = host;
    result.prefix = prefix;
    result.shares.push_back({ ServiceName("s"), 1 });
    return result;
}

}

TEST_CASE("The route with the longest prefix of the request's host is found")
{
    auto configuration = std::make_shared<RouteConfiguration>();
    configuration->routes = { route("root", "a.example", "/"), route("x", "a.example", "/x/"),
        route("xy", "a.example", "/x/y/"), route("other", "b.example", "/x/") };
    const RouteTable table(configuration);
    CHECK(table.find("a.example", "/x/y/z")->name == "xy");
    CHECK(table.find("A.Example:8080", "/x/yy")->name == "x");
    CHECK(table.find("a.example", "/x")->name == "root");
    CHECK(table.find("a.example", "/q?path=/x/y/")->name == "root");
    CHECK(table.find("b.example", "/x/")->name == "other");
    CHECK(table.find("b.example", "/y/") == nullptr);
    CHECK(table.find("c.example", "/x/") == nullptr);
    CHECK(table.find("", "") == nullptr);
}

TEST_CASE("Each node divides the first hundred requests of a route by weight")
{
    Route split = route("r", "a.example", "/");
    split.shares = { { ServiceName("new"), 10 }, { ServiceName("old"), 90 } };
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        TrafficSplitter splitter(seed);
        std::map<std::string, int> counts;
        for (int request = 0; request < 100; ++request)
            ++counts[splitter.next(split).text()];
        CHECK(counts["new"] >= 9);
        CHECK(counts["new"] <= 11);
    }
}

TEST_CASE("Nodes that start at the same time do not all send their first request to the same service")
{
    Route split = route("r", "a.example", "/");
    split.shares = { { ServiceName("new"), 20 }, { ServiceName("old"), 80 } };
    int first = 0;
    for (uint64_t seed = 0; seed < 500; ++seed) {
        TrafficSplitter splitter(seed * 977);
        first += splitter.next(split).text() == "new" ? 1 : 0;
    }
    CHECK(first > 25);
    CHECK(first < 250);
}

TEST_CASE("Changed weights apply from the next request on")
{
    Route split = route("r", "a.example", "/");
    split.shares = { { ServiceName("new"), 1 }, { ServiceName("old"), 1 } };
    TrafficSplitter splitter(3);
    for (int request = 0; request < 50; ++request)
        splitter.next(split);
    split.shares[0].weight = 1000;
    int count = 0;
    for (int request = 0; request < 100; ++request)
        count += splitter.next(split).text() == "new" ? 1 : 0;
    CHECK(count >= 98);
}
