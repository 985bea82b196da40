#include "snipeweir/fleet/EraTracker.h"
#include "snipeweir/fleet/SourceVersion.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("A version of an earlier era with a higher revision counts as the later one, or can't be told apart in a log")
{
    const SourceVersion before(Revision { 900 }, 1);
    const SourceVersion after(Revision { 80 }, 2);
    CHECK(before < after);
    CHECK(after < SourceVersion(Revision { 81 }, 2));
    CHECK(SourceVersion(Revision { 900 }) < before);
    CHECK(after == SourceVersion(Revision { 80 }, 2));
    CHECK(before.text() == "1/900");
    CHECK(SourceVersion(Revision { 900 }).text() == "900");
    CHECK_FALSE(SourceVersion().isKnown());
    CHECK(SourceVersion(Revision {}, 1).isKnown());
}

TEST_CASE("A node goes back to an earlier era, or takes the first era that it hears of for a change")
{
    const SteadyTime start { 1h };
    EraTracker eras;
    CHECK_FALSE(eras.isWithin(5s, start));
    CHECK_FALSE(eras.onEra(3, start));
    CHECK_FALSE(eras.begin());
    CHECK_FALSE(eras.isWithin(5s, start));
    CHECK(eras.onEra(4, start + 1s));
    CHECK_FALSE(eras.onEra(3, start + 2s));
    CHECK_FALSE(eras.onEra(4, start + 2s));
    CHECK(eras.era() == 4);
    CHECK(eras.begin() == start + 1s);
    CHECK(eras.isWithin(5s, start + 5999ms));
    CHECK_FALSE(eras.isWithin(5s, start + 6s));
    // From a source without eras to one with them.
    EraTracker upgraded;
    CHECK_FALSE(upgraded.onEra(0, start));
    CHECK(upgraded.onEra(1, start + 1s));
}

TEST_CASE("A node that was cut off lets another one take an old era for one that has just begun")
{
    const SteadyTime start { 1h };
    EraTracker started;
    CHECK_FALSE(started.onEra(5, start));
    started.onBegin(5, start + 60s);
    CHECK(started.begin() == start);
    CHECK_FALSE(started.isWithin(5s, start + 60s));
}

TEST_CASE("A node that was cut off takes the time at which it heard of an era for its begin")
{
    const SteadyTime start { 1h };
    EraTracker eras;
    eras.onBegin(0, start);
    CHECK_FALSE(eras.begin());
    eras.onEra(3, start);
    eras.onEra(4, start + 9s);
    eras.onBegin(4, start + 2s);
    CHECK(eras.begin() == start + 2s);
    eras.onBegin(4, start + 3s);
    eras.onBegin(3, start);
    eras.onBegin(5, start);
    CHECK(eras.begin() == start + 2s);
    // The next era begins anew; a node that starts in it is told of its begin.
    CHECK(eras.onEra(5, start + 20s));
    CHECK(eras.begin() == start + 20s);
    EraTracker started;
    started.onEra(5, start + 30s);
    started.onBegin(5, start + 20s);
    CHECK(started.begin() == start + 20s);
}
