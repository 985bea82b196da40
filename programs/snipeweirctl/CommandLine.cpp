#include "programs/snipeweirctl/CommandLine.h"

#include "snipeweir/configuration/ObjectReader.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <map>
#include <set>

namespace snipeweir {

namespace {

    /// What a command takes.
    struct CommandRule {
        size_t arguments = 0;
        std::set<std::string> required;
        std::set<std::string> optional;
        /// Whether more arguments may follow.
        bool takesMore = false;
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
            "Checks configuration files and asks nodes.\n\n"
            "Commands:\n"
            "  check FILE       report all faults of a file\n"
            "  effective FILE   print the values in force for a service and where each comes from\n"
            "  diff OLD NEW     print what changes between two fleet configurations, and where\n"
            "  keys             print all keys of the fleet configuration as a Markdown table\n"
            "  status           print the state of a node\n"
            "  fleet            print what a node knows of the fleet\n"
            "  events           print the latest changes in what a node holds to be true\n"
            "  explain CALL_ID  print how a node decided on a call\n"
            "  trace ID FILE... print a request's path through the logs of many nodes\n");
        options.positional_help("COMMAND [ARGUMENT...]");
        options.add_options()("as", "kind of the file for check: configuration, vms or settings",
            cxxopts::value<std::string>()->default_value("configuration"),
            "KIND")("vms", "file with the VM list: check names against it, or count VMs", cxxopts::value<std::string>(),
            "FILE")("service", "service for effective", cxxopts::value<std::string>(), "S")("data-centre",
            "data centre for effective", cxxopts::value<std::string>(),
            "D")("vm", "VM for effective", cxxopts::value<std::string>(), "V")(
            "node", "public listener of the node", cxxopts::value<std::string>(), "IP:PORT")("timeout-ms",
            "longest wait for a node, 1..60000", cxxopts::value<std::string>()->default_value("3000"),
            "N")("json", "print JSON instead of a table")("h,help", "print this text")("version", "print the version")(
            "words", "", cxxopts::value<std::vector<std::string>>());
        options.parse_positional({ "words" });
        return options;
    }

    Result<CommandLine> check(const cxxopts::ParseResult& options)
    {
        CommandLine line;
        if (options.count("help") || options.count("version")) {
            line.command = options.count("help") ? "help" : "version";
            return line;
        }

        // Check the command and its arguments.
        if (!options.count("words"))
            return fail(ErrorCode::InvalidArgument, "A command is missing.");
        const auto& words = options["words"].as<std::vector<std::string>>();
        line.command = words.front();
        line.arguments.assign(words.begin() + 1, words.end());
        const auto rule = commandRules().find(line.command);
        if (rule == commandRules().end())
            return fail(ErrorCode::InvalidArgument, "The command " + line.command + " is unknown.");
        const bool isCountRight = rule->second.takesMore ? line.arguments.size() >= rule->second.arguments
                                                         : line.arguments.size() == rule->second.arguments;
        if (!isCountRight)
            return fail(ErrorCode::InvalidArgument,
                line.command + " takes " + (rule->second.takesMore ? "at least " : "")
                    + std::to_string(rule->second.arguments) + " arguments, found "
                    + std::to_string(line.arguments.size()) + ".");
        for (const std::string& name : rule->second.required) {
            if (!options.count(name))
                return fail(ErrorCode::InvalidArgument, line.command + " needs --" + name + ".");
        }
        for (const cxxopts::KeyValue& option : options.arguments()) {
            const std::string& name = option.key();
            if (name != "words" && name != "json" && !rule->second.required.contains(name)
                && !rule->second.optional.contains(name))
                return fail(ErrorCode::InvalidArgument, line.command + " does not take --" + name + ".");
        }

        // Check the values of options.
        const auto textOf
            = [&](const char* name) { return options.count(name) ? options[name].as<std::string>() : std::string(); };
        for (const char* name : { "service", "data-centre", "vm" }) {
            if (options.count(name) && !isName(textOf(name)))
                return fail(ErrorCode::InvalidArgument, "--" + std::string(name) + " is no " + std::string(nameRule));
        }
        line.format = options.count("json") ? OutputFormat::Json : OutputFormat::Table;
        line.service = ServiceName(textOf("service"));
        line.dataCentre = DataCentreName(textOf("data-centre"));
        line.vm = VmId(textOf("vm"));
        line.vmListPath = textOf("vms");
        line.kind = options["as"].as<std::string>();
        if (line.kind != "configuration" && line.kind != "vms" && line.kind != "settings")
            return fail(ErrorCode::InvalidArgument, "--as is not configuration, vms or settings.");
        if (line.kind != "configuration" && !line.vmListPath.empty())
            return fail(ErrorCode::InvalidArgument, "--vms is only for checking a fleet configuration.");
        if (options.count("node")) {
            const auto address = parseAddress(textOf("node"));
            if (!address)
                return fail(ErrorCode::InvalidArgument, "--node is no <IPv4>:<port>.");
            line.node = *address;
        }
        const std::string timeout = options["timeout-ms"].as<std::string>();
        const bool isNumber = !timeout.empty() && timeout.size() <= 5
            && std::all_of(timeout.begin(), timeout.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
        line.timeout = std::chrono::milliseconds(isNumber ? std::stoi(timeout) : 0);
        if (line.timeout.count() < 1 || line.timeout.count() > 60'000)
            return fail(ErrorCode::InvalidArgument, "--timeout-ms is not in 1..60000.");
        if (line.command == "explain" && !isName(line.arguments[0]))
            return fail(ErrorCode::InvalidArgument, "The call id is no " + std::string(nameRule) + ".");
        return line;
    }

}

Result<CommandLine> CommandLine::parse(int count, const char* const* values)
{
    try {
        cxxopts::Options options = createOptions();
        return check(options.parse(count, values));
    } catch (const cxxopts::exceptions::exception& exception) {
        return fail(ErrorCode::InvalidArgument, exception.what());
    }
}

std::string CommandLine::help()
{
    return createOptions().help()
        + "\nExit codes:\n"
          "  0   done\n"
          "  1   the node cannot be reached, its answer is malformed, or it does not know the call\n"
          "  2   a file has faults or cannot be read\n"
          "  64  wrong usage\n";
}

}
