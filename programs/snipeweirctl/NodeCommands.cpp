#include "programs/snipeweirctl/NodeCommands.h"

#include "programs/snipeweirctl/JsonOutput.h"
#include "programs/snipeweirctl/NodeClient.h"
#include "programs/snipeweirctl/TablePrinter.h"

namespace snipeweir {

NodeCommands::NodeCommands(const CommandLine& commandLine, std::ostream& out, std::ostream& errors)
    : m_commandLine(commandLine)
    , m_out(out)
    , m_errors(errors)
{
}

ExitCode NodeCommands::run()
{
    const std::string path = "/admin/" + m_commandLine.command
        + (m_commandLine.command == "explain" ? "/" + m_commandLine.arguments[0] : std::string());
    return handleErrors(
        [&]() -> Result<ExitCode> {
            BOOST_LEAF_AUTO(response, NodeClient(m_commandLine.node, m_commandLine.timeout).get(path));
            if (m_commandLine.format == OutputFormat::Json)
                printJson(m_out, response);
            else
                TablePrinter(m_out).printObject(response);
            return ExitCode::Ok;
        },
        [&](const Error& error) {
            const bool isUnknownCall = m_commandLine.command == "explain" && error.code == ErrorCode::NotFound;
            m_errors << (isUnknownCall
                    ? "node " + m_commandLine.node.text() + ": call " + m_commandLine.arguments[0] + " is unknown"
                    : error.message)
                     << '\n';
            return ExitCode::NodeFailed;
        });
}

}
