#include "AtMostOnceModel.h"

#include "snipeweir/core/Random.h"

#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unordered_set>

using namespace snipeweir;

namespace {

struct Exploration {
    size_t states = 0;
    std::string violation;
    std::string trace;
    bool hasNotRun = false;
    bool hasDone = false;
    bool hasRunSuccessor = false;
    bool isComplete = false;
};

/// Visits every reachable state in breadth-first order and stops at the first violation, so its trace is a shortest
/// one.
Exploration explore(ModelBounds bounds, Rule disabledRule, size_t maxStates = 5'000'000)
{
    Exploration result;
    std::unordered_set<std::string> seen;
    std::deque<AtMostOnceModel> open { AtMostOnceModel(bounds, disabledRule) };
    while (!open.empty() && result.states < maxStates) {
        const AtMostOnceModel model = std::move(open.front());
        open.pop_front();
        ++result.states;
        for (const auto& event : model.events()) {
            AtMostOnceModel next = model;
            next.apply(event);
            result.violation = next.violation();
            result.trace = next.trace();
            if (!result.violation.empty())
                return result;
            result.hasNotRun = result.hasNotRun || next.hasReportedNotRun();
            result.hasDone = result.hasDone || next.hasReportedDone();
            result.hasRunSuccessor = result.hasRunSuccessor || next.hasRunSuccessor();
            if (seen.insert(next.digest()).second)
                open.push_back(std::move(next));
        }
    }
    result.isComplete = open.empty();
    return result;
}

}

TEST_CASE(
    "No interleaving runs a key chain twice, runs one that was reported as not_run, or reports done without a run")
{
    ModelBounds bounds;
    SUBCASE("repeats, restart and expiry") { }
    SUBCASE("a ledger that is full at first") { bounds.isFullAtFirst = true; }
    const Exploration result = explore(bounds, Rule::None);
    CHECK_MESSAGE(result.violation.empty(), result.violation, ": ", result.trace);
    CHECK(result.isComplete);
    // If these outcomes were not reached, the search would prove nothing.
    CHECK(result.hasNotRun);
    CHECK(result.hasDone);
    CHECK(result.hasRunSuccessor);
    MESSAGE("states: ", result.states);
}

TEST_CASE("With any one rule disabled the search finds a violation")
{
    for (const Rule rule :
        { Rule::IncarnationIsChecked, Rule::EntryBeforeForwarding, Rule::RefusalSeals, Rule::FirstSuccessorStays,
            Rule::OnlyOwnerSeals, Rule::ChainIsFollowedToItsEnd, Rule::NoEarlyEviction, Rule::ExpiredKeysDoNotRun,
            Rule::FullLedgerRefusesPermanently, Rule::SentIsUnknown, Rule::RepeatIsUnknown, Rule::OneSendAtATime }) {
        ModelBounds bounds;
        bounds.isFullAtFirst = rule == Rule::FullLedgerRefusesPermanently;
        const Exploration result = explore(bounds, rule);
        CHECK_MESSAGE(!result.violation.empty(), "rule ", static_cast<int>(rule));
        MESSAGE("rule ", static_cast<int>(rule), ": ", result.violation, " after ", result.states,
            " states: ", result.trace);
    }
}

TEST_CASE("Longer random histories with more repeats, restarts and time keep the rules")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=3000", 0);
    const bool holds = rc::check([](uint64_t seed) {
        Random random(seed);
        ModelBounds bounds;
        bounds.attempts = 4;
        bounds.resends = 4;
        bounds.restarts = 2;
        bounds.halfWindows = 3;
        bounds.isFullAtFirst = random.below(2) == 0;
        AtMostOnceModel model(bounds, Rule::None);
        for (int i = 0; i < 60; ++i) {
            const auto events = model.events();
            if (events.empty())
                break;
            model.apply(events[random.below(events.size())]);
            RC_ASSERT(model.violation().empty());
        }
    });
    CHECK(holds);
}
