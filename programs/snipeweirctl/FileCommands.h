#pragma once

#include "programs/snipeweirctl/CommandLine.h"
#include "programs/snipeweirctl/ExitCode.h"
#include "snipeweir/configuration/FleetConfiguration.h"
#include "snipeweir/configuration/VmList.h"

#include <memory>
#include <ostream>
#include <string>

namespace snipeweir {

/// Runs the commands that need no node: check, effective, diff, keys and trace.
class FileCommands {
public:
    /// @param commandLine Validated command line; must outlive this object.
    /// @param out Stream for results.
    /// @param errors Stream for faults and errors, one on each line.
    FileCommands(const CommandLine& commandLine, std::ostream& out, std::ostream& errors);

    /// @return ExitCode::Ok or ExitCode::FileFaults.
    ExitCode run();

private:
    ExitCode check();
    ExitCode effective();
    ExitCode diff();
    ExitCode keys();
    ExitCode trace();

    /// @return The text of the file; empty if it cannot be read, after printing the error.
    std::optional<std::string> readFile(const std::string& path);
    /// @param knownVms VM list to check names against; may be null.
    /// @return The configuration; null if it cannot be read or has faults, after printing them.
    std::shared_ptr<const FleetConfiguration> loadConfiguration(const std::string& path, const VmList* knownVms);
    /// Loads the file that --vms names into m_vmList.
    /// @return Whether --vms was absent or the file has no faults. Prints errors and faults.
    bool loadVmList();
    /// @return Whether there are no faults.
    bool printFaults(const std::string& path, const std::vector<ConfigurationFault>& faults);

    const CommandLine& m_commandLine;
    std::ostream& m_out;
    std::ostream& m_errors;
    std::shared_ptr<const VmList> m_vmList;
};

}
