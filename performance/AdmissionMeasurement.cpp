// Measures admission control against a discrete-event model of one backend server, and the cost of the key ledger.
// The model runs in virtual time, so all results except costs in microseconds and bytes are the same on every machine.

#include "snipeweir/admission/AdmissionController.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/idempotency/KeyIssuer.h"
#include "snipeweir/idempotency/KeyLedger.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <malloc.h>
#include <map>
#include <queue>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

using namespace snipeweir;
using namespace std::chrono_literals;
using Microseconds = std::chrono::microseconds;

namespace {

constexpr uint64_t seed = 20261204;
constexpr double meanServiceUs = 5000;
constexpr auto deadline = 2s;

// Targets; main() returns 1 if one is missed.
constexpr double minGoodputPercent = 95;
constexpr auto maxRefusalP99 = 5ms;

/// Model of a backend server whose capacity grows with the number of completed calls. A call that starts above the
/// current capacity fails, as on a cold server under full load. Failed calls don't warm the server.
struct BackendModel {
    uint32_t slots = 10;
    double warmUpCalls = 0;
    double completed = 0;

    double warmFraction() const { return warmUpCalls > 0 ? std::min(1.0, completed / warmUpCalls) : 1.0; }
    double capacity() const { return 1 + (slots - 1) * warmFraction(); }
    /// A cold server is five times slower.
    double serviceTimeFactor() const { return 1 + 4 * (1 - warmFraction()); }
};

struct Scenario {
    std::string name;
    double load = 2;
    double internalShare = 0.3;
    AdmissionSettings settings;
    std::chrono::seconds duration { 30 };
    /// Uses the baseline's fixed limit instead of the AdmissionController.
    bool hasFixedLimit = false;
    bool isColdAtStart = false;
    /// Time after the start at which the server turns cold without notice; 0 for never.
    std::chrono::seconds turnsColdAt { 0 };
};

struct SimulationResults {
    uint64_t arrivals = 0, succeeded = 0, failed = 0, refused = 0, maxRunning = 0;
    uint64_t failedAfterCold = 0;
    std::vector<Microseconds> refusalTimes;
    std::vector<Microseconds> internalWaits;
    Microseconds timeToFullLimit { -1 };
    uint64_t decisionHash = 14695981039346656037ULL;

    void updateHash(uint64_t value) { decisionHash = (decisionHash ^ value) * 1099511628211ULL; }
};

/// Sorts the values and returns the one at the given fraction; 0 if there are none.
Microseconds percentile(std::vector<Microseconds>& values, double fraction)
{
    if (values.empty())
        return Microseconds(0);
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<size_t>(fraction * static_cast<double>(values.size())))];
}

/// Baseline for the cold restart: a fixed concurrency limit with the same queue as AdmissionController.
class FixedLimitController {
public:
    FixedLimitController(AdmissionSettings settings, const Clock& clock)
        : m_settings(settings)
        , m_clock(clock)
    {
    }

    AdmissionDecision offer(const AdmissionRequest& request)
    {
        expireQueue();
        if (m_running < m_settings.slots) {
            ++m_running;
            return { AdmissionDecision::Kind::Admitted, Reason::None };
        }
        if (m_queue.size() >= m_settings.queueLength)
            return { AdmissionDecision::Kind::Refused, Reason::QueueFull };
        m_queue.emplace_back(request.id, m_clock.now());
        return { AdmissionDecision::Kind::Queued, Reason::None };
    }

    void onFinished()
    {
        --m_running;
        expireQueue();
    }

    void expireQueue()
    {
        while (!m_queue.empty()) {
            const bool isLate = m_clock.now() - m_queue.front().second >= m_settings.queueTimeout;
            if (!isLate && m_running >= m_settings.slots)
                return;
            m_running += isLate ? 0 : 1;
            m_decisions[m_queue.front().first] = isLate
                ? AdmissionDecision { AdmissionDecision::Kind::Refused, Reason::QueueTimeout }
                : AdmissionDecision { AdmissionDecision::Kind::Admitted, Reason::None };
            m_decided.push_back(m_queue.front().first);
            m_queue.pop_front();
        }
    }

    std::vector<CallId> takeDecided() { return std::exchange(m_decided, {}); }

    std::optional<AdmissionDecision> poll(const CallId& id)
    {
        const auto decision = m_decisions.extract(id);
        return decision.empty() ? std::nullopt : std::optional(decision.mapped());
    }

private:
    AdmissionSettings m_settings;
    const Clock& m_clock;
    uint32_t m_running = 0;
    std::deque<std::pair<CallId, SteadyTime>> m_queue;
    std::unordered_map<CallId, AdmissionDecision> m_decisions;
    std::vector<CallId> m_decided;
};

/// Runs one scenario as a discrete-event simulation in virtual time.
class Simulation {
public:
    explicit Simulation(const Scenario& scenario)
        : m_scenario(scenario)
        , m_controller(AdmissionController::create(scenario.settings, m_clock).value())
        , m_fixedController(scenario.settings, m_clock)
        , m_start(m_clock.now())
    {
        m_backend.slots = scenario.settings.slots;
        if (scenario.isColdAtStart)
            turnCold();
    }

    SimulationResults run()
    {
        schedule(Microseconds(0), Event::Kind::Arrival, {});
        schedule(Microseconds(0), Event::Kind::Timer, {});
        if (m_scenario.turnsColdAt > 0s)
            schedule(m_scenario.turnsColdAt, Event::Kind::TurnCold, {});
        while (!m_events.empty() && m_events.top().at < m_start + m_scenario.duration) {
            const Event event = m_events.top();
            m_events.pop();
            m_clock.moveTo(event.at);
            handle(event);
            for (const CallId& id :
                m_scenario.hasFixedLimit ? m_fixedController.takeDecided() : m_controller->takeDecided())
                pollDecision(id);
            recordTimeToFullLimit();
        }
        return m_results;
    }

private:
    struct Event {
        enum class Kind {
            Arrival,
            Finish,
            Timer,
            TurnCold,
        };
        SteadyTime at;
        uint64_t sequence;
        Kind kind;
        CallId id;
        bool operator>(const Event& other) const { return at != other.at ? at > other.at : sequence > other.sequence; }
    };
    struct Call {
        SteadyTime arrivedAt;
        SteadyTime startedAt;
        CallClass callClass;
        bool willFail;
    };

    void schedule(std::chrono::nanoseconds delay, Event::Kind kind, const CallId& id)
    {
        m_events.push({ m_clock.now() + delay, ++m_sequence, kind, id });
    }

    std::chrono::nanoseconds exponential(double meanUs)
    {
        return std::chrono::nanoseconds(static_cast<int64_t>(-1000.0 * meanUs * std::log(1 - m_random.nextDouble())));
    }

    void turnCold()
    {
        // The server is warm after 1,000 completed calls: half a second of full load.
        m_backend.warmUpCalls = 1000;
        m_backend.completed = 0;
        m_coldSince = m_clock.now();
        m_results.timeToFullLimit = Microseconds(-1);
        m_wasBelowFullLimit = false;
    }

    void handle(const Event& event)
    {
        switch (event.kind) {
        case Event::Kind::Arrival:
            handleArrival();
            break;
        case Event::Kind::Finish:
            handleFinish(event.id);
            break;
        case Event::Kind::Timer:
            m_scenario.hasFixedLimit ? m_fixedController.expireQueue() : m_controller->expireQueue();
            schedule(5ms, Event::Kind::Timer, {});
            break;
        case Event::Kind::TurnCold:
            turnCold();
            break;
        }
    }

    void handleArrival()
    {
        const double capacityPerUs = m_scenario.settings.slots / meanServiceUs;
        schedule(exponential(1 / (capacityPerUs * m_scenario.load)), Event::Kind::Arrival, {});
        const CallId id(std::to_string(++m_results.arrivals));
        const bool isInternal = m_random.nextDouble() < m_scenario.internalShare;
        Call& call = m_calls[id];
        call.arrivedAt = m_clock.now();
        call.callClass = isInternal ? CallClass::Internal : CallClass::Public;
        const AdmissionRequest request { id, call.callClass, m_clock.now() + deadline };
        onDecision(id, m_scenario.hasFixedLimit ? m_fixedController.offer(request) : m_controller->offer(request));
    }

    void pollDecision(const CallId& id)
    {
        if (const auto decision = m_scenario.hasFixedLimit ? m_fixedController.poll(id) : m_controller->poll(id))
            onDecision(id, *decision);
    }

    void onDecision(const CallId& id, const AdmissionDecision& decision)
    {
        m_results.updateHash(static_cast<uint64_t>(decision.kind) * 64 + static_cast<uint64_t>(decision.reason));
        Call& call = m_calls[id];
        const auto waited = std::chrono::duration_cast<Microseconds>(m_clock.now() - call.arrivedAt);
        if (decision.kind == AdmissionDecision::Kind::Queued)
            return;
        if (decision.kind == AdmissionDecision::Kind::Refused) {
            ++m_results.refused;
            m_results.refusalTimes.push_back(waited);
            m_calls.erase(id);
            return;
        }
        if (call.callClass == CallClass::Internal)
            m_results.internalWaits.push_back(waited);
        m_results.maxRunning = std::max(m_results.maxRunning, ++m_running);
        call.startedAt = m_clock.now();
        call.willFail = static_cast<double>(m_running) > m_backend.capacity();
        schedule(exponential(meanServiceUs * m_backend.serviceTimeFactor()), Event::Kind::Finish, id);
    }

    void handleFinish(const CallId& id)
    {
        const Call call = m_calls[id];
        m_calls.erase(id);
        --m_running;
        if (call.willFail) {
            ++m_results.failed;
            m_results.failedAfterCold += call.startedAt >= m_coldSince ? 1 : 0;
        } else {
            ++m_results.succeeded;
            ++m_backend.completed;
        }
        const auto kind = call.willFail ? BackendResult::Kind::Failed : BackendResult::Kind::Succeeded;
        if (m_scenario.hasFixedLimit)
            m_fixedController.onFinished();
        else
            m_controller->onFinished(
                id, { kind, std::chrono::duration_cast<Microseconds>(m_clock.now() - call.startedAt) });
    }

    void recordTimeToFullLimit()
    {
        // The fixed limit never changes, so for it the time is measured until the server itself is warm.
        const bool isFull = m_scenario.hasFixedLimit ? m_backend.warmFraction() >= 1
                                                     : m_controller->report().limit == m_scenario.settings.slots;
        m_wasBelowFullLimit = m_wasBelowFullLimit || !isFull;
        if (isFull && m_wasBelowFullLimit && m_results.timeToFullLimit.count() < 0)
            m_results.timeToFullLimit = std::chrono::duration_cast<Microseconds>(m_clock.now() - m_coldSince);
    }

    Scenario m_scenario;
    ManualClock m_clock;
    Random m_random { seed };
    std::unique_ptr<AdmissionController> m_controller;
    FixedLimitController m_fixedController;
    BackendModel m_backend;
    SteadyTime m_start;
    SteadyTime m_coldSince;
    bool m_wasBelowFullLimit = false;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::unordered_map<CallId, Call> m_calls;
    SimulationResults m_results;
    uint64_t m_running = 0;
    uint64_t m_sequence = 0;
};

double milliseconds(Microseconds time) { return static_cast<double>(time.count()) / 1000; }

bool measureOverload()
{
    bool isWithinTargets = true;
    std::printf("## Overload: twice the capacity for 30 s\n\n"
                "| slots | reserved | internal share | reachable, %% of capacity | goodput, %% of capacity | refused | "
                "refusal p50, ms | refusal p99, "
                "ms | refusal max, ms | internal wait p99, ms | most running | decisions |\n"
                "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto& [slots, reserved, internalShare] : { std::tuple(10U, 2U, 0.3), std::tuple(20U, 2U, 0.3),
             std::tuple(10U, 0U, 0.0), std::tuple(10U, 2U, 0.05), std::tuple(10U, 2U, 0.0) }) {
        Scenario scenario;
        scenario.settings.slots = slots;
        scenario.settings.reservedInternalSlots = reserved;
        scenario.internalShare = internalShare;
        SimulationResults results = Simulation(scenario).run();
        const double capacity = slots / meanServiceUs * 30e6;
        // Reserved slots that internal calls don't need stay free by design, so they don't count as reachable.
        const double internalSlots = 2 * slots * internalShare;
        const double reachable = 100 * (slots - std::max(0.0, reserved - internalSlots)) / slots;
        const double goodput = 100 * static_cast<double>(results.succeeded) / capacity;
        const auto p99 = percentile(results.refusalTimes, 0.99);
        std::printf("| %u | %u | %.0f%% | %.0f | %.1f | %lu | %.2f | %.2f | %.2f | %.2f | %lu | %016lx |\n", slots,
            reserved, 100 * internalShare, reachable, goodput, results.refused,
            milliseconds(percentile(results.refusalTimes, 0.5)), milliseconds(p99),
            milliseconds(results.refusalTimes.back()), milliseconds(percentile(results.internalWaits, 0.99)),
            results.maxRunning, results.decisionHash);
        isWithinTargets = isWithinTargets && results.maxRunning <= slots && p99 <= maxRefusalP99
            && goodput >= minGoodputPercent * reachable / 100;
    }
    return isWithinTargets;
}

void measureColdRestart()
{
    std::printf(
        "\n## Cold server under full load (60 s)\n\n"
        "| case | limit | load, %% of capacity | until full limit, s | failed from cold on | succeeded | decisions |\n"
        "| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const bool isColdAtStart : { true, false }) {
        for (const double load : { 0.9, 2.0 }) {
            for (const bool hasFixedLimit : { false, true }) {
                Scenario scenario;
                scenario.load = load;
                scenario.duration = 60s;
                scenario.hasFixedLimit = hasFixedLimit;
                scenario.isColdAtStart = isColdAtStart;
                scenario.turnsColdAt = isColdAtStart ? 0s : 20s;
                const SimulationResults results = Simulation(scenario).run();
                const std::string time = results.timeToFullLimit.count() < 0
                    ? "not reached"
                    : std::to_string(milliseconds(results.timeToFullLimit) / 1000).substr(0, 5);
                std::printf("| %s | %s | %.0f | %s | %lu | %lu | %016lx |\n",
                    isColdAtStart ? "cold at start" : "turns cold without notice", hasFixedLimit ? "fixed" : "adaptive",
                    100 * load, time.c_str(), results.failedAfterCold, results.succeeded, results.decisionHash);
            }
        }
    }
}

void measureLedger()
{
    constexpr size_t count = 20000;
    std::printf("\n## Key ledger: 20,000 keys\n\n"
                "| kept answer, bytes | bytes for a key | issue, us | open, us | begin and finish, us | repeat, us | "
                "removal at expiry, us |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (const size_t responseBytes : { 0, 1000, 4000 }) {
        ManualClock clock;
        const auto issuer = KeyIssuer::create({ { { 1, std::string(32, 'a') } }, {} }).value();
        KeyLedgerSettings settings;
        settings.service = ServiceName("depositos");
        settings.keptResponsesTotalBytes = count * 4096;
        const auto ledger = KeyLedger::create(settings, VmId("mvd-a-depositos-1"), { 1 }, clock, clock.now()).value();
        SystemClock wall;
        const auto microsecondsPerKey = [&](auto&& work) {
            const SteadyTime before = wall.now();
            for (size_t i = 0; i < count; ++i)
                work(i);
            return std::chrono::duration<double, std::micro>(wall.now() - before).count() / count;
        };
        std::vector<std::string> encodedKeys(count);
        std::vector<IdempotencyKey> keys(count);
        const double issue = microsecondsPerKey([&](size_t i) {
            encodedKeys[i] = issuer->issue(ServiceName("depositos"), VmId("mvd-a-depositos-1"), { 1 }, 0ms);
        });
        const double open = microsecondsPerKey([&](size_t i) { keys[i] = issuer->open(encodedKeys[i]).value(); });
        const size_t bytesBefore = mallinfo2().uordblks + mallinfo2().hblkhd;
        const double beginAndFinish = microsecondsPerKey([&](size_t i) {
            ledger->begin(keys[i]);
            ledger->finish(keys[i], StoredResponse { 200, {}, std::string(responseBytes, 'x') });
        });
        const size_t bytes = mallinfo2().uordblks + mallinfo2().hblkhd - bytesBefore;
        const double repeat = microsecondsPerKey([&](size_t i) { ledger->begin(keys[i]); });
        clock.advance(settings.keyWindow);
        const SteadyTime before = wall.now();
        ledger->expire();
        const double removal = std::chrono::duration<double, std::micro>(wall.now() - before).count() / count;
        std::printf("| %zu | %zu | %.2f | %.2f | %.2f | %.2f | %.2f |\n", responseBytes, bytes / count, issue, open,
            beginAndFinish, repeat, removal);
    }
}

}

int main()
{
    const bool isWithinTargets = measureOverload();
    measureColdRestart();
    measureLedger();
    return isWithinTargets ? 0 : 1;
}
