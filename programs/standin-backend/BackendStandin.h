#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Result.h"
#include "snipeweir/transport/HttpClient.h"
#include "snipeweir/transport/HttpServer.h"

#include <condition_variable>
#include <cstdint>
#include <json/json.h>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace snipeweir {

struct BackendStandinSettings {
    std::string address; ///< "ip:port"
    std::string nodeAddress; ///< Public address of the node on the same VM, for calls to other services; may be empty.
    uint32_t slots = 10; ///< Starts beyond this many running requests are counted, but served.
    std::chrono::microseconds serviceTime { 5000 }; ///< Mean time to serve a request while warm.
    uint32_t coldLimit = 2; ///< Requests that run concurrently while cold; those beyond it fail with status 500.
    uint32_t warmAfter = 50; ///< Completed requests after which a cold server is warm.
    bool startsCold = false;
};

/// Stand-in for a backend server, for tests and the demo. Serves lookups, writes with idempotency keys and downloads
/// with responses that a caller can verify, records the runs of all writes, and injects faults that are switched on and
/// off over HTTP.
class BackendStandin {
public:
    BackendStandin(BackendStandinSettings, const Clock&);

    /// Starts to serve requests on threads of the HTTP server.
    Result<void> listen();
    /// Ends waiting requests and stops the HTTP server.
    void stop();

private:
    /// Injected faults, see setFaults().
    struct Faults {
        double slowFactor = 1; ///< Multiplies the service time and the pauses between pieces of a download.
        bool isSilent = false; ///< Runs requests, but sends no response; aborts their connections when the fault ends.
        bool isSilentInBody = false; ///< Stops downloads in the middle of the body until the fault ends.
        bool failsFast = false; ///< Responds with status 500 without the service time.
        bool sheds = false; ///< Refuses requests before they start.
        bool isDraining = false; ///< Refuses requests and reports the status "draining".
        bool reportsFalsely = false; ///< The health and load endpoints report an idle, healthy server.
    };
    /// Run of a write.
    struct Run {
        std::string operation;
        std::string key;
        int64_t startedAtMs = 0;
        bool isComplete = false;
    };
    enum class StartResult {
        Started,
        NotStarted, ///< Refused before the start.
        Failed, ///< Started and failed at once.
    };

    void handle(HttpServerExchange&);
    void handleControl(HttpServerExchange&, const std::string& path);
    void setFaults(HttpServerExchange&);
    void serveRequest(HttpServerExchange&, const std::string& path);
    void sendResponse(HttpServerExchange&, const std::string& path);
    /// Sends a body of the given length in blocks.
    void streamDownload(HttpServerExchange&, const std::string& id, uint64_t bytes);
    /// Calls the first service through the node beside this server, and passes on the rest of the list.
    /// @param services Comma-separated names of services to call in a chain.
    /// @return Whether the call gave status 200.
    bool callNextService(HttpServerExchange&, const std::string& services);
    /// Applies the faults and counts the start of a request.
    /// @param runIndex Set to the value to pass to endRun().
    StartResult beginRun(const HttpServerExchange&, size_t& runIndex);
    /// Sleeps for the service time; returns early if the call is cancelled or the server stops.
    /// @param fraction Fraction of the service time.
    void simulateServiceTime(const std::string& callId, const std::string& path, double fraction);
    void endRun(const HttpServerExchange&, size_t runIndex, bool isComplete);
    /// Waits until the silent fault ends.
    /// @return Whether the fault was active.
    bool waitWhileSilent();
    Json::Value loadReport();
    Json::Value statistics();

    BackendStandinSettings m_settings;
    const Clock& m_clock;
    HttpClient m_client;
    std::unique_ptr<HttpServer> m_server;

    // Guarded by m_mutex.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    Faults m_faults;
    std::vector<Run> m_runs;
    std::vector<int64_t> m_startTimesMs; ///< Milliseconds of wall time; at most maxRecordedStarts.
    std::set<std::string> m_cancelledCallIds;
    uint32_t m_runningCount = 0;
    uint32_t m_maxRunningCount = 0;
    uint64_t m_startsOverColdLimit = 0;
    uint64_t m_startsOverSlots = 0;
    uint64_t m_healthReadCount = 0;
    uint32_t m_requestsUntilWarm = 0; ///< 0 if warm.
    bool m_isStopping = false;
};

}
