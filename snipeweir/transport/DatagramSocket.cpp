#include "snipeweir/transport/DatagramSocket.h"

#include "snipeweir/core/ControlMessage.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace snipeweir {

namespace {

    constexpr size_t ipAndUdpHeaderBytes = 28;

    std::optional<sockaddr_in> toSocketAddress(const Address& address)
    {
        sockaddr_in result {};
        result.sin_family = AF_INET;
        result.sin_port = htons(address.port);
        if (inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr) != 1)
            return std::nullopt;
        return result;
    }

}

Result<std::unique_ptr<DatagramSocket>> DatagramSocket::create(const Address& local)
{
    const auto address = toSocketAddress(local);
    if (!address)
        return fail(ErrorCode::InvalidArgument, "The address " + local.text() + " is not an IPv4 address.");
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return fail(ErrorCode::Unavailable, "Cannot open a UDP socket.");
    std::unique_ptr<DatagramSocket> result(new DatagramSocket(descriptor));
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&*address), sizeof(*address)) != 0)
        return fail(ErrorCode::Unavailable, "Cannot bind a UDP socket to " + local.text() + ".");
    return result;
}

DatagramSocket::~DatagramSocket() { close(m_descriptor); }

void DatagramSocket::countDatagram(size_t payloadBytes)
{
    m_bytes += payloadBytes + ipAndUdpHeaderBytes;
    ++m_datagrams;
}

void DatagramSocket::send(const Address& to, std::string_view datagram)
{
    const auto address = toSocketAddress(to);
    if (!address)
        return;
    const auto sent = sendto(m_descriptor, datagram.data(), datagram.size(), MSG_DONTWAIT,
        reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
    if (sent > 0)
        countDatagram(static_cast<size_t>(sent));
}

std::optional<std::pair<Address, std::string>> DatagramSocket::receive(std::chrono::milliseconds timeout)
{
    pollfd entry { m_descriptor, POLLIN, 0 };
    if (poll(&entry, 1, static_cast<int>(timeout.count())) <= 0)
        return std::nullopt;

    // One byte larger than the limit, so that the envelope decoder detects an oversized datagram instead of reading a
    // truncated one.
    std::array<char, maxDatagramBytes + 1> buffer {};
    sockaddr_in from {};
    socklen_t length = sizeof(from);
    const auto received = recvfrom(
        m_descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from), &length);
    if (received < 0)
        return std::nullopt;
    countDatagram(static_cast<size_t>(received));
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
    return std::make_pair(
        Address { text.data(), ntohs(from.sin_port) }, std::string(buffer.data(), static_cast<size_t>(received)));
}

}
