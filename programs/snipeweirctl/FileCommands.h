#pragma once

#include "programs/snipeweirctl/CommandLine.h"
#include "programs/snipeweirctl/ExitCode.h"
#include "snipeweir/configuration/Catalogue.h"
#include "snipeweir/configuration/FleetConfiguration.h"

#include <memory>
#include <ostream>
#include <string>

namespace snipeweir {

/// Commands that work on files: check, effective, diff, keys and trace.
class FileCommands {
public:
    /// @param line Checked command line.
    /// @param out Where results go.
    /// @param errors Where faults go, one on each line.
    FileCommands(const CommandLine& line, std::ostream& out, std::ostream& errors);

    /// @return Ok or FileFaults.
    ExitCode run();

private:
    ExitCode check();
    ExitCode effective();
    ExitCode diff();
    ExitCode keys();
    ExitCode trace();

    /// @return The file's text; empty after the failure was printed.
    std::optional<std::string> read(const std::string& path);
    std::shared_ptr<const FleetConfiguration> load(const std::string& path, const Catalogue* known);
    /// @return Whether --vms was absent or read without faults.
    bool loadVmList();
    bool printFaults(const std::string& path, const std::vector<ConfigurationFault>& faults);

    const CommandLine& m_line;
    std::ostream& m_out;
    std::ostream& m_errors;
    std::shared_ptr<const Catalogue> m_vmList;
};

}
