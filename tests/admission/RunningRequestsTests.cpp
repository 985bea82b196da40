#include "snipeweir/admission/RunningRequests.h"
#include "snipeweir/admission/ServerGate.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("A call is told from other requests by the deadline of the request that runs")
{
    ManualClock clock;
    const SteadyTime now = clock.now();
    RunningRequests running { RunningRequests::Settings() };
    CHECK_FALSE(running.targetOfCall(now + 2s, now));
    running.add(1, now + 400ms, now + 2s);
    CHECK(running.targetOfCall(now + 2s, now) == now + 500ms);
    CHECK(running.targetOfCall(now + 2s + 15ms, now));
    CHECK_FALSE(running.targetOfCall(now + 2s + 30ms, now));
    CHECK_FALSE(running.targetOfCall(now + 1900ms, now));
    running.add(2, now + 900ms, now + 2s - 5ms);
    CHECK(running.targetOfCall(now + 2s, now) == now + 900ms);
    running.remove(1);
    running.remove(2);
    CHECK_FALSE(running.targetOfCall(now + 2s, now));
}

// Signings call a service whose server is cold and bears 17 requests a second. A call that is turned away
// fails its signing, which has run for nothing.
TEST_CASE("Calls that wait as long as their requests can save runs while the service that they call is cold")
{
    const auto signingsThatFail = [](bool knowsRequests) {
        ManualClock clock;
        ServerGate gate(ServerGate::Settings(), clock);
        gate.setClosed(Reason::None);
        gate.setSlots(10);
        gate.setColdBound(21.5);
        gate.setCold(4s);
        RunningRequests running { RunningRequests::Settings() };
        int failed = 0;
        uint64_t id = 0;
        for (int step = 0; step < 3000; ++step) {
            clock.advance(1ms);
            for (const ServerGate::Decision& decision : gate.advance()) {
                failed += decision.verdict == ServerGate::Verdict::Refused ? 1 : 0;
                gate.onFinished(decision.id, ServerGate::RunResult::Succeeded, 80ms);
            }
            // Calls come four at a time, 16 a second.
            if (step % 250 != 0)
                continue;
            for (int call = 0; call < 4; ++call) {
                const SteadyTime now = clock.now();
                running.add(++id, now + 500ms, now + 2s);
                const SteadyTime routeTarget = now + 150ms;
                const SteadyTime target = knowsRequests ? *running.targetOfCall(now + 2s, now) : routeTarget;
                const auto decision = gate.offer({ id, 0, target, now + 2s, 40ms });
                failed += decision.verdict == ServerGate::Verdict::Refused ? 1 : 0;
                if (decision.verdict == ServerGate::Verdict::Admitted)
                    gate.onFinished(id, ServerGate::RunResult::Succeeded, 80ms);
                running.remove(id);
            }
        }
        return failed;
    };
    CHECK(signingsThatFail(false) > 0);
    CHECK(signingsThatFail(true) == 0);
}
