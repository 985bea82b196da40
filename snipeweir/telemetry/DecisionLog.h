#pragma once

#include "snipeweir/core/CallTypes.h"
#include "snipeweir/core/Clock.h"
#include "snipeweir/core/Identity.h"
#include "snipeweir/routing/RouterTypes.h"

#include <array>
#include <cstddef>
#include <json/json.h>
#include <mutex>
#include <string>
#include <vector>

namespace snipeweir {

/// One decision or event in the handling of a call.
struct DecisionRecord {
    enum class Kind {
        Chosen,
        NoEndpoint,
        Refused,
        Lost,
        Retried,
        RetryDenied,
        Hedged,
        HedgeDenied,
        Finished,
    };
    CallId call;
    Kind kind = Kind::Chosen;
    SteadyTime at {};
    /// Number of the attempt that the record belongs to, starting at 1.
    uint32_t attempt = 1;
    VmId vm;
    Outcome outcome = Outcome::Done;
    Reason reason = Reason::None;
    RetryReason retryReason = RetryReason::AfterRefusal;
    std::vector<CandidateRecord> considered;
};

/// Ring buffer of routing and retry decisions, read by the explain command. When it is full, a new record overwrites
/// the oldest. Names are truncated to maxNameLength and candidate lists to maxCandidates, so that memory use is
/// constant. Thread-safe.
class DecisionLog {
public:
    static constexpr size_t maxCandidates = 4;
    static constexpr size_t maxNameLength = 64;

    /// @param capacity Number of records kept, greater than 0. A call adds 2 to about 8 records.
    explicit DecisionLog(size_t capacity = 4096);

    void append(const DecisionRecord&);

    /// @return {"call": ID, "records": [...]} with the records of the call, oldest first; null if there are none.
    Json::Value find(const CallId&) const;

    /// @return All records kept, oldest first, one JSON object per line. Deterministic: the same records always give
    /// the same bytes.
    std::string text() const;

private:
    struct FixedString {
        std::array<char, maxNameLength> characters {};
        uint8_t length = 0;
    };
    struct Candidate {
        FixedString vm;
        CandidateRecord record;
    };
    struct Entry {
        FixedString call;
        FixedString vm;
        DecisionRecord record;
        std::array<Candidate, maxCandidates> considered;
        size_t consideredCount = 0;
    };

    static void assign(FixedString&, const std::string&);
    static DecisionRecord toRecord(const Entry&);
    static Json::Value toJson(const DecisionRecord&);
    /// @param call Call to select; all calls if null.
    std::vector<DecisionRecord> records(const std::string* call) const;

    mutable std::mutex m_mutex;
    std::vector<Entry> m_entries;
    size_t m_next = 0;
    size_t m_count = 0;
};

}
