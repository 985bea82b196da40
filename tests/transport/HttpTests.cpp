#include "snipeweir/transport/HttpClient.h"
#include "snipeweir/transport/HttpServer.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace snipeweir;

namespace {

// Below the range of ephemeral ports (32768 and up), from which connections of tests that run beside this one take
// theirs.
constexpr uint16_t port = 18511;
const Address address { "127.0.0.1", port };

/// Raw TCP client, for requests that an HTTP client library would not send.
class RawConnection {
public:
    RawConnection()
        : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &to.sin_addr);
        const timeval timeout { 3, 0 };
        setsockopt(m_socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        REQUIRE(connect(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    }
    ~RawConnection() { close(m_socket); }
    RawConnection(const RawConnection&) = delete;
    RawConnection& operator=(const RawConnection&) = delete;

    /// Sends a request and receives until the head of the response is complete, the server closes the connection, or
    /// nothing is received for 3 s.
    /// @return The bytes received.
    std::string exchange(const std::string& request)
    {
        send(m_socket, request.data(), request.size(), MSG_NOSIGNAL);
        std::string response;
        std::array<char, 4096> block {};
        while (response.find("\r\n\r\n") == std::string::npos) {
            const auto count = recv(m_socket, block.data(), block.size(), 0);
            if (count <= 0)
                break;
            response.append(block.data(), static_cast<size_t>(count));
        }
        return response;
    }

private:
    int m_socket;
};

/// HTTP server on the test port.
struct TestServer {
    SystemClock clock;
    std::unique_ptr<HttpServer> server;

    explicit TestServer(std::function<void(HttpServerExchange&)> handler, uint32_t maxConnections = 5)
    {
        HttpServerSettings settings;
        settings.address = address.text();
        settings.maxConnections = maxConnections;
        settings.ioTimeout = std::chrono::milliseconds(1000);
        settings.handler = std::move(handler);
        settings.onConnectionLimit = [](HttpServerExchange& exchange) {
            exchange.respond(503, { { "Limit", "yes" } }, "");
        };
        const auto error = errorOf([&]() -> Result<void> {
            BOOST_LEAF_ASSIGN(server, HttpServer::create(std::move(settings), clock));
            return {};
        });
        REQUIRE_MESSAGE(!error, (error ? error->message : ""));
    }
};

/// Server on the test port that sends the same bytes to each request of one connection, then repeats others until the
/// client closes the connection, or closes it itself if there are none to repeat. It sends the last bytes after a delay
/// and then waits for the client.
class RawServer {
public:
    RawServer(std::string first, std::string repeated, std::pair<std::chrono::milliseconds, std::string> last = {})
        : m_listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        const int reuse = 1;
        setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse);
        sockaddr_in at {};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        inet_pton(AF_INET, "127.0.0.1", &at.sin_addr);
        REQUIRE(bind(m_listener, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(listen(m_listener, 5) == 0);
        m_thread = std::thread(
            [this, first = std::move(first), repeated = std::move(repeated), last = std::move(last)] {
                const int connection = accept(m_listener, nullptr, nullptr);
                std::array<char, 4096> request {};
                if (recv(connection, request.data(), request.size(), 0) > 0
                    && send(connection, first.data(), first.size(), MSG_NOSIGNAL) >= 0) {
                    while (!repeated.empty() && send(connection, repeated.data(), repeated.size(), MSG_NOSIGNAL) > 0) {
                    }
                    if (!last.second.empty()) {
                        std::this_thread::sleep_for(last.first);
                        send(connection, last.second.data(), last.second.size(), MSG_NOSIGNAL);
                        recv(connection, request.data(), request.size(), 0);
                    }
                }
                close(connection);
            });
    }
    ~RawServer()
    {
        shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        close(m_listener);
    }
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

private:
    int m_listener;
    std::thread m_thread;
};

int64_t residentBytes()
{
    int64_t total = 0;
    int64_t resident = 0;
    std::ifstream("/proc/self/statm") >> total >> resident;
    return resident * sysconf(_SC_PAGESIZE);
}

void readBodyAndRespond(HttpServerExchange& exchange)
{
    const SystemClock clock;
    const auto error = errorOf([&] { return exchange.readBody(1000, clock.now() + std::chrono::seconds(2)); });
    exchange.respond(error ? 400 : 200, {}, error ? "refused" : "accepted");
}

TransferEnd performGet(HttpClient& client, const Clock& clock, std::chrono::milliseconds noProgress)
{
    HttpRequest request;
    request.to = address;
    request.noProgressTimeout = noProgress;
    request.deadline = clock.now() + std::chrono::seconds(5);
    return client.perform(std::move(request), {});
}

}

TEST_CASE("A closed connection no longer counts, and a connection over the limit is refused at once")
{
    // Guards against a connection count that is not decremented when a connection closes. With that fault, a node
    // refused all requests after 250 connections.
    const TestServer server(readBodyAndRespond);
    for (int i = 0; i < 40; ++i) {
        RawConnection connection;
        REQUIRE(
            connection.exchange("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
    std::vector<std::unique_ptr<RawConnection>> openConnections;
    for (int i = 0; i < 5; ++i) {
        openConnections.push_back(std::make_unique<RawConnection>());
        CHECK(openConnections.back()->exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
    RawConnection overLimit;
    CHECK(overLimit.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n").find("Limit: yes") != std::string::npos);
}

TEST_CASE("A request body of ambiguous, malformed or excessive length is refused")
{
    const TestServer server(readBodyAndRespond);
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\n";
    for (const std::string fields : { "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
             "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Content-Length: 2000\r\n\r\nabc",
             "Content-Length: 0x2\r\n\r\nab", "Transfer-Encoding: gzip\r\n\r\nab",
             "Transfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n" }) {
        RawConnection connection;
        const std::string response = connection.exchange(head + fields);
        CHECK_MESSAGE((response.starts_with("HTTP/1.1 4") || response.empty()), fields, " -> ", response);
    }
    RawConnection valid;
    CHECK(valid.exchange(head + "Content-Length: 2\r\n\r\nab").starts_with("HTTP/1.1 200"));
}

TEST_CASE("A malformed or oversized request head is refused with outcome not_run")
{
    const TestServer server(readBodyAndRespond);
    for (const std::string& request :
        { std::string("GARBAGE\r\n\r\n"), "GET /" + std::string(40'000, 'a') + " HTTP/1.1\r\n\r\n" }) {
        RawConnection connection;
        const std::string response = connection.exchange(request);
        CHECK_MESSAGE(response.find("Snipeweir-Outcome: not_run") != std::string::npos, response.substr(0, 200));
    }
}

TEST_CASE("The transfer fails within the timeout if the peer stops sending in the middle of a body")
{
    // The client functions of CivetWeb waited for more than 45 s in this case.
    std::atomic<bool> isOver { false };
    const TestServer server([&](HttpServerExchange& exchange) {
        exchange.startBody(200, {}, 100);
        exchange.writeBody("part");
        while (!isOver)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        exchange.abort();
    });
    HttpClient client(server.clock);
    const SteadyTime start = server.clock.now();
    CHECK(performGet(client, server.clock, std::chrono::milliseconds(300)) == TransferEnd::NoProgress);
    CHECK(server.clock.now() - start < std::chrono::milliseconds(1500));
    isOver = true;
}

TEST_CASE("A truncated body is not reported as a complete response")
{
    const TestServer server([](HttpServerExchange& exchange) {
        exchange.startBody(200, {}, 100);
        exchange.writeBody("part");
        exchange.abort();
    });
    HttpClient client(server.clock);
    CHECK(performGet(client, server.clock, std::chrono::milliseconds(1000)) == TransferEnd::ConnectionLost);
}

TEST_CASE("A truncated head is reported as a complete response")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n";
    for (size_t length = 0; length < head.size(); ++length) {
        CAPTURE(length);
        const RawServer server(head.substr(0, length), "");
        const SystemClock clock;
        HttpClient client(clock);
        CHECK(performGet(client, clock, std::chrono::milliseconds(1000)) != TransferEnd::Complete);
    }
}

TEST_CASE("A malformed response reaches the reader")
{
    const std::string body = "Content-Length: 5\r\n\r\nhello";
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::vector<std::string> responses;
    for (const std::string start : { "HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 600 X",
             "HTTP/1.1 999 X", "HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 2x0 X", "HTTP/1.1 +20 X", "HTTP/1.1 -20 X",
             "HTTP/1.1  200 X", "HTTP/1.1 ", "HTTP/1.1\t200 X", "HTTP/0.9 200 X", "HTTP/1.2 200 X", "HTTP/1.9 200 X",
             "HTTP/2.0 200 X", "HTTP/2 200 X", "HTTP/3 200 X", "HTTP/11 200 X", "HTTP/1.10 200 X", "http/1.1 200 X",
             "HTTP 200 X", "ICY 200 X", " HTTP/1.1 200 X", "\r\nHTTP/1.1 200 X", "HTTP/1.1 200 a\rb",
             "HTTP/1.1 200 a\x01z", "HTTP/1.1 200 a\x7fz" })
        responses.push_back(start + "\r\n" + body);
    for (const std::string line :
        { ": x", " : x", "X : x", "X\t: x", " X: x", "\tX: x", "X Y: x", "X\x01: x", "\x1fX: x", "X\x7f: x", "X\r: x",
            "X(: x", "X/Y: x", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK: x", "X\x80: x", "X\xff: x", "X", "X: a\r\n b: c",
            "X: a\r\n\tb", "X: a\x01z", "X: a\x7fz", "X: a\rb", "X: y\nZ: y", "Content-Length : 3", "Content-Length: 6",
            "Transfer-Encoding: chunked", "Transfer-Encoding: gzip", "Content-Type: a/b\r\nContent-Type: a/c",
            "Snipeweir-Outcome: done\r\nSnipeweir-Outcome: not_run", "Connection\x01: close" }) {
        responses.push_back("HTTP/1.1 200 OK\r\n" + line + "\r\n" + body);
        responses.push_back("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n" + line + "\r\n\r\nhello");
        responses.push_back("HTTP/1.1 103 X\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK\r\n" + body);
    }
    for (const std::string length :
        { "", "-5", "+5", "5x", "0x5", "5.0", "5 5", "5,6", "5,", ",", "18446744073709551616", "18446744073709551615",
            "9223372036854775808", "99999999999999999999999", "\r\n 5" })
        responses.push_back("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nhello");
    for (const std::string coding : { "", "gzip", "identity", "gzip, chunked", "chunked, identity", "chunked, chunked",
             "xchunked", "chunked;q=1", "chunked\r\nTransfer-Encoding: chunked", "\r\n chunked" })
        responses.push_back("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    responses.push_back("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    responses.push_back("HTTP/1.1 200 OK\nContent-Length: 5\n\nhello");
    responses.push_back("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nhello");
    responses.push_back("HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\nHTTP/1.1 200 OK\r\n" + body);
    responses.push_back("HTTP/1.1 204 X\r\n" + body);
    responses.push_back("HTTP/1.1 204 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    responses.push_back("HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n" + body);
    responses.push_back(std::string("HTTP/1.1 200 OK\r\nX\0: y\r\n", 24) + body);
    responses.push_back(std::string("HTTP/1.1 200 OK\r\nX: \0\r\n", 23) + body);
    for (const std::string chunk :
        { "\r\nhello", "x\r\nhello", "-5\r\nhello", "+5\r\nhello", " 5\r\nhello", "0x5\r\nhello", "5 5\r\nhello",
            "5x\r\nhello", "5\nhello", "5\rhello", "5\r\nhello!", "5\r\nhell", "10000000000000005\r\nhello",
            "FFFFFFFFFFFFFFFFF\r\nhello", "5;\x01\r\nhello", "5;=\r\nhello", "5\r\nhello\n" })
        responses.push_back(chunked + chunk + "\r\n0\r\n\r\n");
    for (const std::string line : { "X : y", "X\x01: y", ": y", "X", "X: \x7f", " X: y", "X: y\nZ: y", "X: y\r\n z" })
        responses.push_back(chunked + "5\r\nhello\r\n0\r\n" + line + "\r\n\r\n");
    for (const std::string& response : responses) {
        CAPTURE(response);
        const RawServer server(response, "");
        const SystemClock clock;
        HttpClient client(clock);
        CHECK(performGet(client, clock, std::chrono::milliseconds(1000)) != TransferEnd::Complete);
    }
}

TEST_CASE("A valid response is refused or changed")
{
    const std::string start = "HTTP/1.1 200 OK\r\n";
    const std::string body = "Content-Length: 5\r\n\r\nhello";
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& response : { start + body, "HTTP/1.1 599 X\r\n" + body, "HTTP/1.1 200 \r\n" + body,
             "HTTP/1.1 200 \x80\xff\t:\r\n" + body, "HTTP/1.0 200 OK\r\n" + body,
             start + "X!#$%&'*+-.^_`|~09az: y\r\n" + body, start + "X:\t \x80\xff a\tb \t\r\nY:\r\n" + body,
             start + "Content-Length: 5\r\n" + body, start + "Content-Length: 05\r\n\r\nhello",
             "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 199 X\r\nX: y\r\n\r\n" + start + body,
             "HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\n" + start + body, chunked + "5\r\nhello\r\n0\r\n\r\n",
             chunked + "005\r\nhello\r\n000\r\n\r\n", chunked + "1;a\r\nh\r\n4;a=b;c=\"d;e\"\r\nello\r\n0;f\r\n\r\n",
             chunked + "5\r\nhello\r\n0\r\nX: y\r\nZ: z\r\n\r\n",
             start + "Content-Type: a/b\r\nContent-Type: a/b\r\n" + body }) {
        CAPTURE(response);
        const RawServer server(response, "");
        const SystemClock clock;
        HttpClient client(clock);
        std::string received;
        HttpRequest request;
        request.to = address;
        request.deadline = clock.now() + std::chrono::seconds(2);
        TransferHooks hooks;
        hooks.onBody = [&](std::string_view piece) {
            received.append(piece);
            return true;
        };
        CHECK(client.perform(std::move(request), std::move(hooks)) == TransferEnd::Complete);
        CHECK(received == "hello");
    }
}

TEST_CASE("Lines without end hold a transfer until its deadline, or memory")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::string interims;
    std::string fields;
    for (int i = 0; i < 4000; ++i) {
        interims += interim;
        fields += "X-Filler: x\r\n";
    }
    const std::string filler(100'000, 'x');
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n";
    const std::vector<std::pair<std::string, std::string>> responses { { "", interims },
        { "HTTP/1.1 200 OK\r\n", fields }, { "HTTP/1.1 200 OK\r\nX-Filler: ", filler }, { "HTTP/1.1 200 ", filler },
        { chunked + "0\r\n", fields }, { chunked + "0\r\nX-Filler: ", filler }, { chunked + "5;", filler } };
    for (size_t index = 0; index < responses.size(); ++index) {
        CAPTURE(index);
        const RawServer server(responses[index].first, responses[index].second);
        const int64_t before = residentBytes();
        const SystemClock clock;
        HttpClient client(clock);
        const auto begin = clock.now();
        CHECK(performGet(client, clock, std::chrono::milliseconds(1000)) != TransferEnd::Complete);
        CHECK(clock.now() - begin < std::chrono::seconds(2));
        CHECK(residentBytes() - before < 32'000'000);
    }
}

TEST_CASE("Bytes after a response are taken for the response to the next request")
{
    // The server sends them with the response, or while the connection is idle.
    for (const auto delay : { std::chrono::milliseconds(0), std::chrono::milliseconds(50) }) {
        CAPTURE(delay.count());
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
        const RawServer server(head + "first", "", { delay, head + "other" });
        const SystemClock clock;
        HttpClient client(clock);
        CHECK(performGet(client, clock, std::chrono::milliseconds(1000)) == TransferEnd::Complete);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        // The server takes no further connection.
        CHECK(performGet(client, clock, std::chrono::milliseconds(300)) != TransferEnd::Complete);
    }
}

TEST_CASE("Interim responses count as progress")
{
    const TestServer server([](HttpServerExchange& exchange) {
        for (int i = 0; i < 6; ++i) {
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
            exchange.sendInterim();
        }
        exchange.respond(200, {}, "late");
    });
    HttpClient client(server.clock);
    CHECK(performGet(client, server.clock, std::chrono::milliseconds(400)) == TransferEnd::Complete);
}

TEST_CASE("A request that was sent on a reused connection is never reported as ConnectFailed")
{
    // Guards against reporting not_run for a request that has run: libcurl resent the request after the reused
    // connection was lost, and the resend could not connect, although the server had run the first send.
    SystemClock clock;
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    const int enabled = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(port + 1);
    inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
    REQUIRE(bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) == 0);
    REQUIRE(listen(listener, 1) == 0);

    // Responds to the first request, reads the second, then closes the listener and the connection without a response.
    std::thread peer([listener] {
        const int connection = accept(listener, nullptr, nullptr);
        std::array<char, 4096> block {};
        recv(connection, block.data(), block.size(), 0);
        constexpr std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        send(connection, response.data(), response.size(), MSG_NOSIGNAL);
        recv(connection, block.data(), block.size(), 0);
        close(listener);
        close(connection);
    });
    HttpClient client(clock);
    HttpRequest request;
    request.to = { "127.0.0.1", port + 1 };
    request.method = "POST";
    request.body = "handover";
    request.deadline = clock.now() + std::chrono::seconds(3);
    CHECK(client.perform(request, {}) == TransferEnd::Complete);
    CHECK(client.perform(request, {}) == TransferEnd::ConnectionLost);
    peer.join();
}
