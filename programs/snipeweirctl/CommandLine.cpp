#include "programs/snipeweirctl/CommandLine.h"

#include "snipeweir/configuration/ObjectReader.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <map>
#include <set>

namespace snipeweir {

namespace {

    /// Arguments and options that a command accepts.
    struct CommandRule {
        size_t argumentCount = 0;
        std::set<std::string> requiredOptions;
        std::set<std::string> optionalOptions;
        /// Whether argumentCount is only the minimum.
        bool acceptsMoreArguments = false;
    };

    const std::map<std::string, CommandRule>& commandRules()
    {
        static const std::map<std::string, CommandRule> rules {
            { "check", { 1, {}, { "as", "vms" } } },
            { "effective", { 1, { "service", "data-centre" }, { "vm" } } },
            { "diff", { 2, {}, { "vms" } } },
            { "keys", { 0, {}, {} } },
            { "status", { 0, { "node" }, { "timeout-ms" } } },
            { "fleet", { 0, { "node" }, { "timeout-ms" } } },
            { "events", { 0, { "node" }, { "timeout-ms" } } },
            { "explain", { 1, { "node" }, { "timeout-ms" } } },
            { "trace", { 2, {}, {}, true } },
        };
        return rules;
    }

    cxxopts::Options createOptions()
    {
        cxxopts::Options options("snipeweirctl",
            "Checks configuration files and queries nodes.\n\n"
            "Commands:\n"
            "  check FILE       report all faults in a file\n"
            "  effective FILE   print the effective values for a service and the origin of each\n"
            "  diff OLD NEW     print the changes between two fleet configurations and their targets\n"
            "  keys             print all keys of the fleet configuration as a Markdown table\n"
            "  status           print the state of a node\n"
            "  fleet            print a node's view of the fleet\n"
            "  events           print the latest changes of a node's state and view of the fleet\n"
            "  explain CALL_ID  print the decisions of a node on a call\n"
            "  trace ID FILE... print a request's path through the logs of many nodes\n");
        options.positional_help("COMMAND [ARGUMENT...]");
        options.add_options()("as", "kind of the file to check: configuration, vms, settings or platform-configuration",
            cxxopts::value<std::string>()->default_value("configuration"), "KIND")("vms",
            "file with the VM list, to check names (check) or count affected VMs (diff)", cxxopts::value<std::string>(),
            "FILE")("service", "service for effective", cxxopts::value<std::string>(), "S")(
            "data-centre", "data centre for effective", cxxopts::value<std::string>(), "D")("vm", "VM for effective",
            cxxopts::value<std::string>(), "V")("node", "public listener of the node", cxxopts::value<std::string>(),
            "IP:PORT")("timeout-ms", "timeout for the response of a node in milliseconds, 1..60000",
            cxxopts::value<std::string>()->default_value("3000"),
            "N")("json", "print JSON instead of a table")("h,help", "print this text")("version", "print the version")(
            "words", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({ "words" });
        return options;
    }

    Result<CommandLine> validate(const cxxopts::ParseResult& options)
    {
        CommandLine commandLine;
        if (options.count("help") || options.count("version")) {
            commandLine.command = options.count("help") ? "help" : "version";
            return commandLine;
        }

        // Validate the command and its arguments.
        if (!options.count("words"))
            return fail(ErrorCode::InvalidArgument, "No command was given.");
        const auto& words = options["words"].as<std::vector<std::string>>();
        commandLine.command = words.front();
        commandLine.arguments.assign(words.begin() + 1, words.end());
        const auto rule = commandRules().find(commandLine.command);
        if (rule == commandRules().end())
            return fail(ErrorCode::InvalidArgument, "The command " + commandLine.command + " is unknown.");
        const bool isCountValid = rule->second.acceptsMoreArguments
            ? commandLine.arguments.size() >= rule->second.argumentCount
            : commandLine.arguments.size() == rule->second.argumentCount;
        if (!isCountValid)
            return fail(ErrorCode::InvalidArgument,
                commandLine.command + " requires " + (rule->second.acceptsMoreArguments ? "at least " : "")
                    + std::to_string(rule->second.argumentCount) + " argument(s), but got "
                    + std::to_string(commandLine.arguments.size()) + ".");
        for (const std::string& name : rule->second.requiredOptions) {
            if (!options.count(name))
                return fail(ErrorCode::InvalidArgument, commandLine.command + " requires --" + name + ".");
        }
        for (const cxxopts::KeyValue& option : options.arguments()) {
            const std::string& name = option.key();
            if (name != "words" && name != "json" && !rule->second.requiredOptions.contains(name)
                && !rule->second.optionalOptions.contains(name))
                return fail(ErrorCode::InvalidArgument, commandLine.command + " does not accept --" + name + ".");
        }

        // Validate the values of options.
        const auto optionText
            = [&](const char* name) { return options.count(name) ? options[name].as<std::string>() : std::string(); };
        for (const char* name : { "service", "data-centre", "vm" }) {
            if (options.count(name) && !isName(optionText(name)))
                return fail(ErrorCode::InvalidArgument, "--" + std::string(name) + " must be " + std::string(nameRule));
        }
        commandLine.format = options.count("json") ? OutputFormat::Json : OutputFormat::Table;
        commandLine.service = ServiceName(optionText("service"));
        commandLine.dataCentre = DataCentreName(optionText("data-centre"));
        commandLine.vm = VmId(optionText("vm"));
        commandLine.vmListPath = optionText("vms");
        commandLine.kind = options["as"].as<std::string>();
        const std::set<std::string> kinds { "configuration", "vms", "settings", "platform-configuration" };
        if (!kinds.contains(commandLine.kind))
            return fail(
                ErrorCode::InvalidArgument, "--as must be configuration, vms, settings or platform-configuration.");
        if (commandLine.kind != "configuration" && !commandLine.vmListPath.empty())
            return fail(ErrorCode::InvalidArgument, "--vms can only be used with --as configuration.");
        if (options.count("node")) {
            const auto address = parseAddress(optionText("node"));
            if (!address)
                return fail(ErrorCode::InvalidArgument, "--node must be <IPv4>:<port>.");
            commandLine.node = *address;
        }
        const std::string timeout = options["timeout-ms"].as<std::string>();
        const bool isNumber = !timeout.empty() && timeout.size() <= 5
            && std::all_of(timeout.begin(), timeout.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
        commandLine.timeout = std::chrono::milliseconds(isNumber ? std::stoi(timeout) : 0);
        if (commandLine.timeout.count() < 1 || commandLine.timeout.count() > 60'000)
            return fail(ErrorCode::InvalidArgument, "--timeout-ms must be an integer in 1..60000.");
        if (commandLine.command == "explain" && !isName(commandLine.arguments[0]))
            return fail(ErrorCode::InvalidArgument, "The call id must be " + std::string(nameRule) + ".");
        return commandLine;
    }

}

Result<CommandLine> CommandLine::parse(int count, const char* const* values)
{
    try {
        cxxopts::Options options = createOptions();
        return validate(options.parse(count, values));
    } catch (const cxxopts::exceptions::exception& exception) {
        return fail(ErrorCode::InvalidArgument, exception.what());
    }
}

std::string CommandLine::help()
{
    return createOptions().help()
        + "\nExit codes:\n"
          "  0   done\n"
          "  1   the node cannot be reached, its response is malformed, or it does not know the call\n"
          "  2   a file has faults or cannot be read\n"
          "  64  wrong usage\n";
}

}
