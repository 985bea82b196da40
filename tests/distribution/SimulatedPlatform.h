#pragma once

#include "snipeweir/distribution/PlatformReadSchedule.h"

#include <deque>
#include <functional>

namespace snipeweir::simulation {

/// Simulates the platform's configuration service in virtual time. Counts calls and waiting watches.
class SimulatedPlatform {
public:
    enum class Mode : uint8_t {
        Up,
        Down, ///< Refuses every call.
        Stale, ///< Responds with the revision served before the last one, if there was one.
    };
    struct Response {
        PlatformReadResult result;
        std::shared_ptr<const std::string> text;
    };
    struct Watch {
        PlatformRead read;
        SteadyTime endsAt;
        std::function<void(Response)> done;
    };

    void publish(DocumentName name, uint64_t revision, std::string text)
    {
        m_published[indexOf(name)] = { Revision { revision }, std::make_shared<const std::string>(std::move(text)) };
        if (m_mode == Mode::Up) {
            m_older[indexOf(name)] = m_served[indexOf(name)];
            m_served[indexOf(name)] = m_published[indexOf(name)];
        }
    }

    void setMode(Mode mode)
    {
        m_mode = mode;
        if (mode == Mode::Up)
            m_served = m_published;
        for (size_t i = 0; mode == Mode::Stale && i < documentCount; ++i) {
            if (m_older[i].text)
                m_served[i] = m_older[i];
        }
    }

    /// Starts a call. poll() calls done with the response.
    void read(const PlatformRead& read, SteadyTime now, std::function<void(Response)> done)
    {
        m_calls.push_back(now);
        m_watches.push_back({ read, now + read.wait, std::move(done) });
        m_maxWaiting = std::max(m_maxWaiting, m_watches.size());
    }

    /// Responds to all calls that are due.
    void poll(SteadyTime now)
    {
        std::vector<std::pair<Watch, Response>> due;
        std::erase_if(m_watches, [&](Watch& watch) {
            if (const auto response = responseFor(watch, now)) {
                due.emplace_back(std::move(watch), *response);
                return true;
            }
            return false;
        });
        for (auto& [watch, response] : due)
            watch.done(response);
    }

    size_t callCount() const { return m_calls.size(); }
    size_t waitingCount() const { return m_watches.size(); }

    /// @return Largest number of calls started within any second.
    size_t peakCallsPerSecond() const
    {
        size_t peak = 0;
        for (size_t first = 0, last = 0; last < m_calls.size(); ++last) {
            while (m_calls[last] - m_calls[first] >= std::chrono::seconds(1))
                ++first;
            peak = std::max(peak, last - first + 1);
        }
        return peak;
    }

    void resetCalls() { m_calls.clear(); }

private:
    struct Published {
        Revision revision;
        std::shared_ptr<const std::string> text;
    };

    std::optional<Response> responseFor(const Watch& watch, SteadyTime now) const
    {
        if (m_mode == Mode::Down)
            return Response {};
        const auto& served = m_served[indexOf(watch.read.document)];
        const bool isOld = m_mode == Mode::Stale && served.revision.value < watch.read.after.value;
        if (served.text && (served.revision.value > watch.read.after.value || isOld))
            return Response { { PlatformReadResult::Kind::Document, served.revision }, served.text };
        if (now >= watch.endsAt)
            return Response { { PlatformReadResult::Kind::NotModified, {} }, nullptr };
        return std::nullopt;
    }

    Mode m_mode = Mode::Up;
    std::array<Published, documentCount> m_published;
    std::array<Published, documentCount> m_served;
    std::array<Published, documentCount> m_older;
    std::deque<Watch> m_watches;
    std::vector<SteadyTime> m_calls;
    size_t m_maxWaiting = 0;
};

}
