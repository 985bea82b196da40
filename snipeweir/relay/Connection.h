#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/relay/Timer.h"
#include "snipeweir/telemetry/JsonLog.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace snipeweir {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Completion token that returns the error code as a value instead of throwing it.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Disables Nagle's algorithm, limits the bytes that the kernel holds for a peer that does not read them, and sets
/// keep-alive probes and the user timeout, which limit the time until a dead peer is detected.
/// @param userTimeout Maximum time for which sent bytes may stay unacknowledged.
void setTcpOptions(asio::ip::tcp::socket&, std::chrono::milliseconds userTimeout);

/// Sets the user timeout alone, see setTcpOptions().
void setUserTimeout(asio::ip::tcp::socket&, std::chrono::nanoseconds userTimeout);

/// Lets the kernel take as much as the send buffer holds, as it would without setTcpOptions().
void liftUnsentLimit(asio::ip::tcp::socket&);

/// Bounds the unread bytes that the kernel holds for a connection, which count as memory of this process. Must be
/// called before the connection is opened, since the window is negotiated then; a listening socket passes it on to the
/// connections that it accepts.
/// @param bytes Size of the unread payload; the kernel reserves twice that for its own structures.
template <typename Socket> void setReceiveBuffer(Socket& socket, size_t bytes)
{
    error_code ignored; // Without it the kernel's own limit applies.
    socket.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(bytes)), ignored);
}

asio::ip::tcp::endpoint tcpEndpoint(const Address&);

/// A TCP connection that this node opened, with its read buffer.
struct Connection {
    /// Maximum number of bytes that are read ahead. A head, the size line of a chunk and the trailer must each fit.
    static constexpr size_t maxBufferedBytes = 48U << 10U;

    /// Receive buffer of connections of callers and nodes: carries 60 Mbit/s at a round trip of 9 ms, the longest one
    /// between data centres.
    static constexpr size_t receiveBufferBytes = 64U << 10U;

    explicit Connection(const asio::any_io_executor& executor)
        : stream(executor)
        , buffer(maxBufferedBytes)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Address address;
    SteadyTime usedAt {};
    /// Idle time after which the peer closes the connection, from its Keep-Alive field.
    std::optional<std::chrono::milliseconds> peerIdleTimeout;
    bool isReused = false;
};

/// Called when a peer has sent bytes that are not a valid response, with what makes them invalid.
using MalformedResponseHook = std::function<void(const Address&, const std::string& fault)>;

/// @return A hook that logs each malformed response.
MalformedResponseHook malformedResponseLogger(JsonLog&);

/// Pool of idle connections to other processes. For one thread.
class ConnectionPool {
public:
    struct Settings {
        /// Maximum number of idle connections to one address; beyond it the one idle for longest is closed.
        size_t maxIdlePerAddress = 24;
        std::chrono::milliseconds connectTimeout { 400 };
        /// Maximum idle time; peers close idle connections after several seconds.
        std::chrono::milliseconds maxIdle { 4000 };
        /// Maximum time for which sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
        std::chrono::milliseconds userTimeout { 800 };
    };

    ConnectionPool(asio::any_io_executor executor, const Clock& clock, Settings settings)
        : m_executor(std::move(executor))
        , m_clock(clock)
        , m_settings(settings)
    {
    }

    /// @param maxIdle Maximum idle time of a pooled connection that is reused; zero always opens a new one.
    /// @param deadline Time by which a new connection must be established.
    /// @return The connection; null if none could be opened, in which case nothing was sent.
    asio::awaitable<std::unique_ptr<Connection>> acquire(
        const Address&, std::chrono::milliseconds maxIdle, SteadyTime deadline);

    /// Returns a connection to the pool after its last response was read to the end. Closes it if unread bytes remain.
    void release(std::unique_ptr<Connection>);

    /// Closes the connections that have exceeded the maximum idle time.
    void closeIdle();

    const Settings& settings() const { return m_settings; }
    uint64_t opened() const { return m_opened; }

    /// May be empty.
    MalformedResponseHook onMalformedResponse;

private:
    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    std::map<Address, std::deque<std::unique_ptr<Connection>>> m_idle;
    uint64_t m_opened = 0;
};

}
