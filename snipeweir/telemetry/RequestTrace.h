#pragma once

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace snipeweir {

/// Collects the log lines of one request, and of the calls that it led to, from the logs of many nodes. The calls of a
/// request carry its id as their prefix. For one thread.
class RequestTrace {
public:
    struct Step {
        int64_t atMs = 0;
        std::string node;
        std::string event;
        std::string id;
        /// The other fields, as "name=value".
        std::vector<std::string> fields;
        /// The whole line.
        std::string line;
    };

    explicit RequestTrace(std::string id)
        : m_id(std::move(id))
    {
    }

    /// Takes the log of one node. Lines that are cut or not of this product are counted and left out.
    void read(std::istream&);

    /// @return The steps in the order of their times.
    const std::vector<Step>& steps();

    size_t foreignLines() const { return m_foreignLines; }

    /// @return What the lines leave open, for example a request that was sent and never answered; empty if nothing.
    std::vector<std::string> gaps();

private:
    std::string m_id;
    std::vector<Step> m_steps;
    size_t m_foreignLines = 0;
};

}
