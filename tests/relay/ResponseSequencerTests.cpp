#include "snipeweir/relay/ResponseSequencer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <vector>

using namespace snipeweir;

namespace {

using Sequencer = ResponseSequencer;
using RunMode = ResponseSequencer::RunMode;
using AfterResponse = ResponseSequencer::AfterResponse;

/// One connection with random requests, service times and sizes. Checks the rules after each step.
class RandomConnection {
public:
    explicit RandomConnection(Sequencer::Settings settings)
        : m_settings(settings)
        , m_sequencer(settings)
    {
    }

    /// Performs one of the steps that are possible now.
    /// @return False if none is possible.
    bool step()
    {
        std::vector<std::function<void()>> steps;
        if (m_reads < 40 && m_sequencer.mayRead())
            steps.emplace_back([this] { read(); });
        for (auto& [position, request] : m_requests) {
            if (!request.isRunning && !request.isFinished && m_sequencer.mayStart(position, request.mode))
                steps.emplace_back([this, position = position] { start(position); });
            if (request.isRunning)
                steps.emplace_back([this, position = position] { finish(position); });
            if (request.isFinished && m_sequencer.mayWrite(position))
                steps.emplace_back([this, position = position] { write(position); });
        }
        if (steps.empty())
            return false;
        steps[*rc::gen::inRange<size_t>(0, steps.size())]();
        checkRules();
        return true;
    }

    void stop() { m_sequencer.stop(); }
    bool isComplete() const { return m_requests.empty() || m_sequencer.isClosing(); }

private:
    struct Request {
        RunMode mode = RunMode::Concurrent;
        AfterResponse after = AfterResponse::KeepOpen;
        bool isRunning = false;
        bool isFinished = false;
    };

    void read()
    {
        const auto bytes = *rc::gen::inRange<size_t>(0, m_settings.maxHeldBytes);
        if (!m_sequencer.mayReadBody(bytes))
            return;
        Request request;
        request.mode = *rc::gen::element(RunMode::Concurrent, RunMode::Concurrent, RunMode::Exclusive);
        request.after = *rc::gen::weightedElement<AfterResponse>(
            { { 20, AfterResponse::KeepOpen }, { 1, AfterResponse::Close } });
        m_requests[m_sequencer.add(bytes, request.after)] = request;
        ++m_reads;
    }

    void start(Sequencer::Position position)
    {
        RC_ASSERT(!m_sequencer.isClosing());
        m_sequencer.onStarted(position, m_requests[position].mode);
        m_requests[position].isRunning = true;
    }

    void finish(Sequencer::Position position)
    {
        const auto bytes = *rc::gen::inRange<size_t>(0, m_settings.maxHeldBytes);
        if (m_sequencer.mayHold(position, bytes))
            m_sequencer.hold(position, bytes);
        m_requests[position].isRunning = false;
        m_requests[position].isFinished = true;
    }

    void write(Sequencer::Position position)
    {
        RC_ASSERT(position == m_requests.begin()->first);
        const bool hasRunBehind = std::any_of(std::next(m_requests.begin()), m_requests.end(),
            [](const auto& behind) { return behind.second.isRunning || behind.second.isFinished; });
        const AfterResponse after = m_sequencer.onWriting(position, m_requests[position].after);
        if (after == AfterResponse::Close && m_requests[position].after == AfterResponse::KeepOpen)
            RC_ASSERT(!hasRunBehind);
        m_sequencer.onEnded(position);
        m_requests.erase(position);
    }

    void checkRules() const
    {
        RC_ASSERT(m_requests.size() <= m_settings.maxInProgress);
        RC_ASSERT(m_sequencer.heldBytes() <= m_settings.maxHeldBytes);
        RC_ASSERT(m_sequencer.isIdle() == m_requests.empty());
        RC_ASSERT(!m_requests.empty() || m_sequencer.heldBytes() == 0U);
        for (auto request = m_requests.begin(); request != m_requests.end(); ++request) {
            const bool hasStarted = request->second.isRunning || request->second.isFinished;
            if (!hasStarted || request->second.mode == RunMode::Concurrent)
                continue;
            RC_ASSERT(request == m_requests.begin());
            RC_ASSERT(std::none_of(std::next(request), m_requests.end(),
                [](const auto& behind) { return behind.second.isRunning || behind.second.isFinished; }));
        }
    }

    Sequencer::Settings m_settings;
    Sequencer m_sequencer;
    std::map<Sequencer::Position, Request> m_requests;
    int m_reads = 0;
};

}

TEST_CASE("Responses keep their order, exclusive requests run alone, the limits hold, and nothing gets stuck")
{
    CHECK(rc::check([] {
        RandomConnection connection(Sequencer::Settings { 8, 1000 });
        const auto stopsAt = *rc::gen::inRange(0, 200);
        int steps = 0;
        for (; steps < 1000; ++steps) {
            if (steps == stopsAt)
                connection.stop();
            const bool hasStepped = connection.step();
            if (!hasStepped)
                break;
        }
        RC_ASSERT(steps < 1000);
        RC_ASSERT(connection.isComplete());
    }));
}

TEST_CASE("A request does not start behind one whose run mode is not known yet")
{
    Sequencer sequencer { Sequencer::Settings() };
    const auto first = sequencer.add(0, AfterResponse::KeepOpen);
    const auto second = sequencer.add(0, AfterResponse::KeepOpen);
    const auto third = sequencer.add(0, AfterResponse::KeepOpen);
    CHECK_FALSE(sequencer.mayStart(second, RunMode::Concurrent));
    sequencer.onStarted(first, RunMode::Concurrent);
    CHECK_FALSE(sequencer.mayStart(third, RunMode::Concurrent));
    CHECK_FALSE(sequencer.mayStart(second, RunMode::Exclusive));
    CHECK(sequencer.mayStart(second, RunMode::Concurrent));
}

TEST_CASE("The first request is read whatever its size, and its body counts for those behind it")
{
    Sequencer sequencer { Sequencer::Settings { 8, 1000 } };
    CHECK(sequencer.mayReadBody(5000));
    const auto first = sequencer.add(5000, AfterResponse::KeepOpen);
    CHECK_FALSE(sequencer.mayRead());
    CHECK_FALSE(sequencer.mayReadBody(1));
    CHECK_FALSE(sequencer.mayHold(first, 1));
    sequencer.onEnded(first);
    CHECK(sequencer.mayRead());
}

TEST_CASE("Requests behind take the room that is kept for the first response, or get none when it needs less")
{
    Sequencer sequencer { Sequencer::Settings { 8, 1000 } };
    const auto first = sequencer.add(0, AfterResponse::KeepOpen);
    const auto second = sequencer.add(100, AfterResponse::KeepOpen);
    sequencer.hold(first, 700);
    CHECK(sequencer.room(second) == 200);
    CHECK_FALSE(sequencer.mayHold(second, 201));
    sequencer.hold(second, 200);
    CHECK(sequencer.room(first) == 700);
    CHECK(sequencer.mayHold(first, 700));
    CHECK_FALSE(sequencer.mayRead());
    sequencer.hold(first, 10);
    CHECK(sequencer.mayHold(second, 890));
    CHECK(sequencer.mayRead());
}

TEST_CASE("A stopping node's last started response closes the connection, also if requests that did not start follow")
{
    Sequencer sequencer { Sequencer::Settings() };
    const auto first = sequencer.add(0, AfterResponse::KeepOpen);
    const auto second = sequencer.add(0, AfterResponse::KeepOpen);
    const auto third = sequencer.add(0, AfterResponse::KeepOpen);
    sequencer.onStarted(first, RunMode::Concurrent);
    sequencer.onStarted(second, RunMode::Concurrent);
    sequencer.stop();
    CHECK_FALSE(sequencer.mayRead());
    CHECK(sequencer.onWriting(first, AfterResponse::KeepOpen) == AfterResponse::KeepOpen);
    sequencer.onEnded(first);
    CHECK(sequencer.onWriting(second, AfterResponse::KeepOpen) == AfterResponse::Close);
    sequencer.onEnded(second);
    CHECK_FALSE(sequencer.mayStart(third, RunMode::Concurrent));
}
