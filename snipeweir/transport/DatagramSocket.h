#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace snipeweir {

/// UDP socket bound to one IPv4 address. All members are safe to call from any thread.
class DatagramSocket {
public:
    /// @param local Address to bind to.
    /// @return The bound socket, ErrorCode::InvalidArgument if the address is not an IPv4 address, or
    /// ErrorCode::Unavailable if the socket cannot be opened or bound.
    static Result<std::unique_ptr<DatagramSocket>> create(const Address& local);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    /// Sends a datagram without blocking. The datagram is dropped if the kernel does not accept it or if the address is
    /// invalid.
    void send(const Address& to, std::string_view datagram);

    /// Receives one datagram. A datagram longer than maxDatagramBytes is truncated to one byte more than that.
    /// @param timeout Longest time to wait for a datagram.
    /// @return Sender and payload; empty on timeout or error.
    std::optional<std::pair<Address, std::string>> receive(std::chrono::milliseconds timeout);

    /// @return Bytes sent and received since construction, including 28 bytes of IPv4 and UDP headers per datagram.
    uint64_t bytes() const { return m_bytes.load(); }

    /// @return Datagrams sent and received since construction.
    uint64_t datagrams() const { return m_datagrams.load(); }

private:
    explicit DatagramSocket(int descriptor)
        : m_descriptor(descriptor)
    {
    }
    void countDatagram(size_t payloadBytes);

    int m_descriptor;
    std::atomic<uint64_t> m_bytes { 0 };
    std::atomic<uint64_t> m_datagrams { 0 };
};

}
