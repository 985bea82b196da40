#include "snipeweir/core/Random.h"
#include "snipeweir/retry/HedgePolicy.h"
#include "snipeweir/retry/RetryPolicy.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

using Action = RetryDecision::Action;

RetryRequest refused(RequestKind kind, Reason reason = Reason::ServerLimit)
{
    return { kind, Outcome::NotRun, reason, 1, 500ms, RetryLayer::NextNode };
}

RetryRequest lost(RequestKind kind)
{
    return { kind, Outcome::Unknown, Reason::ConnectionLost, 1, 500ms, RetryLayer::NextNode };
}

}

TEST_CASE("Retries never exceed the budget's percentage of first attempts after any number of calls")
{
    for (const uint32_t percent : { 1U, 10U, 33U, 100U }) {
        RetryBudget budget(percent);
        uint64_t firstAttempts = 0;
        uint64_t retries = 0;
        Random random(percent);
        for (int i = 0; i < 50'000; ++i) {
            budget.onFirstAttempt();
            ++firstAttempts;
            for (uint64_t j = random.below(4); j > 0; --j)
                retries += budget.tryConsume() ? 1 : 0;
            CHECK(retries * 100 <= std::max<uint64_t>(300, firstAttempts * percent));
        }
        CHECK(retries * 100 >= firstAttempts * percent * 99 / 100);
    }
    CHECK_FALSE(RetryBudget(0).tryConsume());
}

TEST_CASE("A long period without failures allows only a small burst of retries")
{
    RetryBudget budget(10);
    for (int i = 0; i < 100'000; ++i)
        budget.onFirstAttempt();
    uint32_t burst = 0;
    while (budget.tryConsume())
        ++burst;
    CHECK(burst == 10);
}

TEST_CASE("A keyed call that may have run is never sent to another endpoint")
{
    for (int reason = 0; reason < reasonCount; ++reason) {
        RetryPolicy policy({});
        RetryRequest request = lost(RequestKind::Keyed);
        request.reason = static_cast<Reason>(reason);
        CHECK(policy.decide(request).action != Action::OtherEndpoint);
    }
    RetryPolicy policy({});
    CHECK(policy.decide(lost(RequestKind::Keyed)).action == Action::SameEndpoint);
    CHECK(policy.decide(lost(RequestKind::Idempotent)).action == Action::OtherEndpoint);
    CHECK(policy.decide(refused(RequestKind::Keyed)).action == Action::OtherEndpoint);
}

TEST_CASE("Each limit denies a retry with its own reason, and a denied retry consumes no budget")
{
    RetryPolicy policy({});
    RetryRequest request = refused(RequestKind::Idempotent);
    const uint32_t before = policy.budget().available();
    request.attempts = 3;
    CHECK(policy.decide(request).reason == RetryReason::DeniedByAttempts);
    request.remaining = 1ms;
    CHECK(policy.decide(request).reason == RetryReason::DeniedByDeadline);
    request.layer = RetryLayer::BackendServer;
    CHECK(policy.decide(request).reason == RetryReason::DeniedByLayer);
    CHECK(policy.decide(refused(RequestKind::Idempotent, Reason::BodyTooLarge)).reason == RetryReason::DeniedByKind);
    CHECK(policy.budget().available() == before);
    for (uint32_t i = 0; i < before; ++i)
        CHECK(policy.decide(refused(RequestKind::Idempotent)).isRetry());
    CHECK(policy.decide(refused(RequestKind::Idempotent)).reason == RetryReason::DeniedByBudget);
}

TEST_CASE("A failing layer at the end of a chain of 11 does not multiply the traffic of any layer")
{
    constexpr size_t layers = 11;
    constexpr int calls = 5000;
    std::vector<RetryPolicy> policies(layers, RetryPolicy({}));
    std::vector<int> attempts(layers, 0);

    // Calls the next layer. The layer below the last refuses every call; a backend server whose own call failed
    // responds with an error of its own.
    const auto callBelow = [&](const auto& self, size_t layer) -> void {
        policies[layer].onFirstAttempt();
        for (uint32_t attempt = 1;; ++attempt) {
            ++attempts[layer];
            RetryRequest request = refused(RequestKind::Idempotent);
            request.attempts = attempt;
            if (layer + 1 < layers) {
                self(self, layer + 1);
                request.layer = RetryLayer::BackendServer;
                request.outcome = Outcome::Done;
            }
            if (!policies[layer].decide(request).isRetry())
                return;
        }
    };
    for (int i = 0; i < calls; ++i)
        callBelow(callBelow, 0);
    for (size_t layer = 0; layer + 1 < layers; ++layer)
        CHECK(attempts[layer] == calls);
    CHECK(attempts[layers - 1] <= calls + calls / 10);
    CHECK(attempts[layers - 1] > calls);
}

TEST_CASE("Hedges are granted only for slow idempotent calls and within the budget")
{
    HedgePolicy policy({});
    CHECK_FALSE(policy.decide({ RequestKind::Keyed, 60ms, 1, 500ms }).isGranted);
    const HedgeDecision early = policy.decide({ RequestKind::Idempotent, 20ms, 1, 500ms });
    CHECK_FALSE(early.isGranted);
    CHECK(early.decideAgainAfter == 30ms);
    CHECK(policy.decide({ RequestKind::Idempotent, 20ms, 1, 25ms }).reason == RetryReason::DeniedByDeadline);
    CHECK(policy.decide({ RequestKind::Idempotent, 60ms, 3, 500ms }).reason == RetryReason::DeniedByAttempts);
    int granted = 0;
    for (int i = 0; i < 10'000; ++i) {
        policy.onFirstAttempt();
        granted += policy.decide({ RequestKind::Idempotent, 60ms, 1, 500ms }).isGranted ? 1 : 0;
    }
    CHECK(granted <= 200);
    CHECK(granted >= 198);
}
