#include "tests/snipeweirctl/CannedServer.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace {

struct RunResult {
    int exitCode = -1;
    std::string output;

    bool contains(const std::string& text) const { return output.find(text) != std::string::npos; }
};

/// Runs snipeweirctl with standard error redirected to standard output.
RunResult run(const std::string& arguments)
{
    RunResult result;
    const std::string command = std::string(SNIPEWEIR_PROGRAM_DIRECTORY) + "/snipeweirctl " + arguments + " 2>&1";
    FILE* pipe = popen(command.c_str(), "r");
    REQUIRE(pipe);
    std::array<char, 4096> buffer {};
    while (const size_t count = fread(buffer.data(), 1, buffer.size(), pipe))
        result.output.append(buffer.data(), count);
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return result;
}

/// File in /tmp that the destructor removes.
class TemporaryFile {
public:
    explicit TemporaryFile(const std::string& text)
    {
        static int count = 0;
        m_path = "/tmp/snipeweirctl-test-" + std::to_string(getpid()) + "-" + std::to_string(count++) + ".json";
        std::ofstream(m_path) << text;
    }
    ~TemporaryFile() { std::remove(m_path.c_str()); }
    TemporaryFile(const TemporaryFile&) = delete;
    TemporaryFile& operator=(const TemporaryFile&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

std::string okResponse(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
        + "\r\nConnection: close\r\n\r\n" + body;
}

const std::string deployment = std::string(SNIPEWEIR_SOURCE_DIRECTORY) + "/deployments/";

}

TEST_CASE("Wrong usage exits with 64, help and version with 0")
{
    for (const char* arguments : { "", "frob", "check", "check a b", "effective a --service s", "status", "--frob",
             "status --node localhost:1", "status --node 127.0.0.1:1 --timeout-ms 0", "check a --node 127.0.0.1:1",
             "effective a --service 'a b' --data-centre d", "explain --node 127.0.0.1:1 '../status'", "check a --as vm",
             "check a --as vms --vms b" }) {
        const RunResult result = run(arguments);
        CHECK_MESSAGE(result.exitCode == 64, arguments, result.output);
    }
    CHECK(run("--help").exitCode == 0);
    CHECK(run("--help").contains("64  wrong usage"));
    CHECK(run("--version").output == "snipeweirctl " SNIPEWEIR_VERSION "\n");
}

TEST_CASE("check prints one line for each fault and exits with 2")
{
    CHECK(run("check " + deployment + "montevideo.json").exitCode == 0);
    const TemporaryFile faulty(R"({"revision": 0, "defaults": {"slots_count": 0, "slot": 1}})");
    const RunResult result = run("check " + faulty.path());
    CHECK(result.exitCode == 2);
    CHECK(result.output
        == faulty.path() + ": $.revision: found 0, allowed an integer in 1..9007199254740991\n" + faulty.path()
            + ": $.defaults.slots_count: found 0, allowed an integer in 1..10000\n" + faulty.path()
            + ": $.defaults.slot: found an unknown key, allowed only the keys of the documentation\n");
    CHECK(run("check /nonexistent").exitCode == 2);
    CHECK(run("check --as settings " + deployment + "montevideo.json").exitCode == 2);
    CHECK(run("effective --service s --data-centre d " + faulty.path()).exitCode == 2);
    CHECK(run("diff " + deployment + "montevideo.json " + faulty.path()).exitCode == 2);
    CHECK(run("check --vms " + faulty.path() + " " + deployment + "montevideo.json").exitCode == 2);
    const TemporaryFile emptyList(R"({"revision": 1, "vms": []})");
    CHECK(run("check --vms " + emptyList.path() + " " + deployment + "montevideo.json").contains("not in the VM list"));
}

TEST_CASE("check of a platform configuration misses a key that is held twice, or shows it")
{
    const std::string good = R"({"typeUrl":"tenants","metadata":{"name":"a"},"spec":{"apiKeys":["secret-1"]}})";
    const std::string other
        = R"({"typeUrl":"tenants","metadata":{"name":"b"},"spec":{"apiKeys":["secret-1"],"rate":1}})";
    const TemporaryFile valid(R"({"version":"1","resources":[)" + good + "]}");
    CHECK(run("check --as platform-configuration " + valid.path()).exitCode == 0);
    const TemporaryFile faulty(R"({"version":"1","resources":[)" + good + "," + other + "]}");
    for (const char* format : { "", "--json " }) {
        const RunResult result = run(std::string("check ") + format + "--as platform-configuration " + faulty.path());
        CHECK(result.exitCode == 2);
        CHECK(result.contains("$.resources[1].spec.apiKeys[0]"));
        CHECK(result.contains("the unknown field rate"));
        CHECK_FALSE(result.contains("secret"));
    }
}

TEST_CASE("effective and diff print values, origins and changes")
{
    const TemporaryFile changed(R"({"revision": 2, "defaults": {"slots_count": 10, "cross_data_centre_cost_us": 1000},
        "exceptions": [{"match": {"service": "fichas"}, "set": {"slots_count": 9}, "reason": "larger VMs"}],
        "data_centres": {"mvd-a": {"in_service": false, "reason": "power work"}}})");
    const RunResult effective = run("effective --json --service fichas --data-centre mvd-a " + changed.path());
    CHECK(effective.exitCode == 0);
    CHECK(effective.contains("\"reason\" : \"larger VMs\""));
    CHECK(effective.contains("\"data_centre_in_service\" : false"));
    const RunResult diff = run("diff " + deployment + "montevideo.json " + changed.path());
    CHECK(diff.exitCode == 0);
    CHECK(diff.output
        == "revision 1 -> 2\n"
           "target             key          before   after\n"
           "service fichas     slots_count  not set  9\n"
           "service fichas     reason       not set  larger VMs\n"
           "data centre mvd-a  in_service   true     false\n"
           "data centre mvd-a  reason       not set  power work\n");
}

TEST_CASE("The response of a node is printed as a table or JSON, with control characters escaped")
{
    const std::string body = R"({"vm":"vm-1","revision":7,"members":[{"vm":"vm-2","age_ms":5},{"vm":"v\u001b[2J"}],)"
                             R"("view":{"stale":false}})";
    CannedServer server(okResponse(body), CannedServer::AfterResponse::Close);
    const RunResult table = run("fleet --node " + server.address());
    CHECK(table.exitCode == 0);
    CHECK(server.requestLine() == "GET /admin/fleet HTTP/1.1");
    CHECK(table.output
        == "revision  7\nvm        vm-1\n\nmembers (2)\nage_ms  vm\n5       vm-2\n-       v\\x1b[2J\nview.stale  "
           "false\n");
    CHECK(run("fleet --json --node " + server.address()).contains("\"age_ms\" : 5"));
    CHECK(run("explain 3f-9 --node " + server.address()).exitCode == 0);
    CHECK(server.requestLine() == "GET /admin/explain/3f-9 HTTP/1.1");

    CannedServer chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                         "4\r\n{\"a\"\r\n3\r\n:1}\r\n0\r\n\r\n",
        CannedServer::AfterResponse::Close);
    CHECK(run("status --node " + chunked.address()).output == "a  1\n");
}

TEST_CASE("A node that is unreachable, silent or sends no complete JSON object makes snipeweirctl exit with 1 in time")
{
    CHECK(run("status --node 127.0.0.1:1").exitCode == 1);
    const std::string responses[] = {
        "",
        "garbage\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\n{\"a\":1}\r\n",
        okResponse("[1]"),
        okResponse("{\"a\":1"),
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 000 X\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "HTTP/1.1 2000 X\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "HTTP/2.0 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nX : y\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nX\x01: y\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nX: y\r\n Z: y\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nContent-Length: 8\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nContent-Length: +7\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nContent-Length: 7\r\nTransfer-Encoding: gzip\r\n\r\n{\"a\":1}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7x\r\n{\"a\":1}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}",
    };
    for (const std::string& response : responses) {
        CannedServer server(response, CannedServer::AfterResponse::Close);
        const RunResult result = run("status --node " + server.address());
        CHECK_MESSAGE(result.exitCode == 1, response, result.output);
    }
    CannedServer unknown("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", CannedServer::AfterResponse::Close);
    CHECK(run("explain c1 --node " + unknown.address()).contains("call c1 is unknown"));

    // The node stops sending before the response or in the middle of its body.
    for (const std::string& response : { responses[0], responses[2] }) {
        CannedServer silent(response, CannedServer::AfterResponse::StaySilent);
        const auto start = std::chrono::steady_clock::now();
        CHECK(run("status --timeout-ms 200 --node " + silent.address()).exitCode == 1);
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    }
}

TEST_CASE("trace prints the steps of a request and names a file that cannot be read")
{
    const TemporaryFile log("{\"at_ms\":15,\"node\":\"n1\",\"event\":\"answered\",\"id\":\"ab\",\"outcome\":\"not_"
                            "run\",\"reason\":\"queue_full\"}\n");
    const RunResult found = run("trace ab " + log.path());
    CHECK(found.exitCode == 0);
    CHECK(found.contains("reason=queue_full"));
    const RunResult missing = run("trace ab /nonexistent.log " + log.path() + " --json");
    CHECK(missing.exitCode == 2);
    CHECK(missing.contains("/nonexistent.log: cannot be read"));
    CHECK(missing.contains("\"foreign_lines\""));
    CHECK(run("trace ab").exitCode == 64);
}

TEST_CASE("trace shows that the store was restored from a copy just before the request or during it")
{
    const auto change = [](int64_t atMs, const std::string& node, const std::string& before, const std::string& after) {
        return "{\"at_ms\":" + std::to_string(atMs) + ",\"node\":\"" + node
            + "\",\"event\":\"source_era_changed\",\"document\":\"backends\",\"before\":\"" + before
            + "\",\"version\":\"" + after + "\",\"kept\":\"3\",\"dropped\":\"0\"}\n";
    };
    // The request began at 100000 and ended at 100400.
    const std::string request = "{\"at_ms\":100400,\"node\":\"n1\",\"event\":\"answered\",\"id\":\"ab\","
                                "\"outcome\":\"not_run\",\"took_us\":\"400000\",\"backends_revision\":\"5/1790\"}\n";
    const auto trace = [&](const std::string& changes, const std::string& options = "") {
        const TemporaryFile log(changes + request);
        return run("trace ab " + log.path() + options);
    };

    const RunResult before = trace(change(99'700, "n1", "4/1812", "5/1788") + change(99'900, "n2", "4/1810", "5/1789"));
    CHECK(before.contains("backends_revision=5/1790"));
    CHECK(before.contains("document=backends before=4/1812 version=5/1788 kept=3 dropped=0"));
    CHECK(before.contains("era 4 to 5, at 2 of the nodes, the first 300 ms before the request began"));
    // Lines of nodes that did not handle the request are only counted.
    CHECK_FALSE(before.contains("version=5/1789"));
    CHECK(before.output.find("version=5/1788") < before.output.find("backends_revision=5/1790"));

    CHECK(trace(change(100'300, "n2", "4/1812", "5/1788")).contains("the first 300 ms after the request began"));
    CHECK(trace(change(100'100, "n1", "1812", "1/1788")).contains("era 0 to 1"));
    const RunResult twice = trace(change(98'000, "n1", "4/9", "5/7") + change(100'000, "n1", "5/8", "6/3"));
    CHECK(twice.contains("era 4 to 5"));
    CHECK(twice.contains("era 5 to 6"));
    const RunResult json = trace(change(99'700, "n1", "4/1812", "5/1788"), " --json");
    CHECK(json.contains("\"era_changes\""));
    CHECK(json.contains("\"era_before\""));

    CHECK_FALSE(trace(change(94'000, "n1", "4/1812", "5/1788")).contains("restored"));
    CHECK_FALSE(trace(change(100'500, "n1", "4/1812", "5/1788")).contains("restored"));
    for (const char* malformed : { "", "5/", "/5", "5/1/2", "5/x", "-1/2", "99999999999999999999/1" }) {
        const RunResult result = trace(change(99'700, "n1", "4/1812", malformed));
        CHECK(result.exitCode == 0);
        CHECK_FALSE_MESSAGE(result.contains("restored"), malformed);
    }
}
