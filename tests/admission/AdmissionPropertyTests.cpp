#include "snipeweir/admission/AdmissionController.h"
#include "snipeweir/core/Random.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unordered_map>
#include <unordered_set>

using namespace snipeweir;
using namespace std::chrono_literals;
using Kind = AdmissionDecision::Kind;

namespace {

/// Applies random events to a controller and checks its invariants after each of them.
class RandomHistory {
public:
    explicit RandomHistory(uint64_t seed)
        : m_random(seed)
    {
        randomizeSettings();
        m_controller = AdmissionController::create(m_settings, m_clock).value();
    }

    void step()
    {
        switch (m_random.below(12)) {
        case 0:
            randomizeSettings();
            m_controller->setSettings(m_settings);
            break;
        case 1:
            m_state = m_random.below(4) == 0 ? ServingState::Draining : ServingState::Serving;
            m_controller->setServing(m_state);
            break;
        case 2:
            m_controller->onBackendHint(static_cast<BackendHint>(m_random.below(3)));
            break;
        case 3:
            cancel();
            break;
        case 4:
            m_controller->expireQueue();
            break;
        case 5:
        case 6:
        case 7:
            finish();
            break;
        default:
            offer();
        }
        m_clock.advance(std::chrono::microseconds(m_random.below(4000)));
        for (const CallId& id : m_controller->takeDecided())
            pollDecision(id);
        RC_ASSERT(m_controller->report().queued <= m_settings.queueLength);
    }

private:
    void randomizeSettings()
    {
        m_settings.slots = static_cast<uint32_t>(1 + m_random.below(12));
        m_settings.reservedInternalSlots = static_cast<uint32_t>(m_random.below(4));
        m_settings.queueLength = static_cast<uint32_t>(m_random.below(8));
        m_settings.queueTimeout = std::chrono::milliseconds(m_random.below(30));
        m_settings.coldInitialLimit = static_cast<uint32_t>(1 + m_random.below(12));
    }

    void offer()
    {
        AdmissionRequest request;
        request.id = CallId(std::to_string(++m_count));
        request.callClass = m_random.below(3) == 0 ? CallClass::Internal : CallClass::Public;
        request.deadline = m_clock.now() + std::chrono::milliseconds(m_random.below(40));
        const auto internal = std::ranges::count_if(
            m_running, [](const auto& call) { return call.second.callClass == CallClass::Internal; });
        const auto decision = m_controller->offer(request);
        if (decision.kind == Kind::Admitted)
            onStarted(request);
        if (decision.kind == Kind::Queued) {
            // An internal call may wait only for other internal calls.
            RC_ASSERT(request.callClass == CallClass::Public
                || internal + waitingInternal() >= static_cast<long>(m_settings.reservedInternalSlots));
            m_waiting.emplace(request.id, request);
        }
    }

    long waitingInternal() const
    {
        return std::ranges::count_if(
            m_waiting, [](const auto& call) { return call.second.callClass == CallClass::Internal; });
    }

    void onStarted(const AdmissionRequest& request)
    {
        RC_ASSERT(m_running.size() < m_settings.slots);
        RC_ASSERT(request.deadline > m_clock.now());
        RC_ASSERT(m_state == ServingState::Serving);
        RC_ASSERT(!m_cancelled.contains(request.id));
        m_running.emplace(request.id, request);
    }

    void pollDecision(const CallId& id)
    {
        const auto decision = m_controller->poll(id);
        if (!decision)
            return;
        RC_ASSERT(decision->kind != Kind::Queued);
        const auto waiting = m_waiting.extract(id);
        RC_ASSERT(!waiting.empty());
        if (decision->kind == Kind::Admitted)
            onStarted(waiting.mapped());
    }

    void cancel()
    {
        if (m_waiting.empty())
            return;
        const CallId id = m_waiting.begin()->first;
        m_cancelled.insert(id);
        m_controller->cancel(id);
    }

    void finish()
    {
        if (m_running.empty())
            return;
        const auto position = std::next(m_running.begin(), static_cast<long>(m_random.below(m_running.size())));
        const auto kind = static_cast<BackendResult::Kind>(m_random.below(3) == 0 ? m_random.below(6) : 0);
        m_controller->onFinished(position->first, { kind, std::chrono::microseconds(m_random.below(20'000)) });
        m_running.erase(position);
    }

    Random m_random;
    ManualClock m_clock;
    AdmissionSettings m_settings;
    ServingState m_state = ServingState::Serving;
    std::unique_ptr<AdmissionController> m_controller;
    std::unordered_map<CallId, AdmissionRequest> m_running;
    std::unordered_map<CallId, AdmissionRequest> m_waiting;
    std::unordered_set<CallId> m_cancelled;
    uint64_t m_count = 0;
};

}

TEST_CASE("Calls never exceed the slots, and no ineligible call starts, under random events and settings")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300", 0);
    const bool holds = rc::check([](uint64_t seed) {
        RandomHistory history(seed);
        for (int i = 0; i < 400; ++i)
            history.step();
    });
    CHECK(holds);
}
