#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/relay/Connection.h"
#include "snipeweir/relay/PeerMessage.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <unordered_map>
#include <vector>

namespace snipeweir {

/// Queries other nodes for their load right before a backend server is chosen, with one small datagram each, and caches
/// the replies. Load changes faster than reports could be distributed to all callers, while a query costs one round
/// trip and its cost per request does not grow with the fleet. Also sends and receives announcements and subscriptions.
/// Not thread-safe; all calls must come from the thread that runs the executor.
class PeerLoads {
public:
    struct Settings {
        /// Longest wait after sending, once one reply has arrived; the round trip to most data centres is shorter.
        std::chrono::milliseconds partialReplyTimeout { 5 };
        /// Longest wait after sending while no reply has arrived, since datagrams may be lost.
        std::chrono::milliseconds noReplyTimeout { 30 };
        /// A cached load younger than this is used without a query.
        std::chrono::milliseconds cacheLifetime { 15 };
        /// Consecutive unanswered queries after which a node counts as silent.
        uint32_t silentThreshold = 2;
    };

    struct Peer {
        NodeLoad load;
        SteadyTime loadAt {};
        /// Moving average of the time from query to reply. High if the node or its link is slow, independently of its
        /// backend server.
        std::chrono::microseconds roundTrip { 1000 };
        /// Queries that timed out and connections that failed since the last reply.
        uint32_t unansweredQueries = 0;
        SteadyTime lastQueryAt {};
    };

    PeerLoads(asio::any_io_executor, const Clock&, Settings);

    /// Opens the UDP socket. All nodes must use the same port.
    void bind(const asio::ip::udp::endpoint&, error_code&);

    /// Receives datagrams and replies to load queries until the process ends.
    asio::awaitable<void> receive();

    /// Queries the nodes at these IP addresses, except those with a fresh cached load, and waits for their replies up
    /// to the timeouts of the settings.
    asio::awaitable<void> queryLoads(const std::vector<std::string>& ips);

    void send(const std::string& ip, const PeerMessage&);

    /// @return State of the node with this IP address; created with default values if there is none yet.
    Peer& peer(const std::string& ip) { return m_peers[ip]; }

    /// @return Whether the node has left Settings::silentThreshold queries in a row unanswered.
    bool isSilent(const std::string& ip);

    /// Removes the state of all nodes except those at these IP addresses.
    void keepOnly(const std::vector<std::string>& ips);

    /// Returns this node's load for the reply to a query.
    std::function<NodeLoad()> localLoad;
    /// Called with the sender's IP address for each announcement.
    std::function<void(const std::string& ip, const PeerMessage&)> onAnnouncement;
    /// Called with the sender's IP address for each subscription.
    std::function<void(const std::string& ip)> onSubscription;
    /// Called with the sender's IP address for each quota request and grant.
    std::function<void(const std::string& ip, const PeerMessage&)> onQuota;

private:
    struct PendingQuery {
        explicit PendingQuery(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        Timer timer;
        std::vector<std::string> awaitedPeers;
        size_t replyCount = 0;
        SteadyTime sentAt;
    };

    void handleDatagram(const asio::ip::udp::endpoint& from, std::string_view bytes);
    void handleReply(const std::string& ip, const PeerMessage&);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    asio::ip::udp::socket m_socket;
    std::unordered_map<std::string, Peer> m_peers;
    std::unordered_map<uint64_t, std::shared_ptr<PendingQuery>> m_pendingQueries;
    uint64_t m_nextNonce = 1;
    std::array<char, 1500> m_receiveBuffer {};
};

}
