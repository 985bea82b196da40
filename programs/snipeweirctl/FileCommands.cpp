#include "programs/snipeweirctl/FileCommands.h"

#include "platform/ConfigurationCheck.h"
#include "programs/snipeweirctl/EraChanges.h"
#include "programs/snipeweirctl/JsonOutput.h"
#include "programs/snipeweirctl/TablePrinter.h"
#include "snipeweir/configuration/ConfigurationDiff.h"
#include "snipeweir/configuration/NodeSettings.h"
#include "snipeweir/configuration/TextFile.h"
#include "snipeweir/telemetry/RequestTrace.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace snipeweir {

namespace {

    const char* originName(ValueOrigin origin)
    {
        switch (origin) {
        case ValueOrigin::BuiltIn:
            return "built-in";
        case ValueOrigin::Defaults:
            return "defaults";
        case ValueOrigin::Exception:
            return "exception";
        }
        return "";
    }

    /// @return The parsed object, or null on failure. Prints nothing, because the faults were printed before.
    template <typename Parse> auto parseOrNull(Parse&& parse)
    {
        using Pointer = std::decay_t<decltype(parse().value())>;
        return handleErrors(std::forward<Parse>(parse), [](const Error&) { return Pointer(); });
    }

}

FileCommands::FileCommands(const CommandLine& commandLine, std::ostream& out, std::ostream& errors)
    : m_commandLine(commandLine)
    , m_out(out)
    , m_errors(errors)
{
}

ExitCode FileCommands::run()
{
    if (m_commandLine.command == "keys")
        return keys();
    if (m_commandLine.command == "trace")
        return trace();
    if (!loadVmList())
        return ExitCode::FileFaults;
    if (m_commandLine.command == "check")
        return check();
    return m_commandLine.command == "effective" ? effective() : diff();
}

ExitCode FileCommands::trace()
{
    RequestTrace trace(m_commandLine.arguments.front());
    EraChanges eraChanges;
    ExitCode exitCode = ExitCode::Ok;
    for (size_t index = 1; index < m_commandLine.arguments.size(); ++index) {
        std::ifstream file(m_commandLine.arguments[index]);
        if (!file) {
            m_errors << m_commandLine.arguments[index] << ": cannot be read\n";
            exitCode = ExitCode::FileFaults;
            continue;
        }
        // Both read each line at once, because the file may be a pipe.
        for (std::string line; std::getline(file, line);) {
            eraChanges.readLine(line);
            std::istringstream stream(line + '\n');
            trace.read(stream);
        }
    }

    Json::Value result(Json::objectValue);
    result["id"] = m_commandLine.arguments.front();
    std::vector<Json::Value> rows;
    for (const Json::Value& row : eraChanges.rows(trace.steps()))
        rows.push_back(row);
    for (const RequestTrace::Step& step : trace.steps()) {
        Json::Value row(Json::objectValue);
        row["at_ms"] = Json::Int64(step.atMs);
        row["node"] = step.node;
        row["event"] = step.event;
        row["id"] = step.id;
        std::string fields;
        for (const std::string& field : step.fields)
            fields.append(fields.empty() ? "" : " ").append(field);
        row["fields"] = fields;
        rows.push_back(row);
    }
    std::stable_sort(rows.begin(), rows.end(),
        [](const Json::Value& a, const Json::Value& b) { return a["at_ms"].asInt64() < b["at_ms"].asInt64(); });
    result["steps"] = Json::arrayValue;
    for (const Json::Value& row : rows)
        result["steps"].append(row);
    result["era_changes"] = eraChanges.summary(trace.steps());
    result["open"] = Json::arrayValue;
    for (const std::string& openStep : trace.openSteps())
        result["open"].append(openStep);
    result["foreign_lines"] = Json::UInt64(trace.skippedLineCount());
    if (m_commandLine.format == OutputFormat::Json) {
        printJson(m_out, result);
        return exitCode;
    }
    TablePrinter(m_out).printRows(result["steps"], { "at_ms", "node", "event", "id", "fields" });
    for (const Json::Value& change : result["era_changes"])
        m_out << EraChanges::sentence(change) << '\n';
    for (const Json::Value& openStep : result["open"])
        m_out << openStep.asString() << '\n';
    if (trace.skippedLineCount() > 0)
        m_out << trace.skippedLineCount() << " lines were skipped: truncated or not written by snipeweir.\n";
    return exitCode;
}

std::optional<std::string> FileCommands::readFile(const std::string& path)
{
    return handleErrors(
        [&]() -> Result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(text, readTextFile(path));
            return std::optional(std::move(text));
        },
        [&](const Error& error) {
            m_errors << error.message << '\n';
            return std::optional<std::string>();
        });
}

bool FileCommands::printFaults(const std::string& path, const std::vector<ConfigurationFault>& faults)
{
    for (const ConfigurationFault& fault : faults)
        m_errors << path << ": " << fault.text() << '\n';
    return faults.empty();
}

bool FileCommands::loadVmList()
{
    if (m_commandLine.vmListPath.empty())
        return true;
    const auto text = readFile(m_commandLine.vmListPath);
    if (!text || !printFaults(m_commandLine.vmListPath, VmList::check(*text)))
        return false;
    m_vmList = parseOrNull([&] { return VmList::parse(*text); });
    return m_vmList != nullptr;
}

std::shared_ptr<const FleetConfiguration> FileCommands::loadConfiguration(
    const std::string& path, const VmList* knownVms)
{
    const auto text = readFile(path);
    if (!text || !printFaults(path, FleetConfiguration::check(*text, knownVms)))
        return nullptr;
    return parseOrNull([&] { return FleetConfiguration::parse(*text, knownVms); });
}

ExitCode FileCommands::check()
{
    const std::string& path = m_commandLine.arguments[0];
    const auto text = readFile(path);
    if (!text)
        return ExitCode::FileFaults;
    const auto faults = m_commandLine.kind == "vms"      ? VmList::check(*text)
        : m_commandLine.kind == "settings"               ? NodeSettings::check(*text)
        : m_commandLine.kind == "platform-configuration" ? platform::checkConfiguration(*text)
                                                         : FleetConfiguration::check(*text, m_vmList.get());
    if (m_commandLine.format == OutputFormat::Json) {
        Json::Value result;
        result["file"] = path;
        result["faults"] = Json::Value(Json::arrayValue);
        for (const ConfigurationFault& fault : faults) {
            Json::Value entry;
            entry["path"] = fault.path;
            entry["found"] = fault.found;
            entry["allowed"] = fault.allowed;
            result["faults"].append(entry);
        }
        printJson(m_out, result);
    } else if (printFaults(path, faults)) {
        m_out << path << ": no faults\n";
    }
    return faults.empty() ? ExitCode::Ok : ExitCode::FileFaults;
}

ExitCode FileCommands::effective()
{
    const auto configuration = loadConfiguration(m_commandLine.arguments[0], nullptr);
    if (!configuration)
        return ExitCode::FileFaults;
    Json::Value result;
    result["revision"] = Json::UInt64(configuration->revision().value);
    result["data_centre_in_service"] = configuration->isDataCentreInService(m_commandLine.dataCentre);
    if (!m_commandLine.vm.isEmpty())
        result["vm_in_service"] = configuration->isVmInService(m_commandLine.vm);
    Json::Value rows(Json::arrayValue);
    for (const EffectiveValue& value :
        configuration->explain(m_commandLine.service, m_commandLine.dataCentre, m_commandLine.vm)) {
        Json::Value row;
        row["key"] = std::string(value.key->name);
        row["value"] = value.value;
        row["unit"] = std::string(value.key->unit);
        row["origin"] = originName(value.origin);
        row["path"] = value.path;
        row["reason"] = value.reason;
        rows.append(row);
    }
    TablePrinter printer(m_out);
    if (m_commandLine.format == OutputFormat::Json) {
        result["values"] = rows;
        printJson(m_out, result);
    } else {
        printer.printObject(result);
        m_out << '\n';
        printer.printRows(rows, { "key", "value", "unit", "origin", "path", "reason" });
    }
    return ExitCode::Ok;
}

ExitCode FileCommands::diff()
{
    // Load both files before returning, so that the faults of both are printed.
    const auto before = loadConfiguration(m_commandLine.arguments[0], nullptr);
    const auto after = loadConfiguration(m_commandLine.arguments[1], m_vmList.get());
    if (!before || !after)
        return ExitCode::FileFaults;
    Json::Value result;
    result["revision_before"] = Json::UInt64(before->revision().value);
    result["revision_after"] = Json::UInt64(after->revision().value);
    Json::Value rows(Json::arrayValue);
    for (const ConfigurationChange& change : compareConfigurations(*before, *after, m_vmList.get())) {
        Json::Value row;
        row["target"] = change.target;
        row["key"] = change.key;
        row["before"] = change.before;
        row["after"] = change.after;
        if (change.affectedVmCount)
            row["vms"] = Json::UInt64(*change.affectedVmCount);
        rows.append(row);
    }
    if (m_commandLine.format == OutputFormat::Json) {
        result["changes"] = rows;
        printJson(m_out, result);
        return ExitCode::Ok;
    }
    m_out << "revision " << before->revision().value << " -> " << after->revision().value << '\n';
    if (!(before->revision() < after->revision()) && !rows.empty())
        m_out << "The new revision is not higher, so nodes would not accept the new document.\n";
    std::vector<std::string> columns { "target", "key", "before", "after" };
    if (m_vmList)
        columns.emplace_back("vms");
    if (rows.empty())
        m_out << "no differences\n";
    else
        TablePrinter(m_out).printRows(rows, columns);
    return ExitCode::Ok;
}

ExitCode FileCommands::keys()
{
    if (m_commandLine.format == OutputFormat::Table) {
        m_out << policyKeysAsMarkdown();
        return ExitCode::Ok;
    }
    Json::Value rows(Json::arrayValue);
    for (const PolicyKey& key : policyKeys()) {
        Json::Value row;
        row["key"] = std::string(key.name);
        row["unit"] = std::string(key.unit);
        row["minimum"] = key.minimum;
        row["maximum"] = key.maximum;
        row["default"] = key.defaultValue();
        row["meaning"] = std::string(key.description);
        rows.append(row);
    }
    Json::Value result;
    result["keys"] = rows;
    printJson(m_out, result);
    return ExitCode::Ok;
}

}
