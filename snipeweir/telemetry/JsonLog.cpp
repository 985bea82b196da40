#include "snipeweir/telemetry/JsonLog.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <unistd.h>

namespace snipeweir {

namespace {

    /// Maximum length of a field value. Values such as IDs and host names come from untrusted input.
    constexpr size_t maxValueBytes = 200;

    bool needsEscaping(std::string_view text)
    {
        return std::any_of(text.begin(), text.end(), [](unsigned char character) {
            return character < 0x20 || character >= 0x7F || character == '"' || character == '\\';
        });
    }

    void appendString(std::string& line, std::string_view text)
    {
        text = text.substr(0, maxValueBytes);
        if (!needsEscaping(text)) {
            line.append("\"").append(text).append("\"");
            return;
        }
        // JSON requires valid UTF-8, which bytes outside ASCII may not be. Replace them.
        std::string ascii(text);
        std::replace_if(
            ascii.begin(), ascii.end(), [](unsigned char character) { return character >= 0x7F; }, '?');
        line.append(boost::json::serialize(boost::json::value(boost::json::string(ascii))));
    }

    void appendField(std::string& line, std::string_view name, std::string_view value)
    {
        line.append(",\"").append(name).append("\":");
        appendString(line, value);
    }

}

JsonLog::JsonLog(const Clock& clock, Settings settings, std::string node, int fileDescriptor)
    : m_clock(clock)
    , m_settings(settings)
    , m_node(std::move(node))
    , m_fileDescriptor(fileDescriptor)
{
    m_buffer.reserve(4096);
    if (fileDescriptor >= 0)
        m_writerThread = std::thread([this] { writeLoop(); });
}

JsonLog::~JsonLog()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    if (m_writerThread.joinable())
        m_writerThread.join();
}

void JsonLog::logRequest(Priority priority, std::string_view event, const CallId& id, Fields fields)
{
    append(priority, event, id.text(), fields);
}

void JsonLog::logStateChange(std::string_view event, Fields fields)
{
    append(Priority::StateChange, event, {}, fields);
}

void JsonLog::append(Priority priority, std::string_view event, std::string_view id, Fields fields)
{
    std::string line = "{\"at_ms\":";
    line.append(std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallTime().time_since_epoch()).count()));
    appendField(line, "node", m_node);
    appendField(line, "event", event);
    if (!id.empty())
        appendField(line, "id", id);
    for (const auto& [name, value] : fields)
        appendField(line, name, value);
    line.append("}\n");

    const std::lock_guard lock(m_mutex);
    const SteadyTime now = m_clock.now();
    if (now - m_rateWindowStart >= std::chrono::seconds(1)) {
        m_rateWindowStart = now;
        m_bytesInRateWindow = 0;
    }
    // Share of the rate and of the buffer that lines of this priority may use, in quarters.
    size_t quarters = 4;
    if (priority == Priority::Normal)
        quarters = 2;
    else if (priority == Priority::Refusal)
        quarters = 3;
    const bool isOverRate = priority < Priority::StateChange
        && m_bytesInRateWindow + line.size() > m_settings.bytesPerSecond * quarters / 4;
    if (isOverRate || m_buffer.size() + line.size() > m_settings.bufferBytes * quarters / 4) {
        ++m_dropped;
        return;
    }
    m_bytesInRateWindow += line.size();
    m_buffer.append(line);
}

uint64_t JsonLog::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::string JsonLog::pendingLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_buffer;
}

void JsonLog::writeLoop()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wake.wait_for(lock, m_settings.writeInterval, [this] { return m_isStopping; });
        const bool isLast = m_isStopping;
        if (m_dropped > m_reportedDropped) {
            m_buffer.append("{\"node\":\"" + m_node
                + "\",\"event\":\"lines_dropped\",\"count\":" + std::to_string(m_dropped - m_reportedDropped) + "}\n");
            m_reportedDropped = m_dropped;
        }
        std::string lines;
        lines.swap(m_buffer);
        lock.unlock();
        writeAll(lines);
        lock.lock();
        if (isLast)
            return;
    }
}

void JsonLog::writeAll(const std::string& lines) const
{
    size_t written = 0;
    while (written < lines.size()) {
        const ssize_t count = ::write(m_fileDescriptor, lines.data() + written, lines.size() - written);
        if (count <= 0)
            return; // The output is closed or failed. There is no other place to report it, so the lines are lost.
        written += static_cast<size_t>(count);
    }
}

}
