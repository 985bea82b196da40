#pragma once

#include "snipeweir/fleet/SourceVersion.h"
#include "snipeweir/telemetry/RequestTrace.h"

#include <chrono>
#include <json/value.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// Finds in the logs of nodes which changes of the store's era fall into the time of a traced request or just before,
/// since revisions that nodes name before and after such a change can't be compared. Not thread-safe.
class EraChanges {
public:
    /// Time before a request in which a change of the era still affects it: evacuations that the store lost are kept
    /// for that long.
    static constexpr std::chrono::milliseconds timeBefore { 5000 };

    /// Reads a line of a node's log; ignores lines of other events and malformed ones.
    void readLine(std::string_view line);

    /// @return The log lines of the nodes that handled a request, with the columns of the steps.
    Json::Value rows(const std::vector<RequestTrace::Step>& steps) const;

    /// @return One object for each era that began at any node in the time of the request or just before.
    Json::Value summary(const std::vector<RequestTrace::Step>& steps) const;

    /// @return A sentence on an object of summary().
    static std::string sentence(const Json::Value& change);

    /// @param text Era and revision, separated by a slash, or a revision of a store without eras.
    /// @return The version; empty if the text is malformed.
    static std::optional<SourceVersion> parseVersion(std::string_view text);

private:
    struct Change {
        int64_t atMs = 0;
        std::string node;
        SourceVersion before;
        SourceVersion version;
        /// All other fields, as "name=value".
        std::string fields;
    };
    struct Period {
        int64_t beginMs = 0;
        int64_t endMs = 0;
    };

    /// @return Time of the request itself; empty if there are no steps.
    static std::optional<Period> periodOf(const std::vector<RequestTrace::Step>& steps);
    /// @return The changes that affect a request, in the order of time.
    std::vector<Change> changesOf(const std::vector<RequestTrace::Step>& steps) const;

    std::vector<Change> m_changes;
};

}
