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

/// Asks other nodes for their load at the moment of a choice, by one small datagram each, and remembers the replies.
/// A load report is older than the load lasts by the time that it would be spread to all callers; a question costs
/// one round trip and its cost per request does not grow with the fleet. Carries announcements as well. For one thread.
class PeerLoads {
public:
    struct Settings {
        /// Longest wait for replies once one has come; most data centres are nearer than this.
        std::chrono::milliseconds usualWait { 5 };
        /// Longest wait while no reply has come; a datagram may be lost.
        std::chrono::milliseconds longestWait { 30 };
        /// A load younger than this is used without a question.
        std::chrono::milliseconds freshFor { 15 };
        /// Unanswered questions in a row after which a node counts as silent.
        uint32_t silentAfter = 2;
    };

    struct Peer {
        NodeLoad load;
        SteadyTime loadAt {};
        /// Time from question to reply of late; long where the node or its link is slow, whatever its server does.
        std::chrono::microseconds roundTrip { 1000 };
        /// Questions without a reply since the last reply.
        uint32_t unanswered = 0;
        SteadyTime askedAt {};
    };

    PeerLoads(asio::any_io_executor, const Clock&, Settings);

    /// Opens the socket; the port is the same at all nodes.
    void bind(const asio::ip::udp::endpoint&, error_code&);

    /// Answers and takes messages until the process ends.
    asio::awaitable<void> receive();

    /// Asks the nodes at these IP addresses and waits for their replies within the bounds of the settings.
    asio::awaitable<void> ask(const std::vector<std::string>& ips);

    void send(const std::string& ip, const PeerMessage&);

    /// @return What is known of the node.
    Peer& peer(const std::string& ip) { return m_peers[ip]; }

    bool isSilent(const std::string& ip);

    /// Forgets nodes that are not among these.
    void keepOnly(const std::vector<std::string>& ips);

    /// Gives this node's load in reply to a question.
    std::function<NodeLoad()> ownLoad;
    std::function<void(const std::string& ip, const PeerMessage&)> onAnnouncement;
    std::function<void(const std::string& ip)> onSubscription;

private:
    struct Question {
        explicit Question(const asio::any_io_executor& executor)
            : timer(executor)
        {
        }
        Timer timer;
        std::vector<std::string> open;
        size_t replies = 0;
        SteadyTime sentAt;
    };

    void take(const asio::ip::udp::endpoint& from, std::string_view bytes);
    void takeReply(const std::string& ip, const PeerMessage&);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    Settings m_settings;
    asio::ip::udp::socket m_socket;
    std::unordered_map<std::string, Peer> m_peers;
    std::unordered_map<uint64_t, std::shared_ptr<Question>> m_questions;
    uint64_t m_nextNonce = 1;
    std::array<char, 1500> m_received {};
};

}
