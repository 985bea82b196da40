#pragma once

#include "snipeweir/core/Identity.h"
#include "snipeweir/core/Result.h"

#include <chrono>
#include <string>
#include <vector>

namespace snipeweir {

/// Format of results on standard output.
enum class OutputFormat {
    Table,
    Json,
};

/// Parsed and validated command line: the command is known and has the arguments and options that it requires.
struct CommandLine {
    std::string command;
    std::vector<std::string> arguments;
    OutputFormat format = OutputFormat::Table;
    ServiceName service;
    DataCentreName dataCentre;
    VmId vm;
    /// Kind of the file for "check": configuration, vms, settings or platform-configuration.
    std::string kind;
    /// File with the VM list; empty if none was given.
    std::string vmListPath;
    /// Public listener of the node to query; port 0 if --node was not given.
    Address node;
    /// Longest time for connecting to a node and reading its whole response.
    std::chrono::milliseconds timeout { 3'000 };

    /// @param count Number of arguments.
    /// @param values Arguments as for main().
    /// @return The command line, or ErrorCode::InvalidArgument with a message for the user. The command is "help" or
    ///     "version" for --help and --version.
    static Result<CommandLine> parse(int count, const char* const* values);

    /// @return Text that --help prints.
    static std::string help();
};

}
