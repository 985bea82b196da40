#pragma once

#include "snipeweir/core/Identity.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace snipeweir {

/// Calls in progress by id, for cancellation. Several calls may have the same id. Safe for concurrent use.
class CallRegistry {
public:
    struct Entry {
        std::atomic<bool> isCancelled { false };
    };

    /// Registers a call for the lifetime of this object.
    class Registration {
    public:
        Registration(CallRegistry& registry, CallId id)
            : m_registry(registry)
            , m_id(std::move(id))
            , m_entry(registry.add(m_id))
        {
        }
        ~Registration() { m_registry.remove(m_id, m_entry); }
        Registration(const Registration&) = delete;
        Registration& operator=(const Registration&) = delete;
        Entry& entry() { return *m_entry; }

    private:
        CallRegistry& m_registry;
        CallId m_id;
        std::shared_ptr<Entry> m_entry;
    };

    /// Marks all calls with this id as cancelled.
    /// @return Whether there was any.
    bool cancel(const CallId& id)
    {
        const std::lock_guard lock(m_mutex);
        const auto [first, last] = m_entries.equal_range(id);
        for (auto entry = first; entry != last; ++entry)
            entry->second->isCancelled = true;
        return first != last;
    }

    size_t size() const
    {
        const std::lock_guard lock(m_mutex);
        return m_entries.size();
    }

private:
    std::shared_ptr<Entry> add(const CallId& id)
    {
        auto entry = std::make_shared<Entry>();
        const std::lock_guard lock(m_mutex);
        m_entries.emplace(id, entry);
        return entry;
    }

    void remove(const CallId& id, const std::shared_ptr<Entry>& entry)
    {
        const std::lock_guard lock(m_mutex);
        const auto [first, last] = m_entries.equal_range(id);
        for (auto position = first; position != last; ++position) {
            if (position->second == entry) {
                m_entries.erase(position);
                return;
            }
        }
    }

    mutable std::mutex m_mutex;
    std::unordered_multimap<CallId, std::shared_ptr<Entry>> m_entries;
};

}
