#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

/// Stand-in for a node. Sends the same bytes on every connection to 127.0.0.1, then closes it or keeps it open without
/// sending more.
class CannedServer {
public:
    enum class AfterResponse {
        Close,
        StaySilent,
    };

    CannedServer(std::string response, AfterResponse);
    ~CannedServer();
    CannedServer(const CannedServer&) = delete;
    CannedServer& operator=(const CannedServer&) = delete;

    /// @return Address in the form of --node.
    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

    /// @return First line of the last request. Call only after the client has received the response.
    std::string requestLine() const { return m_requestLine; }

private:
    void serve();

    std::string m_response;
    AfterResponse m_afterResponse;
    int m_listener = -1;
    uint16_t m_port = 0;
    std::string m_requestLine;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};
