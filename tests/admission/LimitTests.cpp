#include "snipeweir/admission/AdmissionController.h"
#include "snipeweir/core/Random.h"

#include <cmath>
#include <doctest/doctest.h>
#include <queue>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

/// Simulates a fully loaded server with exponentially distributed service times.
class LoadedServer {
public:
    /// Runs the server at full load.
    /// @param meanUs Mean service time.
    /// @param failureShare Share of calls that fail.
    void run(std::chrono::milliseconds time, double meanUs, double failureShare = 0)
    {
        const SteadyTime end = clock.now() + time;
        while (clock.now() < end) {
            const CallId id(std::to_string(++m_count));
            const auto decision = controller->offer({ id, CallClass::Internal, clock.now() + 2s });
            if (decision.kind == AdmissionDecision::Kind::Admitted) {
                const auto latency = static_cast<int64_t>(-meanUs * std::log(1 - m_random.nextDouble())) + 1;
                m_running.push({ clock.now() + std::chrono::microseconds(latency), m_count, latency });
                continue;
            }
            controller->cancel(id);
            controller->poll(id);
            const Call call = m_running.top();
            m_running.pop();
            clock.moveTo(call.end);
            const bool hasFailed = m_random.nextDouble() < failureShare;
            controller->onFinished(CallId(std::to_string(call.id)),
                { hasFailed ? BackendResult::Kind::Failed : BackendResult::Kind::Succeeded,
                    std::chrono::microseconds(call.latencyUs) });
            lowestLimit = std::min(lowestLimit, controller->report().limit);
        }
    }

    void warmUp()
    {
        run(3s, 5000);
        REQUIRE(controller->report().limit == 10);
        lowestLimit = 10;
    }

    ManualClock clock;
    std::unique_ptr<AdmissionController> controller = AdmissionController::create({}, clock).value();
    uint32_t lowestLimit = 10;

private:
    struct Call {
        SteadyTime end;
        uint64_t id;
        int64_t latencyUs;
        bool operator<(const Call& other) const { return end > other.end; }
    };
    Random m_random { 5 };
    std::priority_queue<Call> m_running;
    uint64_t m_count = 0;
};

}

TEST_CASE("Scattered latencies and rare failures of a healthy server do not lower its limit to that of a cold one")
{
    // Guards against treating single slow calls as signs of a cold server, which halved the goodput under overload.
    LoadedServer server;
    server.warmUp();
    server.run(60s, 5000, 0.01);
    CHECK(server.lowestLimit >= 5);
    CHECK(server.controller->report().limit == 10);
}

TEST_CASE("The limit falls when the latency doubles, once for each window, and returns with the latency")
{
    AdaptiveLimit limit(10);
    LatencyHistory history;
    SteadyTime now { 1h };
    const auto runWindows = [&](int windows, std::chrono::microseconds latency) {
        for (int i = 0; i < windows * 40; ++i) {
            now += 3ms;
            history.add(latency, now);
            limit.onResult({ BackendResult::Kind::Succeeded, latency }, limit.limit(), history, now, now);
        }
    };
    runWindows(10, 5ms);
    CHECK(limit.limit() == 10);
    // 2.4 times the usual latency is too little for the cold detector.
    CHECK_FALSE(history.isFarAboveBaseline(12ms));
    runWindows(2, 12ms);
    CHECK(limit.limit() < 10);
    CHECK(limit.limit() >= 3);
    runWindows(10, 5ms);
    CHECK(limit.limit() == 10);
}

TEST_CASE("The full limit returns for a server that stays slower, after its baseline has adapted")
{
    LoadedServer server;
    server.warmUp();
    server.run(120s, 25'000);
    CHECK(server.controller->report().limit == 10);
}

TEST_CASE("The limit of a server that fails a third of its calls stays below its slots until it recovers")
{
    LoadedServer server;
    server.warmUp();
    server.run(5s, 5000, 0.33);
    CHECK(server.controller->report().limit < 8);
    server.run(5s, 5000);
    CHECK(server.controller->report().limit == 10);
}
