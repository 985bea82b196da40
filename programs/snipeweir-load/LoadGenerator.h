#pragma once

#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Random.h"
#include "snipeweir/transport/HttpClient.h"

#include <atomic>
#include <cstdint>
#include <json/json.h>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace snipeweir {

struct LoadSettings {
    std::vector<Address> nodes; ///< Public addresses; each call goes to a random one.
    std::vector<Address> backends; ///< Backend servers whose run statistics are read at the end.
    /// The first serves public lookups, the second internal lookups (the first if there is only one), the first two
    /// writes and the last downloads.
    std::vector<std::string> services;
    std::chrono::seconds duration { 20 };
    uint64_t seed = 1;
    double callsPerSecond = 300; ///< Mean rate of all callers together.
    uint32_t threads = 48; ///< Concurrent callers; each sends one call at a time.
    bool isLookupsOnly = false; ///< Sends public lookups only, to measure the latency of the call path.
    uint64_t downloadBytes = 3'000'000;
    std::chrono::milliseconds deadline { 2000 }; ///< Of each call but downloads.
    /// Rate of lookup pairs: one through a node, then one directly to the backend server that responded. 0 sends none.
    double pairsPerSecond = 20;
};

/// Generates a seeded load of lookups, writes with idempotency keys and downloads. Callers retry as the API contract
/// allows: a write that was not run with a new key, a write of unknown outcome with the same key. At the end the
/// outcomes that callers saw are compared with the runs that the backend servers recorded.
class LoadGenerator {
public:
    LoadGenerator(LoadSettings, const Clock&);

    /// Generates load for the configured duration. Blocks until all callers have finished.
    /// @return The results as one JSON object.
    Json::Value run();

private:
    /// Outcome of an operation as its responses report it.
    enum class ReportedOutcome {
        Done,
        NotRun,
        Unknown,
        Failed, ///< Ran, with a status other than 200.
    };
    struct Response {
        TransferEnd end = TransferEnd::ConnectionLost;
        int status = 0;
        std::string outcomeHeader; ///< Value of Snipeweir-Outcome; empty if absent.
        std::string reason;
        std::string servedBy;
        std::string callId;
        std::string body;
        uint64_t bodyBytes = 0;
        bool isBodyCorrect = true; ///< False if a byte of a download differs from the expected one.
        bool hasReceivedHead = false;
    };
    struct WriteRecord {
        std::string service;
        ReportedOutcome outcome = ReportedOutcome::Unknown;
    };

    /// Sends calls with exponentially distributed intervals until the end of the load.
    void runCaller(uint32_t index);
    /// Measures the latency that nodes add, by lookup pairs.
    void runLookupPairs();
    void lookUp(Random&, const std::string& callClass);
    void write(Random&, const std::string& operation);
    void download(Random&);
    /// Sends a request to a node or backend server and waits for the end of the transfer.
    /// @param downloadId Download whose body is checked as it arrives; empty keeps the body instead.
    Response send(const Address&, HttpRequest, const std::string& downloadId);
    HttpRequest makeRequest(const std::string& method, const std::string& target) const;
    const Address& pickNode(Random&) const;
    ReportedOutcome outcomeOf(const Response&) const;
    void countOutcome(ReportedOutcome, const Response&);
    /// Reads the recorded runs from all backend servers and adds violations of the API contract to the result.
    void compareWithBackends(Json::Value& result);

    LoadSettings m_settings;
    const Clock& m_clock;
    HttpClient m_client;
    SteadyTime m_end;
    std::atomic<uint64_t> m_nextOperation { 0 };

    // Guarded by m_mutex.
    std::mutex m_mutex;
    std::map<std::string, uint64_t> m_counts;
    std::map<std::string, uint64_t> m_reasonCounts;
    std::vector<double> m_lookupLatenciesMs;
    std::vector<double> m_pairNodeLatenciesMs;
    std::vector<double> m_pairDirectLatenciesMs;
    std::map<std::string, WriteRecord> m_writes; ///< By operation id.
    Json::Value m_interruptedDownloads { Json::arrayValue };
};

}
