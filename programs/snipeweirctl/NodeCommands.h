#pragma once

#include "programs/snipeweirctl/CommandLine.h"
#include "programs/snipeweirctl/ExitCode.h"

#include <ostream>

namespace snipeweir {

/// Runs the commands that query a node: status, fleet, events and explain.
class NodeCommands {
public:
    /// @param commandLine Validated command line; must outlive this object.
    /// @param out Stream for results.
    /// @param errors Stream for errors.
    NodeCommands(const CommandLine& commandLine, std::ostream& out, std::ostream& errors);

    /// @return ExitCode::Ok or ExitCode::NodeFailed.
    ExitCode run();

private:
    const CommandLine& m_commandLine;
    std::ostream& m_out;
    std::ostream& m_errors;
};

}
