#pragma once

#include "snipeweir/core/Result.h"

#include <string>
#include <string_view>
#include <vector>

namespace snipeweir {

/// One fault in a configuration document, described in printable text without line breaks.
struct ConfigurationFault {
    std::string path;
    std::string found;
    std::string allowed;

    /// @return The fault as one line without the file's name.
    std::string text() const { return path + ": found " + found + ", allowed " + allowed; }

    bool operator==(const ConfigurationFault&) const = default;
};

/// Collects the faults of one document. Keeps the first fault of each path, up to a fixed number of faults.
class FaultList {
public:
    /// @param path JSON path of the value.
    /// @param found Description of the value that the document has.
    /// @param allowed Description of the values that are allowed.
    void add(std::string path, std::string found, std::string allowed);

    bool isEmpty() const { return m_faults.empty(); }
    const std::vector<ConfigurationFault>& faults() const { return m_faults; }

    /// @param document Name of the document, which starts each line of the message.
    /// @return An error with one line for each fault. The list must not be empty.
    boost::leaf::error_id toError(std::string_view document) const;

private:
    std::vector<ConfigurationFault> m_faults;
};

}
