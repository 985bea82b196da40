#include "snipeweir/membership/RumourQueue.h"

#include <algorithm>

namespace snipeweir {

void RumourQueue::add(const std::string& subject, std::string encoded, uint32_t transmissionCount)
{
    m_entries[subject] = { std::move(encoded), transmissionCount };
}

std::vector<std::string> RumourQueue::take(size_t maxBytes, size_t maxCount)
{
    using Iterator = std::map<std::string, Entry>::iterator;
    std::vector<std::string> texts;
    if (m_entries.empty() || maxCount == 0)
        return texts;

    // Order by transmissions left, then by subject, so that the choice does not depend on memory addresses.
    std::vector<Iterator> order;
    order.reserve(m_entries.size());
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry)
        order.push_back(entry);
    const size_t considered = std::min(order.size(), 2 * maxCount);
    std::partial_sort(order.begin(), order.begin() + static_cast<ptrdiff_t>(considered), order.end(),
        [](const Iterator& left, const Iterator& right) {
            if (left->second.remainingSends != right->second.remainingSends)
                return left->second.remainingSends > right->second.remainingSends;
            return left->first < right->first;
        });

    size_t bytes = 0;
    for (size_t i = 0; i < considered && texts.size() < maxCount; ++i) {
        Entry& entry = order[i]->second;
        if (bytes + entry.encoded.size() > maxBytes)
            continue;
        bytes += entry.encoded.size();
        texts.push_back(entry.encoded);
        if (--entry.remainingSends == 0)
            m_entries.erase(order[i]);
    }
    return texts;
}

}
