#include "programs/snipeweirctl/FileCommands.h"

#include "programs/snipeweirctl/JsonOutput.h"
#include "programs/snipeweirctl/TablePrinter.h"
#include "snipeweir/configuration/ConfigurationDiff.h"
#include "snipeweir/configuration/NodeSettings.h"
#include "snipeweir/configuration/TextFile.h"
#include "snipeweir/telemetry/RequestTrace.h"

#include <fstream>

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

    /// @return The object, or null after a failure, which check() has reported already.
    template <typename Parse> auto valueOrNull(Parse&& parse)
    {
        using Pointer = std::decay_t<decltype(parse().value())>;
        return handleErrors(std::forward<Parse>(parse), [](const Error&) { return Pointer(); });
    }

}

FileCommands::FileCommands(const CommandLine& line, std::ostream& out, std::ostream& errors)
    : m_line(line)
    , m_out(out)
    , m_errors(errors)
{
}

ExitCode FileCommands::run()
{
    if (m_line.command == "keys")
        return keys();
    if (m_line.command == "trace")
        return trace();
    if (!loadVmList())
        return ExitCode::FileFaults;
    if (m_line.command == "check")
        return check();
    return m_line.command == "effective" ? effective() : diff();
}

ExitCode FileCommands::trace()
{
    RequestTrace trace(m_line.arguments.front());
    ExitCode code = ExitCode::Ok;
    for (size_t index = 1; index < m_line.arguments.size(); ++index) {
        std::ifstream file(m_line.arguments[index]);
        if (!file) {
            m_errors << m_line.arguments[index] << ": cannot be read\n";
            code = ExitCode::FileFaults;
            continue;
        }
        trace.read(file);
    }

    Json::Value result(Json::objectValue);
    result["id"] = m_line.arguments.front();
    result["steps"] = Json::arrayValue;
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
        result["steps"].append(row);
    }
    result["open"] = Json::arrayValue;
    for (const std::string& gap : trace.gaps())
        result["open"].append(gap);
    result["foreign_lines"] = Json::UInt64(trace.foreignLines());
    if (m_line.format == OutputFormat::Json) {
        printJson(m_out, result);
        return code;
    }
    TablePrinter(m_out).printRows(result["steps"], { "at_ms", "node", "event", "id", "fields" });
    for (const Json::Value& gap : result["open"])
        m_out << gap.asString() << '\n';
    if (trace.foreignLines() > 0)
        m_out << trace.foreignLines() << " lines are cut or not of this product.\n";
    return code;
}

std::optional<std::string> FileCommands::read(const std::string& path)
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
    if (m_line.vmListPath.empty())
        return true;
    const auto text = read(m_line.vmListPath);
    if (!text || !printFaults(m_line.vmListPath, Catalogue::check(*text)))
        return false;
    m_vmList = valueOrNull([&] { return Catalogue::parse(*text); });
    return m_vmList != nullptr;
}

std::shared_ptr<const FleetConfiguration> FileCommands::load(const std::string& path, const Catalogue* known)
{
    const auto text = read(path);
    if (!text || !printFaults(path, FleetConfiguration::check(*text, known)))
        return nullptr;
    return valueOrNull([&] { return FleetConfiguration::parse(*text, known); });
}

ExitCode FileCommands::check()
{
    const std::string& path = m_line.arguments[0];
    const auto text = read(path);
    if (!text)
        return ExitCode::FileFaults;
    const auto faults = m_line.kind == "vms" ? Catalogue::check(*text)
        : m_line.kind == "settings"          ? NodeSettings::check(*text)
                                             : FleetConfiguration::check(*text, m_vmList.get());
    if (m_line.format == OutputFormat::Json) {
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
    const auto configuration = load(m_line.arguments[0], nullptr);
    if (!configuration)
        return ExitCode::FileFaults;
    Json::Value result;
    result["revision"] = Json::UInt64(configuration->revision().value);
    result["data_centre_in_service"] = configuration->isDataCentreInService(m_line.dataCentre);
    if (!m_line.vm.isEmpty())
        result["vm_in_service"] = configuration->isVmInService(m_line.vm);
    Json::Value rows(Json::arrayValue);
    for (const EffectiveValue& value : configuration->explain(m_line.service, m_line.dataCentre, m_line.vm)) {
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
    if (m_line.format == OutputFormat::Json) {
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
    // Load both before giving up, so that the faults of both are printed.
    const auto before = load(m_line.arguments[0], nullptr);
    const auto after = load(m_line.arguments[1], m_vmList.get());
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
        if (change.vms)
            row["vms"] = Json::UInt64(*change.vms);
        rows.append(row);
    }
    if (m_line.format == OutputFormat::Json) {
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
    if (m_line.format == OutputFormat::Table) {
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
        row["meaning"] = std::string(key.meaning);
        rows.append(row);
    }
    Json::Value result;
    result["keys"] = rows;
    printJson(m_out, result);
    return ExitCode::Ok;
}

}
