#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace snipeweir {

/// Collects the log lines of one request and of the calls made on its behalf from the logs of several nodes. The ID of
/// such a call is the ID of the request followed by "." and a suffix. Not thread-safe.
class RequestTrace {
public:
    struct Step {
        int64_t atMs = 0;
        std::string node;
        std::string event;
        std::string id;
        /// All other string fields, as "name=value".
        std::vector<std::string> fields;
        /// The JSON object, without the prefix that a log collector added.
        std::string line;
    };

    explicit RequestTrace(std::string id)
        : m_id(std::move(id))
    {
    }

    /// Reads the log of one node. Lines that are not complete JSON objects (truncated or written by other programs) are
    /// skipped and counted.
    void read(std::istream&);

    /// @return The steps in chronological order.
    const std::vector<Step>& steps();

    /// @return Number of lines skipped because they are not complete JSON objects.
    size_t skippedLineCount() const { return m_foreignLines; }

    /// @return A sentence for each step that is missing from the logs, for example if no node responded to the request;
    /// empty if the trace is complete.
    std::vector<std::string> openSteps();

private:
    std::string m_id;
    std::vector<Step> m_steps;
    size_t m_foreignLines = 0;
};

}
