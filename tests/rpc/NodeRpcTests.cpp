#include "snipeweir/node/Node.h"

#include <doctest/doctest.h>
#include <thread>

using namespace snipeweir;

namespace {

constexpr uint16_t publicPort = 39420;
constexpr uint16_t internalPort = 39421;
constexpr uint16_t controlPort = 39422;
constexpr uint16_t backendPort = 39423;

std::string vmRecord(const std::string& vm, const std::string& service, const std::string& ip)
{
    return "{\"vm\":\"" + vm + "\",\"data_centre\":\"mvd-a\",\"region\":\"montevideo\",\"service\":\"" + service
        + "\",\"address\":\"" + ip
        + "\",\"public_port\":39420,\"internal_port\":39421,\"control_port\":39422,\"state\":\"live\"}";
}

/// Clock whose steady time runs at half speed, so that a deadline passes at another node first.
class SlowClock final : public Clock {
public:
    SteadyTime now() const override { return m_start + (std::chrono::steady_clock::now() - m_start) / 2; }
    SystemTime wallTime() const override { return std::chrono::system_clock::now(); }

private:
    const SteadyTime m_start = std::chrono::steady_clock::now();
};

/// Nodes "a" and "b", whose clock is slow, with a common control key, node "c" with another key, and VM list entries
/// without a node of their own: nothing listens at "gone", "moved" has the address of "b", and "slow" sends interim
/// responses for 3 s.
class TestNodes {
public:
    TestNodes()
    {
        m_platform = startServer("127.77.0.9", backendPort, [](HttpServerExchange& exchange) {
            const bool isVms = exchange.path().ends_with("/vms");
            if (queryParameter(exchange.query(), "after").value_or("0") != "0")
                return exchange.respond(304, {}, "");
            exchange.respond(200, { { "Document-Revision", "1" } },
                isVms
                    ? "{\"revision\":1,\"vms\":[" + vmRecord("a", "fichas", "127.77.0.1") + ","
                        + vmRecord("b", "informes", "127.77.0.2") + "," + vmRecord("c", "depositos", "127.77.0.3") + ","
                        + vmRecord("gone", "depositos", "127.77.0.4") + ","
                        + vmRecord("moved", "depositos", "127.77.0.2") + ","
                        + vmRecord("slow", "depositos", "127.77.0.5") + "]}"
                    : std::string("{\"revision\":1,\"defaults\":{},\"exceptions\":[],\"data_centres\":{},\"vms\":{}}"));
        });
        m_backend = startServer("127.77.0.2", backendPort, [](HttpServerExchange& exchange) {
            std::this_thread::sleep_for(std::chrono::milliseconds(700));
            exchange.respond(200, {}, "late");
        });
        m_slowNode = startServer("127.77.0.5", internalPort, [](HttpServerExchange& exchange) {
            for (int i = 0; i < 15 && exchange.sendInterim(); ++i)
                std::this_thread::sleep_for(std::chrono::milliseconds(200));
            exchange.respond(200, {}, "{}");
        });
        m_nodes.push_back(createNode("a", "fichas", "127.77.0.1", 'k', m_clock));
        m_nodes.push_back(createNode("b", "informes", "127.77.0.2", 'k', m_slowClock));
        m_nodes.push_back(createNode("c", "depositos", "127.77.0.3", 'x', m_clock));
    }

    HttpResponseHead send(const std::string& ip, uint16_t port, const std::string& method, const std::string& target,
        std::vector<HttpHeader> headers = {})
    {
        HttpRequest request;
        request.to = { ip, port };
        request.method = method;
        request.target = target;
        request.headers = std::move(headers);
        request.noProgressTimeout = std::chrono::seconds(5);
        request.deadline = m_clock.now() + std::chrono::seconds(5);
        return handleErrors(
            [&]() -> Result<HttpResponseHead> {
                BOOST_LEAF_AUTO(response, m_client.fetch(std::move(request), 1'000'000));
                m_body = response.second;
                return response.first;
            },
            [](const Error&) { return HttpResponseHead(); });
    }

    const std::string& body() const { return m_body; }

    bool waitFor(const std::function<bool()>& predicate)
    {
        const SteadyTime end = m_clock.now() + std::chrono::seconds(20);
        while (!predicate()) {
            if (m_clock.now() > end)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    bool hasMetricLine(const std::string& ip, const std::string& line)
    {
        send(ip, publicPort, "GET", "/metrics");
        return m_body.find("\n" + line + "\n") != std::string::npos;
    }

private:
    std::unique_ptr<HttpServer> startServer(
        const std::string& ip, uint16_t port, std::function<void(HttpServerExchange&)> handler) const
    {
        HttpServerSettings settings;
        settings.address = ip + ":" + std::to_string(port);
        settings.handler = std::move(handler);
        return handleErrors([&] { return HttpServer::create(std::move(settings), m_clock); },
            [](const Error& error) -> std::unique_ptr<HttpServer> {
                FAIL(error.message);
                return nullptr;
            });
    }

    std::unique_ptr<Node> createNode(
        const std::string& vm, const std::string& service, const std::string& ip, char key, const Clock& clock) const
    {
        NodeSettings settings;
        settings.vm = VmId(vm);
        settings.dataCentre = DataCentreName("mvd-a");
        settings.region = RegionName("montevideo");
        settings.service = ServiceName(service);
        settings.ip = ip;
        settings.publicPort = publicPort;
        settings.internalPort = internalPort;
        settings.controlPort = controlPort;
        settings.backendPort = backendPort;
        settings.platformAddresses = { { "127.77.0.9", backendPort } };
        settings.seedAddresses = { { "127.77.0.1", controlPort } };
        settings.controlKeys = { { 1, std::string(32, key) } };
        settings.calledServices = { ServiceName("informes") };
        return handleErrors([&] { return Node::create(settings, clock, SNIPEWEIR_SOURCE_DIRECTORY "/charts"); },
            [](const Error& error) -> std::unique_ptr<Node> {
                FAIL(error.message);
                return nullptr;
            });
    }

    SystemClock m_clock;
    SlowClock m_slowClock;
    HttpClient m_client { m_clock };
    std::string m_body;
    std::unique_ptr<HttpServer> m_platform;
    std::unique_ptr<HttpServer> m_backend;
    std::unique_ptr<HttpServer> m_slowNode;
    std::vector<std::unique_ptr<Node>> m_nodes;
};

}

TEST_CASE("Nodes with a common key can query and cancel over JSON-RPC, and a node with another key can do neither")
{
    TestNodes nodes;
    const auto status = [&](const std::string& vm) {
        return nodes.send("127.77.0.1", publicPort, "GET", "/admin/nodes/" + vm + "/status").status;
    };
    REQUIRE(nodes.waitFor([&] { return status("b") == 200; }));
    CHECK(nodes.body().find("\"vm\":\"b\"") != std::string::npos);
    CHECK(status("c") == 502);
    CHECK(nodes.hasMetricLine("127.77.0.3", "snipeweir_rpc_authentication_refused_bad_mac 1"));
    CHECK(status("gone") == 502);

    // An outdated VM list may contain an address that now belongs to another VM. The status of that VM must not be
    // returned as the status of "moved".
    CHECK(status("moved") == 502);
    CHECK(nodes.body().find("is not moved") != std::string::npos);
    CHECK(status("nobody") == 404);

    // The timeout is 1 s; 250 ms are added for the operator's request itself on a busy machine.
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    CHECK(status("slow") == 504);
    CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::milliseconds(1250));

    // The internal listener refuses unauthenticated cancellation by DELETE, which earlier versions accepted, and
    // unauthenticated JSON-RPC.
    CHECK(nodes.send("127.77.0.2", internalPort, "DELETE", "/calls/1").status >= 400);
    CHECK(nodes.send("127.77.0.2", internalPort, "POST", "/rpc").status == 401);
    CHECK(nodes.hasMetricLine("127.77.0.2", "snipeweir_rpc_authentication_refused_mac_missing 1"));

    // A call past its deadline is cancelled at the serving node, unless that node has reported the deadline before.
    REQUIRE(nodes.waitFor([&] {
        nodes.send("127.77.0.1", publicPort, "GET", "/services/informes/x", { { "Snipeweir-Deadline-Ms", "150" } });
        nodes.send("127.77.0.1", publicPort, "GET", "/metrics");
        return nodes.body().find("snipeweir_cancellations_sent_total") != std::string::npos;
    }));
    CHECK(nodes.body().find("snipeweir_cancellations_failed_total") == std::string::npos);
}
