#include "tests/snipeweirctl/CannedServer.h"

#include <arpa/inet.h>
#include <cassert>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

CannedServer::CannedServer(std::string response, AfterResponse afterResponse)
    : m_response(std::move(response))
    , m_afterResponse(afterResponse)
    , m_listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    [[maybe_unused]] const bool isListening = bind(m_listener, reinterpret_cast<sockaddr*>(&address), length) == 0
        && listen(m_listener, 8) == 0 && getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) == 0;
    assert(isListening);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { serve(); });
}

CannedServer::~CannedServer()
{
    m_isStopping = true;
    m_thread.join();
    close(m_listener);
}

void CannedServer::serve()
{
    while (!m_isStopping) {
        pollfd listenerPoll { m_listener, POLLIN, 0 };
        if (poll(&listenerPoll, 1, 20) != 1)
            continue;
        const int connection = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        char buffer[4096];
        const ssize_t bytesRead = recv(connection, buffer, sizeof(buffer), 0);
        const std::string request(buffer, bytesRead > 0 ? static_cast<size_t>(bytesRead) : 0);
        m_requestLine = request.substr(0, request.find("\r\n"));
        send(connection, m_response.data(), m_response.size(), MSG_NOSIGNAL);

        // A silent server keeps the connection open until the client closes it.
        pollfd connectionPoll { connection, POLLIN, 0 };
        while (m_afterResponse == AfterResponse::StaySilent && !m_isStopping && poll(&connectionPoll, 1, 20) == 0) { }
        close(connection);
    }
}
