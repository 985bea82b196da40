#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace snipeweir {

/// An item of the source that cannot be used, for example because another writer left it there.
struct SkippedEntry {
    std::string key;
    std::string reason;
    /// Identifies the content of the item, so that a change of the item can be detected.
    uint64_t contentId = 0;
};

/// Detects which skipped entries of a document are new, so that each is reported once for each content. For one thread.
class SkippedEntries {
public:
    /// @param skipped All skipped entries of the current document.
    /// @return Those that the previous document did not have with the same content.
    std::vector<SkippedEntry> update(std::vector<SkippedEntry> skipped)
    {
        std::map<std::string, uint64_t> current;
        for (const SkippedEntry& entry : skipped)
            current.insert_or_assign(entry.key, entry.contentId);
        std::erase_if(skipped, [this](const SkippedEntry& entry) {
            const auto known = m_contentIds.find(entry.key);
            return known != m_contentIds.end() && known->second == entry.contentId;
        });
        m_contentIds = std::move(current);
        return skipped;
    }

    /// @return Number of entries skipped in the current document.
    size_t size() const { return m_contentIds.size(); }

private:
    std::map<std::string, uint64_t> m_contentIds;
};

}
