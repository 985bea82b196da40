#include "snipeweir/admission/AdmissionController.h"
#include "snipeweir/core/Random.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace snipeweir;
using namespace std::chrono_literals;
using Kind = AdmissionDecision::Kind;

namespace {

constexpr BackendResult success { BackendResult::Kind::Succeeded, 5ms };
constexpr BackendResult fastFailure { BackendResult::Kind::Failed, 100us };

struct Fixture {
    explicit Fixture(AdmissionSettings settings = {})
        : controller(AdmissionController::create(settings, clock).value())
    {
    }

    AdmissionDecision offer(
        const std::string& id, CallClass callClass = CallClass::Public, std::chrono::milliseconds deadline = 2s) const
    {
        return controller->offer({ CallId(id), callClass, clock.now() + deadline });
    }

    /// Runs rounds of calls that use all available slots and end with the given result.
    void runRounds(int rounds, BackendResult result)
    {
        for (int round = 0; round < rounds; ++round) {
            std::vector<CallId> running;
            while (offer(std::to_string(++count), CallClass::Internal).kind == Kind::Admitted)
                running.emplace_back(std::to_string(count));
            controller->cancel(CallId(std::to_string(count)));
            controller->poll(CallId(std::to_string(count)));
            clock.advance(result.latency);
            for (const CallId& id : running)
                controller->onFinished(id, result);
        }
    }

    void warmUp()
    {
        runRounds(400, success);
        REQUIRE(controller->report().phase == EndpointPhase::Serving);
        REQUIRE(controller->report().limit == 10);
        controller->takeDecided();
    }

    ManualClock clock;
    std::unique_ptr<AdmissionController> controller;
    int count = 0;
};

}

TEST_CASE("A cold server runs one call at a time, and fast failures never raise its limit")
{
    Fixture f;
    CHECK(f.controller->report().phase == EndpointPhase::Cold);
    CHECK(f.offer("a").kind == Kind::Admitted);
    CHECK(f.offer("b").kind == Kind::Queued);
    f.controller->cancel(CallId("b"));
    f.controller->onFinished(CallId("a"), fastFailure);
    f.runRounds(1000, fastFailure);
    CHECK(f.controller->report().limit == 1);
    CHECK(f.controller->report().serviceTime == 0us);
    f.warmUp();
}

TEST_CASE("A warm server that becomes cold without reporting it is limited within one round of calls")
{
    Fixture f;
    f.warmUp();
    SUBCASE("by failures") { f.runRounds(1, fastFailure); }
    SUBCASE("by latency") { f.runRounds(1, { BackendResult::Kind::Succeeded, 40ms }); }
    SUBCASE("by lost connections") { f.runRounds(1, { BackendResult::Kind::Lost, 1ms }); }
    CHECK(f.controller->report().limit == 1);
    CHECK(f.controller->report().phase == EndpointPhase::Cold);
    f.warmUp();
}

TEST_CASE("Hints can lower the limit but never raise it, and frequent hints cannot keep it low")
{
    Fixture f;
    f.controller->onBackendHint(BackendHint::Healthy);
    CHECK(f.controller->report().limit == 1);
    f.warmUp();
    f.controller->onBackendHint(BackendHint::JustStarted);
    CHECK(f.controller->report().limit == 1);
    f.runRounds(400, success);
    f.controller->onBackendHint(BackendHint::JustStarted);
    CHECK(f.controller->report().limit == 10);
}

TEST_CASE("Public calls leave the reserved slots free, so an internal call never waits behind them")
{
    Fixture f;
    f.warmUp();
    for (int i = 0; i < 30; ++i)
        f.offer("p" + std::to_string(i));
    CHECK(f.controller->report().inFlight == 8);
    CHECK(f.controller->report().queued == 10);
    CHECK(f.offer("p") == AdmissionDecision { Kind::Refused, Reason::QueueFull });
    CHECK(f.offer("i1", CallClass::Internal).kind == Kind::Admitted);
    CHECK(f.offer("i2", CallClass::Internal).kind == Kind::Admitted);

    // Beyond the reserved slots, an internal call replaces a public one in the queue and starts before all public
    // calls.
    CHECK(f.offer("i3", CallClass::Internal).kind == Kind::Queued);
    CHECK(f.controller->report().queued == 10);
    CHECK(f.controller->poll(CallId("p17")) == AdmissionDecision { Kind::Refused, Reason::QueueFull });
    f.controller->onFinished(CallId("p0"), success);
    CHECK(f.controller->poll(CallId("i3")) == AdmissionDecision { Kind::Admitted, Reason::None });
}

TEST_CASE("A queued call that is past its deadline or queue timeout, cancelled or drained is never started")
{
    Fixture f;
    CHECK(f.offer("late", CallClass::Public, 0ms) == AdmissionDecision { Kind::Refused, Reason::DeadlinePassed });
    f.offer("running");
    f.offer("deadline", CallClass::Public, 10ms);
    f.offer("cancelled");
    f.offer("timeout");
    f.controller->cancel(CallId("cancelled"));
    f.clock.advance(10ms);
    f.controller->expireQueue();
    f.clock.advance(40ms);
    f.offer("drained");
    f.controller->setServing(ServingState::Draining);
    f.controller->onFinished(CallId("running"), success);
    const std::map<std::string, Reason> expected { { "deadline", Reason::DeadlinePassed },
        { "cancelled", Reason::CancelledBeforeStart }, { "timeout", Reason::QueueTimeout },
        { "drained", Reason::Draining } };
    CHECK(f.controller->takeDecided().size() == expected.size());
    for (const auto& [id, reason] : expected)
        CHECK(f.controller->poll(CallId(id)) == AdmissionDecision { Kind::Refused, reason });
    CHECK(f.controller->report().inFlight == 0);

    for (const auto& [state, reason] :
        { std::pair(ServingState::VmOut, Reason::VmOut), std::pair(ServingState::DataCentreOut, Reason::DataCentreOut),
            std::pair(ServingState::StaleView, Reason::StaleView) }) {
        f.controller->setServing(state);
        CHECK(f.offer("new") == AdmissionDecision { Kind::Refused, reason });
    }
}

TEST_CASE("A slot assigned to a queued call is released if the call may no longer start when its thread wakes up")
{
    Fixture f;
    f.offer("running");
    f.offer("waiting", CallClass::Public, 20ms);
    f.controller->onFinished(CallId("running"), success);
    CHECK(f.controller->takeDecided() == std::vector { CallId("waiting") });
    CHECK(f.controller->report().inFlight == 1);
    Reason reason = Reason::DeadlinePassed;
    SUBCASE("deadline") { f.clock.advance(20ms); }
    SUBCASE("drain")
    {
        f.controller->setServing(ServingState::Draining);
        reason = Reason::Draining;
    }
    SUBCASE("cancelled")
    {
        f.controller->cancel(CallId("waiting"));
        reason = Reason::CancelledBeforeStart;
    }
    CHECK(f.controller->poll(CallId("waiting")) == AdmissionDecision { Kind::Refused, reason });
    CHECK(f.controller->report().inFlight == 0);
}

TEST_CASE("A call whose cancellation arrived first is refused")
{
    Fixture f;
    f.controller->cancel(CallId("a"));
    CHECK(f.offer("a") == AdmissionDecision { Kind::Refused, Reason::CancelledBeforeStart });
}
