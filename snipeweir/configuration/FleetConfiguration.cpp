#include "snipeweir/configuration/FleetConfiguration.h"

#include "snipeweir/configuration/ObjectReader.h"

#include <algorithm>
#include <functional>

namespace snipeweir {

namespace {

    constexpr size_t maxExceptions = 5'000;
    constexpr size_t maxReasonBytes = 500;

    using KeyValues = std::vector<std::pair<const PolicyKey*, uint32_t>>;

    KeyValues readValues(const Json::Value& object, const std::string& path, FaultList& faults)
    {
        KeyValues values;
        ObjectReader reader(object, path, faults);
        for (const PolicyKey& key : policyKeys()) {
            if (const auto value = reader.unsignedInteger(key.name, key.minimum, key.maximum, Presence::Optional))
                values.emplace_back(&key, static_cast<uint32_t>(*value));
        }
        reader.reportUnknownKeys();
        return values;
    }

    bool isBlank(const std::string& text) { return text.find_first_not_of(' ') == std::string::npos; }

    bool matchesAnyVm(const ExceptionMatch& match, const VmList& vmList)
    {
        return std::any_of(vmList.vms().begin(), vmList.vms().end(), [&](const VmRecord& record) {
            return (match.service.isEmpty() || match.service == record.service)
                && (match.dataCentre.isEmpty() || match.dataCentre == record.dataCentre)
                && (match.vm.isEmpty() || match.vm == record.vm);
        });
    }

    ExceptionMatch readMatch(ObjectReader& parent, const VmList* vmList, FaultList& faults)
    {
        ExceptionMatch match;
        const Json::Value* value = parent.member("match", Presence::Required);
        if (!value)
            return match;
        const std::string path = parent.pathOf("match");
        ObjectReader reader(*value, path, faults);
        const auto service = reader.name("service", Presence::Optional);
        const auto dataCentre = reader.name("data_centre", Presence::Optional);
        const auto vm = reader.name("vm", Presence::Optional);
        reader.reportUnknownKeys();
        match = { ServiceName(service.value_or("")), DataCentreName(dataCentre.value_or("")), VmId(vm.value_or("")) };

        // A VM has one service and one data centre; naming them beside it would be redundant or contradictory.
        if (vm && (service || dataCentre))
            faults.add(path, "vm together with service or data_centre", "vm alone");
        else if (value->isObject() && value->empty())
            faults.add(path, describe(*value), "service, data_centre, both of them, or vm");
        else if (vmList && match != ExceptionMatch {} && !matchesAnyVm(match, *vmList))
            faults.add(path, match.text() + ", which is not in the VM list", "a match for a VM in the VM list");
        return match;
    }

    PolicyException readException(
        const Json::Value& value, const std::string& path, const VmList* vmList, FaultList& faults)
    {
        PolicyException exception;
        ObjectReader reader(value, path, faults);
        exception.match = readMatch(reader, vmList, faults);
        if (const Json::Value* set = reader.member("set", Presence::Required)) {
            exception.values = readValues(*set, reader.pathOf("set"), faults);
            if (set->isObject() && set->empty())
                reader.report("set", "no key", "at least one key");
        }
        exception.reason = reader.text("reason", maxReasonBytes).value_or("");
        if (isBlank(exception.reason))
            reader.report("reason", "a blank reason", "the reason for the exception");
        reader.reportUnknownKeys();
        return exception;
    }

    template <typename Key>
    std::map<Key, AdminState> readAdminStates(
        ObjectReader& parent, std::string_view key, FaultList& faults, const std::function<bool(const Key&)>& isListed)
    {
        std::map<Key, AdminState> states;
        const Json::Value* value = parent.member(key, Presence::Optional);
        if (!value)
            return states;
        ObjectReader entries(*value, parent.pathOf(key), faults);
        for (const std::string& name : entries.keys()) {
            const Json::Value* entry = entries.member(name, Presence::Required);
            if (!isName(name))
                entries.report(name, "a key that is not a valid name", std::string(nameRule));
            else if (!isListed(Key(name)))
                entries.report(name, "a name that is not in the VM list", "a name in the VM list");
            ObjectReader reader(*entry, entries.pathOf(name), faults);
            AdminState state;
            state.isInService = reader.boolean("in_service").value_or(true);
            state.reason = reader.text("reason", maxReasonBytes, Presence::Optional).value_or("");
            if (!state.isInService && isBlank(state.reason))
                reader.report("reason", "a blank reason", "the reason for being out of service");
            reader.reportUnknownKeys();
            states.emplace(Key(name), std::move(state));
        }
        return states;
    }

    /// Reports each key that is set by two exceptions with the same match. Exceptions with different matches never
    /// conflict: one is more specific than the other, or no VM matches both.
    void checkConflicts(const std::vector<PolicyException>& exceptions, FaultList& faults)
    {
        std::map<std::pair<ExceptionMatch, const PolicyKey*>, size_t> firstIndex;
        for (size_t index = 0; index < exceptions.size(); ++index) {
            const PolicyException& exception = exceptions[index];
            if (exception.match == ExceptionMatch {})
                continue;
            for (const auto& [key, value] : exception.values) {
                const auto [entry, isNew] = firstIndex.emplace(std::pair(exception.match, key), index);
                if (!isNew)
                    faults.add("$.exceptions[" + std::to_string(index) + "].set." + std::string(key->name),
                        "a second value for " + exception.match.text(),
                        "one value, already set by $.exceptions[" + std::to_string(entry->second) + "]");
            }
        }
    }

}

std::string ExceptionMatch::text() const
{
    if (!vm.isEmpty())
        return "vm " + vm.text();
    if (service.isEmpty())
        return "data centre " + dataCentre.text();
    return "service " + service.text() + (dataCentre.isEmpty() ? "" : " in data centre " + dataCentre.text());
}

Result<std::shared_ptr<const FleetConfiguration>> FleetConfiguration::parse(std::string_view text, const VmList* vmList)
{
    FaultList faults;
    auto configuration = read(text, vmList, faults);
    if (!configuration)
        return faults.toError("configuration");
    return configuration;
}

std::vector<ConfigurationFault> FleetConfiguration::check(std::string_view text, const VmList* vmList)
{
    FaultList faults;
    read(text, vmList, faults);
    return faults.faults();
}

std::shared_ptr<const FleetConfiguration> FleetConfiguration::read(
    std::string_view text, const VmList* vmList, FaultList& faults)
{
    const auto root = readRoot(text, faults);
    if (!root)
        return nullptr;
    const std::shared_ptr<FleetConfiguration> configuration(new FleetConfiguration);
    ObjectReader reader(*root, "$", faults);
    configuration->m_revision.value = reader.unsignedInteger("revision", 1, maxRevision).value_or(0);

    // Read the defaults.
    if (const Json::Value* defaults = reader.member("defaults", Presence::Required)) {
        for (const auto& [key, value] : readValues(*defaults, "$.defaults", faults)) {
            key->setValue(configuration->m_defaults, value);
            configuration->m_setDefaults.push_back(key);
        }
    }

    // Read the exceptions.
    for (const Json::Value* element : reader.array("exceptions", maxExceptions, Presence::Optional)) {
        const size_t index = configuration->m_exceptions.size();
        configuration->m_exceptions.push_back(
            readException(*element, "$.exceptions[" + std::to_string(index) + "]", vmList, faults));
        configuration->m_byMatch[configuration->m_exceptions.back().match].push_back(index);
    }
    checkConflicts(configuration->m_exceptions, faults);

    // Read the administrative states.
    configuration->m_dataCentres = readAdminStates<DataCentreName>(
        reader, "data_centres", faults, [&](const auto& name) { return !vmList || vmList->hasDataCentre(name); });
    configuration->m_vms
        = readAdminStates<VmId>(reader, "vms", faults, [&](const auto& name) { return !vmList || vmList->find(name); });
    reader.reportUnknownKeys();
    if (!faults.isEmpty())
        return nullptr;
    return configuration;
}

template <typename Visitor>
void FleetConfiguration::visitMatching(
    const ServiceName& service, const DataCentreName& dataCentre, const VmId& vm, Visitor&& visitor) const
{
    // From the least to the most specific match, so that the last value set wins.
    const ExceptionMatch matches[] = {
        { {}, dataCentre, {} },
        { service, {}, {} },
        { service, dataCentre, {} },
        { {}, {}, vm },
    };
    const bool canMatch[] = {
        !dataCentre.isEmpty(),
        !service.isEmpty(),
        !service.isEmpty() && !dataCentre.isEmpty(),
        !vm.isEmpty(),
    };
    for (size_t level = 0; level < std::size(matches); ++level) {
        const auto found = canMatch[level] ? m_byMatch.find(matches[level]) : m_byMatch.end();
        if (found == m_byMatch.end())
            continue;
        for (const size_t index : found->second) {
            for (const auto& [key, value] : m_exceptions[index].values)
                visitor(index, *key, value);
        }
    }
}

Policy FleetConfiguration::policyFor(const ServiceName& service, const DataCentreName& dataCentre, const VmId& vm) const
{
    Policy policy = m_defaults;
    visitMatching(
        service, dataCentre, vm, [&](size_t, const PolicyKey& key, uint32_t value) { key.setValue(policy, value); });
    return policy;
}

std::vector<EffectiveValue> FleetConfiguration::explain(
    const ServiceName& service, const DataCentreName& dataCentre, const VmId& vm) const
{
    std::vector<EffectiveValue> values;
    for (const PolicyKey& key : policyKeys()) {
        EffectiveValue value { &key, key.value(m_defaults), ValueOrigin::BuiltIn, {}, {} };
        if (std::find(m_setDefaults.begin(), m_setDefaults.end(), &key) != m_setDefaults.end()) {
            value.origin = ValueOrigin::Defaults;
            value.path = "$.defaults." + std::string(key.name);
        }
        values.push_back(std::move(value));
    }
    visitMatching(service, dataCentre, vm, [&](size_t index, const PolicyKey& key, uint32_t value) {
        EffectiveValue& entry = values[static_cast<size_t>(&key - policyKeys().data())];
        entry = { &key, value, ValueOrigin::Exception, "$.exceptions[" + std::to_string(index) + "]",
            m_exceptions[index].reason };
    });
    return values;
}

bool FleetConfiguration::isDataCentreInService(const DataCentreName& dataCentre) const
{
    const auto found = m_dataCentres.find(dataCentre);
    return found == m_dataCentres.end() || found->second.isInService;
}

bool FleetConfiguration::isVmInService(const VmId& vm) const
{
    const auto found = m_vms.find(vm);
    return found == m_vms.end() || found->second.isInService;
}

}
