#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace snipeweir {

/// Orders the requests of one caller connection and their responses: decides what may be read ahead, what may start and
/// what may be written, and counts the memory that the requests and the responses that wait for their turn hold. All
/// functions are deterministic and perform no I/O.
class ResponseSequencer {
public:
    struct Settings {
        /// Maximum number of requests that have been read and whose responses have not been written.
        size_t maxInProgress = 8;
        /// Maximum number of bytes that bodies of requests and waiting responses of one connection hold. The first
        /// request in line is not subject to it, since it needs no more memory than on a connection of its own.
        size_t maxHeldBytes = 1U << 20U;
    };

    /// Identifies a request of the connection; increases in the order in which the requests arrived.
    using Position = uint64_t;

    /// How a request runs in relation to the others of its connection.
    enum class RunMode {
        /// Runs while others run.
        Concurrent,
        /// Runs only after all responses before it, and nothing behind it starts before its own response is written.
        Exclusive,
    };

    /// What happens to the connection after a response.
    enum class AfterResponse { KeepOpen, Close };

    explicit ResponseSequencer(Settings settings)
        : m_settings(settings)
    {
    }

    /// @return Whether no request is in progress.
    bool isIdle() const { return m_entries.empty(); }

    /// @return Whether a response that closes the connection has begun or has been written.
    bool isClosing() const { return m_isClosing; }

    size_t heldBytes() const { return m_heldBytes; }

    /// @return Whether the next request may be read from the connection.
    bool mayRead() const;

    /// @param bytes Length of the body of the next request.
    /// @return Whether that body may be read now.
    bool mayReadBody(uint64_t bytes) const;

    /// Adds a request that has been read.
    /// @param bytes Length of its body.
    /// @param after Close if its response closes the connection in any case; nothing is read behind it then.
    Position add(size_t bytes, AfterResponse after);

    bool mayStart(Position, RunMode) const;
    void onStarted(Position, RunMode);

    /// @return Whether a request behind this one has started. It would get no response if this one's broke off.
    bool hasStartedBehind(Position) const;

    /// @return Memory that the response of the request may hold in total.
    size_t room(Position) const;
    /// @param bytes Memory for the response of the request, in total.
    bool mayHold(Position position, size_t bytes) const { return bytes <= room(position); }
    void hold(Position, size_t bytes);

    /// @return Whether all responses before that of the request have been written.
    bool mayWrite(Position) const;

    /// Records that the response is being written. If it closes the connection, nothing behind it may start.
    /// @param wanted What the request and its response ask for.
    /// @return Whether the response closes the connection; also the case if the node stops and no request behind it has
    /// started.
    AfterResponse onWriting(Position, AfterResponse wanted);

    /// Removes a request whose response was written, or which was cancelled.
    void onEnded(Position);

    /// Records that the node stops: the last response of the requests that have started closes the connection, and
    /// requests behind it count as not read.
    void stop() { m_isStopping = true; }

    /// Records that the connection is lost or closed.
    void close() { m_isClosing = true; }

private:
    struct Entry {
        Position position = 0;
        size_t requestBytes = 0;
        size_t responseBytes = 0;
        bool hasStarted = false;
        RunMode mode = RunMode::Concurrent;
    };

    const Entry& entry(Position) const;
    Entry& entry(Position position)
    {
        return const_cast<Entry&>(static_cast<const ResponseSequencer*>(this)->entry(position));
    }
    bool isFirst(Position position) const { return !m_entries.empty() && m_entries.front().position == position; }

    Settings m_settings;
    std::deque<Entry> m_entries;
    Position m_next = 0;
    size_t m_heldBytes = 0;
    bool m_hasLast = false;
    bool m_isStopping = false;
    bool m_isClosing = false;
};

}
