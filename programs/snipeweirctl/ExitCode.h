#pragma once

namespace snipeweir {

/// Exit codes of snipeweirctl; docs/operators.md lists them.
enum class ExitCode {
    Ok = 0,
    NodeFailed = 1, ///< The node cannot be reached, its response is malformed, or it does not know the call.
    FileFaults = 2, ///< A file has faults or cannot be read.
    WrongUsage = 64,
};

}
