#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace snipeweir {

/// Bounded FIFO queue between threads. push() never blocks: a full queue refuses the new item and counts it.
/// Safe for any number of producer and consumer threads.
template <typename T> class BoundedQueue {
public:
    /// @param capacity Maximum number of items in the queue, greater than zero.
    explicit BoundedQueue(size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// @return Whether the item was added; false if the queue is full or closed.
    bool push(T item)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isClosed || m_items.size() >= m_capacity) {
                ++m_dropped;
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_condition.notify_one();
        return true;
    }

    /// @param timeout Longest time to wait for an item.
    /// @return The oldest item; empty after a timeout, or if the queue is closed and empty.
    std::optional<T> pop(std::chrono::nanoseconds timeout)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, timeout, [this] { return !m_items.empty() || m_isClosed; });
        if (m_items.empty())
            return std::nullopt;
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    /// Refuses further items and wakes all waiting threads.
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isClosed = true;
        }
        m_condition.notify_all();
    }

    /// @return Number of items refused since construction.
    uint64_t dropped() const
    {
        const std::lock_guard lock(m_mutex);
        return m_dropped;
    }

private:
    const size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_condition;
    std::deque<T> m_items;
    uint64_t m_dropped = 0;
    bool m_isClosed = false;
};

}
