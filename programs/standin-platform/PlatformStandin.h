#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Result.h"
#include "snipeweir/transport/HttpServer.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace snipeweir {

/// Stand-in for the platform's configuration service, for tests and the demo. Serves documents with revisions to reads
/// and watches over HTTP, and counts the calls and the waiting watches. Injects faults that are switched over HTTP.
class PlatformStandin {
public:
    explicit PlatformStandin(const Clock&);

    /// Starts to serve requests on threads of the HTTP server.
    /// @param address "ip:port"
    Result<void> listen(const std::string& address);
    /// Ends waiting watches and stops the HTTP server.
    void stop();

private:
    /// Fault of the requests for documents.
    enum class Fault {
        None,
        Stale, ///< Serves the documents as they were when the fault began.
        Slow, ///< Delays each response.
        Dead, ///< Closes the connection without a response.
    };
    struct Document {
        uint64_t revision = 0;
        std::string text;
    };

    void handle(HttpServerExchange&);
    /// Serves a read, or a watch if the query has wait_ms: waits until the revision exceeds the query's "after".
    void serveDocument(HttpServerExchange&, const std::string& name);
    /// Stores a new document from the request body.
    void publish(HttpServerExchange&, const std::string& name);
    void setFault(HttpServerExchange&);
    void serveStatistics(HttpServerExchange&);

    const Clock& m_clock;
    std::unique_ptr<HttpServer> m_server;

    // Guarded by m_mutex.
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Document> m_documents;
    std::map<std::string, Document> m_staleDocuments;
    Fault m_fault = Fault::None;
    std::chrono::milliseconds m_slowDelay { 0 };
    uint64_t m_readCount = 0;
    uint64_t m_watchCount = 0;
    uint32_t m_waitingWatches = 0;
    uint32_t m_maxCallsPerWindow = 0;
    uint32_t m_callsInWindow = 0;
    SteadyTime m_windowStart; ///< Start of the current window of 1 s, in which calls are counted.
    bool m_isStopping = false;
};

}
