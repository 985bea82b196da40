#pragma once

#include "Pickers.h"

#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <xxhash.h>

namespace snipeweir::measurement {

using Nanoseconds = std::chrono::nanoseconds;

struct ModelSettings {
    size_t servers = 6;
    size_t dataCentres = 3;
    size_t callers = 12;
    size_t slots = 10;
    /// Mean of the exponential service time of a server at normal speed.
    Nanoseconds serviceTime { std::chrono::milliseconds(5) };
    Nanoseconds localLatency { std::chrono::microseconds(100) };
    Nanoseconds remoteLatency { std::chrono::milliseconds(1) };
    Nanoseconds duration { std::chrono::seconds(30) };
    double callsPerSecond = 1000;
    uint64_t seed = 1;
};

/// Discrete-event model for comparing load-balancing policies. Independent callers send calls over a network with
/// latency to servers that have a fixed number of slots and an unbounded FIFO queue. Responses and probe replies carry
/// load reports. Failures are not modelled.
class QueueModel {
public:
    struct CompletedCall {
        Nanoseconds sentAt;
        Nanoseconds latency;
        size_t server;
    };
    using PickerFactory = std::function<std::unique_ptr<Picker>(size_t caller, size_t dataCentre, const Clock&)>;

    QueueModel(const ModelSettings& settings, const PickerFactory& createPicker)
        : m_settings(settings)
        , m_random(settings.seed)
        , m_servers(settings.servers)
        , m_hash(XXH3_createState(), XXH3_freeState)
        , m_start(m_clock.now())
    {
        XXH3_64bits_reset(m_hash.get());
        for (size_t caller = 0; caller < settings.callers; ++caller) {
            m_pickers.push_back(createPicker(caller, caller % settings.dataCentres, m_clock));
            schedule(Nanoseconds(m_random.below(10'000'000)), [this, caller] { sendProbes(caller); });
        }
        schedule(Nanoseconds(0), [this] { sendNextCall(); });
    }

    /// @param at Time of the event since the start of the run.
    void schedule(Nanoseconds at, std::function<void()> action)
    {
        m_events.push({ at, m_sequence++, std::move(action) });
    }

    /// Runs until all calls that arrive within the duration have ended.
    void run()
    {
        while (!m_events.empty()) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            m_clock.moveTo(m_start + m_now);
            event.action();
        }
    }

    /// Changes the speed of a server, also for running calls.
    /// @param serviceTimeFactor Factor on the service time; 1 is normal speed.
    void setServiceTimeFactor(size_t index, double serviceTimeFactor)
    {
        Server& server = m_servers[index];
        const double ratio = serviceTimeFactor / server.serviceTimeFactor;
        server.serviceTimeFactor = serviceTimeFactor;
        for (const size_t call : server.running) {
            const auto left = static_cast<double>((m_calls[call].endsAt - m_now).count()) * ratio;
            scheduleFinish(call, m_now + Nanoseconds(std::llround(left)));
        }
    }

    void setAvailable(const std::vector<bool>& isAvailable)
    {
        for (const auto& picker : m_pickers)
            picker->setAvailable(isAvailable);
    }

    /// Called with the server's index after each call that the server completes.
    std::function<void(size_t)> onCallCompleted;

    size_t completedCount(size_t server) const { return m_servers[server].completedCount; }
    Nanoseconds now() const { return m_now; }
    const std::vector<CompletedCall>& completedCalls() const { return m_completedCalls; }
    size_t probeCount() const { return m_probeCount; }

    /// @return Hash over the picked servers in the order of the calls.
    uint64_t decisionHash() const { return XXH3_64bits_digest(m_hash.get()); }

private:
    struct Event {
        Nanoseconds at;
        uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Event& other) const
        {
            return std::pair(at, sequence) > std::pair(other.at, other.sequence);
        }
    };
    struct Call {
        size_t caller;
        size_t server;
        Nanoseconds sentAt;
        Nanoseconds startedAt {};
        Nanoseconds endsAt {};
        uint64_t finishVersion = 0; ///< Invalidates finish events that were rescheduled.
    };
    struct Server {
        double serviceTimeFactor = 1;
        std::vector<size_t> running;
        std::deque<size_t> queue;
        std::deque<Nanoseconds> lastServiceTimes;
        size_t completedCount = 0;
    };

    double exponential() { return -std::log(1 - m_random.nextDouble()); }

    Nanoseconds latency(size_t caller, size_t server) const
    {
        const bool isLocal = caller % m_settings.dataCentres == server % m_settings.dataCentres;
        return isLocal ? m_settings.localLatency : m_settings.remoteLatency;
    }

    void sendNextCall()
    {
        if (m_now >= m_settings.duration)
            return;
        const size_t caller = m_random.below(m_settings.callers);
        const size_t server = m_pickers[caller]->pick();
        const auto byte = static_cast<uint8_t>(server);
        XXH3_64bits_update(m_hash.get(), &byte, sizeof(byte));
        const size_t call = m_calls.size();
        m_calls.push_back({ caller, server, m_now });
        schedule(m_now + latency(caller, server), [this, call] { handleArrival(call); });
        schedule(m_now + Nanoseconds(std::llround(exponential() * 1e9 / m_settings.callsPerSecond)),
            [this] { sendNextCall(); });
    }

    void handleArrival(size_t call)
    {
        Server& server = m_servers[m_calls[call].server];
        if (server.running.size() >= m_settings.slots)
            server.queue.push_back(call);
        else
            start(call);
    }

    void start(size_t call)
    {
        Server& server = m_servers[m_calls[call].server];
        server.running.push_back(call);
        m_calls[call].startedAt = m_now;
        const double time
            = exponential() * static_cast<double>(m_settings.serviceTime.count()) * server.serviceTimeFactor;
        scheduleFinish(call, m_now + Nanoseconds(std::llround(time)));
    }

    void scheduleFinish(size_t call, Nanoseconds at)
    {
        m_calls[call].endsAt = at;
        const uint64_t version = ++m_calls[call].finishVersion;
        schedule(at, [this, call, version] {
            if (m_calls[call].finishVersion == version)
                finish(call);
        });
    }

    void finish(size_t call)
    {
        const size_t index = m_calls[call].server;
        Server& server = m_servers[index];
        std::erase(server.running, call);
        server.lastServiceTimes.push_back(m_now - m_calls[call].startedAt);
        if (server.lastServiceTimes.size() > 15)
            server.lastServiceTimes.pop_front();
        ++server.completedCount;
        const LoadReport report = makeLoadReport(index);
        if (!server.queue.empty()) {
            const size_t next = server.queue.front();
            server.queue.pop_front();
            start(next);
        }
        if (onCallCompleted)
            onCallCompleted(index);
        const size_t caller = m_calls[call].caller;
        schedule(m_now + latency(caller, index), [this, call, report] {
            const Call& done = m_calls[call];
            const Nanoseconds callLatency = m_now - done.sentAt;
            m_completedCalls.push_back({ done.sentAt, callLatency, done.server });
            m_pickers[done.caller]->onFinished(done.server, callLatency);
            m_pickers[done.caller]->onReport(done.server, report);
        });
    }

    LoadReport makeLoadReport(size_t index) const
    {
        const Server& server = m_servers[index];
        LoadReport report;
        report.inFlight = static_cast<uint32_t>(server.running.size());
        report.queued = static_cast<uint32_t>(server.queue.size());
        report.limit = static_cast<uint32_t>(m_settings.slots);
        report.phase = EndpointPhase::Serving;
        if (!server.lastServiceTimes.empty()) {
            auto times = server.lastServiceTimes;
            const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
            std::nth_element(times.begin(), middle, times.end());
            report.serviceTime = std::chrono::duration_cast<std::chrono::microseconds>(*middle);
        }
        report.uptime = std::chrono::duration_cast<std::chrono::milliseconds>(m_now);
        report.incarnation = Incarnation { index + 1 };
        return report;
    }

    void sendProbes(size_t caller)
    {
        for (const size_t server : m_pickers[caller]->probesDue()) {
            ++m_probeCount;
            const Nanoseconds delay = latency(caller, server);
            schedule(m_now + delay, [this, caller, server, delay] {
                const LoadReport report = makeLoadReport(server);
                schedule(
                    m_now + delay, [this, caller, server, report] { m_pickers[caller]->onReport(server, report); });
            });
        }
        if (m_now < m_settings.duration)
            schedule(m_now + std::chrono::milliseconds(10), [this, caller] { sendProbes(caller); });
    }

    ModelSettings m_settings;
    Random m_random;
    ManualClock m_clock;
    std::vector<Server> m_servers;
    std::vector<Call> m_calls;
    std::vector<std::unique_ptr<Picker>> m_pickers;
    std::priority_queue<Event> m_events;
    std::vector<CompletedCall> m_completedCalls;
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> m_hash;
    SteadyTime m_start;
    Nanoseconds m_now { 0 };
    uint64_t m_sequence = 0;
    size_t m_probeCount = 0;
};

}
