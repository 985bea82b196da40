#include "snipeweir/relay/Connection.h"

#include "snipeweir/core/IdleSocket.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <climits>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace snipeweir {

namespace {

    /// Capacity up to which the read buffer of an idle connection is kept.
    constexpr size_t maxIdleBufferBytes = 4U << 10U;

    /// Number of bytes beyond the peer's window from which the kernel takes no more. A limit of the send buffer would
    /// also limit the throughput on long paths.
    constexpr int maxUnsentBytes = 64 << 10;

    template <int Name> using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

}

void setTcpOptions(asio::ip::tcp::socket& socket, std::chrono::milliseconds userTimeout)
{
    error_code ignored; // A socket without these options still works, but detects a dead peer later.
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(TcpOption<TCP_NOTSENT_LOWAT>(maxUnsentBytes), ignored);
    setUserTimeout(socket, userTimeout);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(1), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(1), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(2), ignored);
}

void liftUnsentLimit(asio::ip::tcp::socket& socket)
{
    error_code ignored; // See setTcpOptions().
    socket.set_option(TcpOption<TCP_NOTSENT_LOWAT>(INT_MAX), ignored);
}

void setUserTimeout(asio::ip::tcp::socket& socket, std::chrono::nanoseconds userTimeout)
{
    // Zero would select the system's default.
    const auto milliseconds = std::max<int64_t>(1, std::chrono::ceil<std::chrono::milliseconds>(userTimeout).count());
    error_code ignored; // See setTcpOptions().
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(std::min<int64_t>(milliseconds, INT_MAX))), ignored);
}

asio::ip::tcp::endpoint tcpEndpoint(const Address& address)
{
    error_code ignored; // A malformed address becomes 0.0.0.0, and connecting to it fails.
    return { asio::ip::make_address(address.ip, ignored), address.port };
}

MalformedResponseHook malformedResponseLogger(JsonLog& log)
{
    return [&log](const Address& from, const std::string& fault) {
        log.logRequest(JsonLog::Priority::Abnormal, "malformed_response", CallId(),
            { { "from", from.text() }, { "fault", fault } });
    };
}

asio::awaitable<std::unique_ptr<Connection>> ConnectionPool::acquire(
    const Address& to, std::chrono::milliseconds maxIdle, SteadyTime deadline)
{
    const SteadyTime now = m_clock.now();
    auto& idle = m_idle[to];
    // Reuse the most recently used connection first; the peer is least likely to have closed it.
    while (!idle.empty() && maxIdle.count() > 0) {
        std::unique_ptr<Connection> connection = std::move(idle.back());
        idle.pop_back();
        auto limit = std::min(maxIdle, m_settings.maxIdle);
        if (connection->peerIdleTimeout)
            limit = std::min(limit, *connection->peerIdleTimeout / 2);
        if (now - connection->usedAt > limit || !isOpenAndEmpty(connection->stream.socket().native_handle()))
            continue;
        connection->isReused = true;
        co_return connection;
    }

    auto connection = std::make_unique<Connection>(m_executor);
    connection->address = to;
    error_code ignored; // If the socket could not be opened, connecting fails.
    connection->stream.socket().open(asio::ip::tcp::v4(), ignored);
    setReceiveBuffer(connection->stream.socket(), Connection::receiveBufferBytes);
    expireAt(connection->stream, std::min(deadline, now + m_settings.connectTimeout));
    const auto [error] = co_await connection->stream.async_connect(tcpEndpoint(to), asTuple);
    if (error)
        co_return nullptr;
    ++m_opened;
    setTcpOptions(connection->stream.socket(), m_settings.userTimeout);
    co_return connection;
}

void ConnectionPool::release(std::unique_ptr<Connection> connection)
{
    if (connection->buffer.size() > 0)
        return;
    connection->stream.expires_never();
    if (connection->buffer.capacity() > maxIdleBufferBytes)
        connection->buffer.shrink_to_fit();
    // A request with a large body may have changed it.
    setUserTimeout(connection->stream.socket(), m_settings.userTimeout);
    connection->usedAt = m_clock.now();
    auto& idle = m_idle[connection->address];
    idle.push_back(std::move(connection));
    if (idle.size() > m_settings.maxIdlePerAddress)
        idle.pop_front();
}

void ConnectionPool::closeIdle()
{
    const SteadyTime now = m_clock.now();
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        std::erase_if(entry->second, [&](const std::unique_ptr<Connection>& connection) {
            return now - connection->usedAt > m_settings.maxIdle;
        });
        entry = entry->second.empty() ? m_idle.erase(entry) : std::next(entry);
    }
}

}
