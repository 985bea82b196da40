#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace snipeweir {

/// Queue of rumours to piggyback on pings and acks. Each is sent a number of times that grows with the logarithm of
/// the group; those with most transmissions left go first. A newer rumour on the same subject replaces the older. Not
/// safe for concurrent use.
class RumourQueue {
public:
    /// @param subject What the rumour is about, for example a VM name.
    /// @param encoded Its wire encoding.
    /// @param transmissionCount How often it is sent.
    void add(const std::string& subject, std::string encoded, uint32_t transmissionCount);

    void remove(const std::string& subject) { m_entries.erase(subject); }

    /// @param maxBytes Maximum total size of the rumours.
    /// @param maxCount Maximum number of rumours.
    /// @return Encoded rumours to send now; each counts as sent once.
    std::vector<std::string> take(size_t maxBytes, size_t maxCount);

    bool isEmpty() const { return m_entries.empty(); }
    size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        std::string encoded;
        uint32_t remainingSends = 0;
    };

    std::map<std::string, Entry> m_entries;
};

}
