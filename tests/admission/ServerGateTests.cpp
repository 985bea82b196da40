#include "snipeweir/admission/ServerGate.h"
#include "snipeweir/admission/ServerRateLimit.h"
#include "snipeweir/core/Random.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

using Verdict = ServerGate::Verdict;

/// @return An open gate of a warm server with the given number of slots.
ServerGate openGate(const Clock& clock, uint32_t slots)
{
    ServerGate gate(ServerGate::Settings(), clock);
    gate.setClosed(Reason::None);
    gate.setSlots(slots);
    gate.setCold(0ms);
    return gate;
}

ServerGate::Request requestAt(const Clock& clock, uint64_t id, uint32_t priority = 0)
{
    return { id, priority, clock.now() + 500ms, clock.now() + 3000ms, 100ms };
}

/// @return Largest number of starts in any window of this length.
ptrdiff_t mostStarts(const std::vector<SteadyTime>& starts, std::chrono::seconds window)
{
    ptrdiff_t most = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first)
        most = std::max(most, std::upper_bound(first, starts.end(), *first + window) - first);
    return most;
}

/// Offers three requests each millisecond and records their starts; each ends at once.
void offerEachMillisecond(ServerGate& gate, ManualClock& clock, std::chrono::milliseconds time, uint64_t& nextId,
    std::vector<SteadyTime>& starts)
{
    const auto record = [&](const ServerGate::Decision& decision) {
        if (decision.verdict != Verdict::Admitted)
            return;
        starts.push_back(clock.now());
        gate.onFinished(decision.id, ServerGate::RunResult::Succeeded, 1ms);
    };
    for (auto passed = 0ms; passed < time; passed += 1ms) {
        clock.advance(1ms);
        for (int copy = 0; copy < 3; ++copy)
            record(gate.offer(requestAt(clock, nextId++)));
        for (const auto& decision : gate.advance())
            record(decision);
    }
}

/// Simulates requests to a server with a fixed service time and counts their outcomes by priority.
struct LoadSimulation {
    struct Outcome {
        int offered = 0;
        int onTime = 0;
        int late = 0;
        int refused = 0;
        std::chrono::nanoseconds longestRefusal { 0 };
    };

    explicit LoadSimulation(
        ServerGate& simulatedGate, ManualClock& simulatedClock, std::chrono::milliseconds fixedServiceTime)
        : gate(simulatedGate)
        , clock(simulatedClock)
        , serviceTime(fixedServiceTime)
    {
    }

    void offer(uint32_t priority)
    {
        const uint64_t id = next++;
        requests[id] = { priority, clock.now() };
        ++outcomes[priority].offered;
        recordDecision(gate.offer({ id, priority, clock.now() + 500ms, clock.now() + 3000ms, serviceTime }));
    }

    void step(std::chrono::milliseconds time)
    {
        clock.advance(time);
        while (!running.empty() && running.front().second <= clock.now()) {
            const uint64_t id = running.front().first;
            running.pop_front();
            gate.onFinished(id, ServerGate::RunResult::Succeeded, serviceTime);
            Outcome& outcome = outcomes[requests[id].first];
            ++(clock.now() - requests[id].second <= 500ms ? outcome.onTime : outcome.late);
        }
        for (const auto& decision : gate.advance())
            recordDecision(decision);
    }

    void recordDecision(const ServerGate::Decision& decision)
    {
        const auto& [priority, offeredAt] = requests[decision.id];
        if (decision.verdict == Verdict::Admitted) {
            running.emplace_back(decision.id, clock.now() + serviceTime);
        } else if (decision.verdict == Verdict::Refused) {
            Outcome& outcome = outcomes[priority];
            ++outcome.refused;
            outcome.longestRefusal
                = std::max<std::chrono::nanoseconds>(outcome.longestRefusal, clock.now() - offeredAt);
        }
    }

    ServerGate& gate;
    ManualClock& clock;
    std::chrono::milliseconds serviceTime;
    uint64_t next = 1;
    std::deque<std::pair<uint64_t, SteadyTime>> running;
    std::map<uint64_t, std::pair<uint32_t, SteadyTime>> requests;
    std::map<uint32_t, Outcome> outcomes;
};

}

TEST_CASE("At twice the capacity the server stays busy, admitted requests are on time and urgent ones are all served")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 10);
    LoadSimulation simulation(gate, clock, 100ms);
    Random random(11);
    // Eight usable slots serve 80 requests of 100 ms per second; 160 are offered, a quarter of them urgent.
    for (int step = 0; step < 20'000; ++step) {
        if (random.below(1000) < 160)
            simulation.offer(random.below(4) == 0 ? 0 : 2);
        simulation.step(1ms);
    }
    const auto& urgent = simulation.outcomes[0];
    const auto& normal = simulation.outcomes[2];
    CHECK(urgent.refused * 100 <= urgent.offered);
    CHECK(normal.late + urgent.late == 0);
    CHECK(urgent.onTime + normal.onTime >= 80 * 20 * 95 / 100);
    // A refusal must come early enough to be useful, at the latest after the maximum wait of the settings.
    CHECK(normal.longestRefusal <= 500ms * 40 / 100 + 1ms);
}

TEST_CASE("Without a free slot, a request that cannot be on time is refused at once")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 1);
    CHECK(gate.offer(requestAt(clock, 1)).verdict == Verdict::Admitted);
    ServerGate::Request tight { 2, 0, clock.now() + 60ms, clock.now() + 1000ms, 100ms };
    const auto decision = gate.offer(tight);
    CHECK(decision.verdict == Verdict::Refused);
    CHECK(decision.reason == Reason::QueueFull);
}

TEST_CASE("A cold server gets no more requests in any second than operators allow, at any load")
{
    // The server can handle 11 requests per second. 1.5 times that plus 5 are allowed in any one second, and most of
    // that is used.
    ManualClock clock;
    ServerGate gate = openGate(clock, 50);
    gate.setMaxColdRate(21.5);
    std::vector<SteadyTime> starts;
    uint64_t id = 1;
    for (int check = 0; check < 100; ++check) {
        gate.setCold(5000ms); // Each health response reports that the server is cold.
        offerEachMillisecond(gate, clock, 100ms, id, starts);
    }
    CHECK(mostStarts(starts, 1s) <= 21);
    CHECK(starts.size() >= 16 * 10);
}

TEST_CASE("A closed gate refuses new and waiting requests at once")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 1);
    CHECK(gate.offer(requestAt(clock, 1)).verdict == Verdict::Admitted);
    CHECK(gate.offer(requestAt(clock, 2)).verdict == Verdict::Waiting);
    gate.setClosed(Reason::Draining);
    const auto decisions = gate.advance();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].verdict == Verdict::Refused);
    CHECK(decisions[0].reason == Reason::Draining);
    CHECK(gate.offer(requestAt(clock, 3)).reason == Reason::Draining);
    CHECK_FALSE(gate.nextAdvance());
}

TEST_CASE("The failure rate decays, so that a server that recovered gets requests again")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 10);
    for (uint64_t id = 1; id <= 30; ++id) {
        CHECK(gate.offer(requestAt(clock, id)).verdict == Verdict::Admitted);
        gate.onFinished(id, ServerGate::RunResult::Failed, 1ms);
    }
    CHECK(gate.load().failurePercent >= 90);
    clock.advance(10s);
    CHECK(gate.load().failurePercent <= 1);
}

namespace {

/// Simulates an overloaded server whose machine is four times slower for a quarter of the time, in periods of 300 ms. A
/// request keeps the speed at which it started.
/// @return Number of requests completed within 800 ms, in 60 s.
int completedOnTime(bool isSlownessReported)
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 10);
    Random random(5);
    std::map<uint64_t, SteadyTime> offered;
    std::vector<std::pair<SteadyTime, uint64_t>> running;
    int onTime = 0;
    uint32_t slowness = 100;
    const std::chrono::milliseconds serviceTime { 320 };
    const auto recordDecision = [&](const ServerGate::Decision& decision) {
        if (decision.verdict == Verdict::Admitted)
            running.emplace_back(clock.now() + serviceTime * slowness / 100, decision.id);
    };
    for (int step = 0; step < 60'000; ++step) {
        clock.advance(1ms);
        if (step % 300 == 0)
            slowness = random.below(4) == 0 ? 400 : 100;
        if (isSlownessReported && step % 40 == 0)
            gate.setSlownessPercent(slowness);
        std::erase_if(running, [&](const auto& run) {
            if (run.first > clock.now())
                return false;
            gate.onFinished(run.second, ServerGate::RunResult::Succeeded, serviceTime);
            onTime += clock.now() - offered[run.second] <= 800ms ? 1 : 0;
            return true;
        });
        for (const auto& decision : gate.advance())
            recordDecision(decision);
        if (random.below(1000) < 30) {
            const auto id = static_cast<uint64_t>(step) + 1;
            offered[id] = clock.now();
            recordDecision(gate.offer({ id, 0, clock.now() + 800ms, clock.now() + 3000ms, serviceTime }));
        }
    }
    return onTime;
}

}

TEST_CASE("During transient slowdowns, deferring requests completes a sixth more of them on time")
{
    const int withoutReports = completedOnTime(false);
    const int withReports = completedOnTime(true);
    MESSAGE("on time without slowness reports: ", withoutReports, ", with reports: ", withReports);
    CHECK(withReports * 6 >= withoutReports * 7);
}

TEST_CASE("A persistent slowdown no longer defers requests, and short requests are never deferred")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 10);
    gate.setSlownessPercent(400);
    ServerGate::Request shortRequest = requestAt(clock, 1);
    shortRequest.usualServiceTime = 40ms;
    CHECK(gate.offer(shortRequest).verdict == Verdict::Admitted);
    ServerGate::Request longRequest { 2, 0, clock.now() + 5s, clock.now() + 9s, 320ms };
    CHECK(gate.offer(longRequest).verdict == Verdict::Waiting);
    CHECK(gate.advance().empty());
    REQUIRE(gate.nextAdvance());
    CHECK(*gate.nextAdvance() <= clock.now() + 1s);
    clock.advance(1s);
    const auto decisions = gate.advance();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].verdict == Verdict::Admitted);
}

TEST_CASE("A server gets more requests than the rate limit that it names, at any load and limit")
{
    for (const double limit : { 0.3, 3.9, 7.2, 60.0, 700.0 }) {
        CAPTURE(limit);
        ManualClock clock;
        ServerGate gate = openGate(clock, 50);
        gate.setRateLimit(limit);
        std::vector<SteadyTime> starts;
        uint64_t id = 1;
        offerEachMillisecond(gate, clock, 20s, id, starts);
        CHECK(mostStarts(starts, 4s) <= 1.5 * limit * 4 + 5);
        CHECK(static_cast<double>(starts.size()) >= 0.95 * limit * 20 - 1);
    }
}

TEST_CASE("Each restart of the node adds requests beyond the rate limit of its server")
{
    constexpr double limit = 1.2;
    ManualClock clock;
    std::vector<SteadyTime> starts;
    uint64_t id = 1;
    for (int restart = 0; restart < 10; ++restart) {
        ServerGate gate = openGate(clock, 50);
        gate.setRateLimit(limit);
        offerEachMillisecond(gate, clock, 700ms, id, starts);
    }
    CHECK(starts.empty()); // The interval between two starts is 833 ms.
}

TEST_CASE("A suspension of the node saves up requests beyond the rate limit of its server")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 50);
    gate.setRateLimit(4);
    std::vector<SteadyTime> starts;
    uint64_t id = 1;
    offerEachMillisecond(gate, clock, 4s, id, starts);
    clock.advance(10s);
    offerEachMillisecond(gate, clock, 4s, id, starts);
    CHECK(mostStarts(starts, 4s) <= 4 * 4 + 2);
}

TEST_CASE("Requests that are sent again exceed the rate limit of the server")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 50);
    gate.setRateLimit(10);
    std::vector<SteadyTime> starts;
    uint64_t id = 1;
    for (int second = 0; second < 8; ++second) {
        offerEachMillisecond(gate, clock, 1s, id, starts);
        for (int again = 0; again < 5; ++again)
            gate.onSentAgain();
    }
    CHECK(starts.size() <= 8 * 10 - 7 * 5 + 4);
}

TEST_CASE("A request that the rate limit delays beyond its target waits instead of being refused at once")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 50);
    gate.setRateLimit(0.5);
    const auto decision = gate.offer(requestAt(clock, 1));
    CHECK(decision.verdict == Verdict::Refused);
    CHECK(decision.reason == Reason::RateLimit);
    gate.setRateLimit(0);
    CHECK(gate.offer(requestAt(clock, 2)).reason == Reason::RateLimit);
    CHECK(gate.load().startTokens == 0);
    gate.setRateLimit(10);
    CHECK(gate.offer(requestAt(clock, 3)).verdict == Verdict::Waiting);
    REQUIRE(gate.nextAdvance());
    clock.moveTo(*gate.nextAdvance());
    const auto decisions = gate.advance();
    REQUIRE(decisions.size() == 1);
    CHECK(decisions[0].verdict == Verdict::Admitted);
    gate.setRateLimit(std::nullopt);
    CHECK(gate.offer(requestAt(clock, 4)).verdict == Verdict::Admitted);
}

TEST_CASE("A response that overtook another ends the rate limit of a server")
{
    ManualClock clock;
    const SteadyTime sent = clock.now();
    ServerRateLimit limit;
    CHECK_FALSE(limit.onResponse(std::nullopt, sent, sent + 1ms));
    CHECK(limit.onResponse(7.2, sent, sent + 10ms));
    CHECK_FALSE(limit.onResponse(std::nullopt, sent + 5ms, sent + 11ms));
    CHECK(limit.requestsPerSecond() == 7.2);
    CHECK(limit.onResponse(std::nullopt, sent + 11ms, sent + 20ms));
    CHECK_FALSE(limit.requestsPerSecond());
}

// Backend servers make three concurrent calls, five times per second, to a cold service that can handle 17 requests per
// second. A refused call fails the request that needs it and wastes the work already done for that request.
TEST_CASE("Calls with a short target are served by a cold server that can run them in time")
{
    ManualClock clock;
    ServerGate gate = openGate(clock, 18);
    gate.setMaxColdRate(21.5);
    gate.setCold(4s);
    int refused = 0;
    int served = 0;
    const auto recordDecision = [&](const ServerGate::Decision& decision) {
        refused += decision.verdict == Verdict::Refused ? 1 : 0;
        served += decision.verdict == Verdict::Admitted ? 1 : 0;
        if (decision.verdict == Verdict::Admitted)
            gate.onFinished(decision.id, ServerGate::RunResult::Succeeded, 30ms);
    };
    uint64_t id = 0;
    for (int step = 0; step < 3000; ++step) {
        clock.advance(1ms);
        for (const ServerGate::Decision& decision : gate.advance())
            recordDecision(decision);
        for (int call = 0; call < 3 && step % 200 == 0; ++call)
            recordDecision(gate.offer({ ++id, 0, clock.now() + 120ms, clock.now() + 400ms, 30ms }));
    }
    CHECK(refused == 0);
    CHECK(served == 45);
}

// After a power loss in a data centre its servers are cold. Late retries and new requests arrive together at 24
// per second, and a server can handle 17.
TEST_CASE("A cold server serves requests that can be on time before those that are already late")
{
    const auto newOnTime = [](bool isLatenessKnown) {
        ManualClock clock;
        ServerGate gate = openGate(clock, 10);
        gate.setMaxColdRate(21.5);
        gate.setCold(5s);
        constexpr auto serviceTime = 200ms;
        std::map<uint64_t, SteadyTime> newRequests;
        int onTime = 0;
        const auto recordDecision = [&](const ServerGate::Decision& decision) {
            if (decision.verdict != Verdict::Admitted)
                return;
            gate.onFinished(decision.id, ServerGate::RunResult::Succeeded, serviceTime);
            const auto found = newRequests.find(decision.id);
            onTime += found != newRequests.end() && clock.now() + serviceTime <= found->second ? 1 : 0;
        };
        uint64_t id = 0;
        for (int step = 0; step < 4000; ++step) {
            clock.advance(1ms);
            for (const ServerGate::Decision& decision : gate.advance())
                recordDecision(decision);
            if (step % 250 != 0)
                continue;
            for (int request = 0; request < 6; ++request) {
                const bool isNew = request % 2 == 1;
                const SteadyTime now = clock.now();
                const SteadyTime target = isNew || !isLatenessKnown ? now + 500ms : now;
                if (isNew)
                    newRequests[id + 1] = now + 500ms;
                recordDecision(gate.offer({ ++id, 0, target, now + 2s, 100ms }));
            }
        }
        return onTime;
    };
    const int without = newOnTime(false);
    const int with = newOnTime(true);
    MESSAGE("new requests on time, of 48: with unknown lateness ", without, ", with known lateness ", with);
    CHECK(with == 48);
    CHECK(with > without);
}
