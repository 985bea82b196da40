#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/relay/Timer.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace snipeweir {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

/// Completion token that gives the error as a value.
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// Switches off delayed sends and bounds the time for which a silent peer goes unnoticed.
/// @param unacknowledged Longest time for which sent bytes may stay unacknowledged.
void tuneSocket(asio::ip::tcp::socket&, std::chrono::milliseconds unacknowledged);

asio::ip::tcp::endpoint tcpEndpoint(const Address&);

/// One TCP connection that this node opened, with bytes read ahead.
struct Connection {
    explicit Connection(const asio::any_io_executor& executor)
        : stream(executor)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Address to;
    SteadyTime usedAt {};
    /// Idle time after which the peer closes; from its Keep-Alive field.
    std::optional<std::chrono::milliseconds> peerIdleTimeout;
    bool isReused = false;
};

/// Kept connections to other processes. For one thread.
class ConnectionPool {
public:
    struct Settings {
        /// Kept connections beyond this to one address are closed.
        size_t maxIdlePerAddress = 24;
        std::chrono::milliseconds connectTimeout { 400 };
        /// Longest idle time; peers close after several seconds.
        std::chrono::milliseconds maxIdle { 4000 };
        /// Longest time for which sent bytes may stay unacknowledged.
        std::chrono::milliseconds unacknowledged { 800 };
    };

    ConnectionPool(asio::any_io_executor executor, const Clock& clock, Settings settings)
        : m_executor(std::move(executor))
        , m_clock(clock)
        , m_settings(settings)
    {
    }

    /// @param maxIdle Longest idle time of a kept connection that is taken; zero takes a new one.
    /// @param deadline Time until which a new connection may take.
    /// @return A connection, or null if none could be opened: nothing was sent then.
    asio::awaitable<std::unique_ptr<Connection>> acquire(
        const Address&, std::chrono::milliseconds maxIdle, SteadyTime deadline);

    /// Keeps a connection whose last answer was read to the end.
    void release(std::unique_ptr<Connection>);

    /// Closes the connections that have been idle for too long.
    void closeIdle();

    const Settings& settings() const { return m_settings; }
    uint64_t opened() const { return m_opened; }

private:
    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    std::map<Address, std::deque<std::unique_ptr<Connection>>> m_idle;
    uint64_t m_opened = 0;
};

}
