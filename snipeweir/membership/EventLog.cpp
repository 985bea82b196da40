#include "snipeweir/membership/EventLog.h"

#include <algorithm>
#include <json/json.h>

namespace snipeweir {

void EventLog::add(Event event)
{
    const std::lock_guard lock(m_mutex);
    ++m_addedCount;
    m_events.push_back(std::move(event));
    if (m_events.size() > m_capacity)
        m_events.pop_front();
}

std::string EventLog::toJson(size_t maxCount) const
{
    Json::Value list(Json::arrayValue);
    {
        const std::lock_guard lock(m_mutex);
        const size_t first = m_events.size() - std::min(maxCount, m_events.size());
        for (size_t i = first; i < m_events.size(); ++i) {
            const Event& event = m_events[i];
            Json::Value item;
            item["time_ms"] = static_cast<Json::Int64>(
                std::chrono::duration_cast<std::chrono::milliseconds>(event.time.time_since_epoch()).count());
            item["kind"] = event.kind;
            item["subject"] = event.subject;
            item["cause"] = event.cause;
            item["source"] = event.source;
            item["age_ms"] = static_cast<Json::Int64>(event.age.count());
            list.append(std::move(item));
        }
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, list);
}

uint64_t EventLog::addedCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_addedCount;
}

}
