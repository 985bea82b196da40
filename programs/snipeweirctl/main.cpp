#include "programs/snipeweirctl/CommandLine.h"
#include "programs/snipeweirctl/ExitCode.h"
#include "programs/snipeweirctl/FileCommands.h"
#include "programs/snipeweirctl/NodeCommands.h"

#include <civetweb.h>
#include <cstdlib>
#include <iostream>

using namespace snipeweir;

namespace {

ExitCode run(const CommandLine& commandLine)
{
    if (commandLine.command == "help") {
        std::cout << CommandLine::help();
        return ExitCode::Ok;
    }
    if (commandLine.command == "version") {
        std::cout << "snipeweirctl " << SNIPEWEIR_VERSION << '\n';
        return ExitCode::Ok;
    }
    if (commandLine.node.port)
        return NodeCommands(commandLine, std::cout, std::cerr).run();
    return FileCommands(commandLine, std::cout, std::cerr).run();
}

}

int main(int count, char** values)
{
    mg_init_library(0);
    const ExitCode exitCode = handleErrors(
        [&]() -> Result<ExitCode> {
            BOOST_LEAF_AUTO(commandLine, CommandLine::parse(count, values));
            return run(commandLine);
        },
        [](const Error& error) {
            std::cerr << "snipeweirctl: " << error.message << "\nRun 'snipeweirctl --help' for commands and options.\n";
            return ExitCode::WrongUsage;
        });
    std::cout.flush();
    // Exit without destroying static objects: the thread of a request that timed out may still use them.
    std::_Exit(static_cast<int>(exitCode));
}
