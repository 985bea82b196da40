#include "snipeweir/configuration/ConfigurationDiff.h"

#include <algorithm>
#include <map>
#include <set>

namespace snipeweir {

namespace {

    const std::string notSet = "not set";

    using ValuesByMatch = std::map<std::pair<ExceptionMatch, const PolicyKey*>, uint32_t>;
    using ReasonsByMatch = std::map<ExceptionMatch, std::set<std::string>>;

    /// Policies of one VM under both documents.
    struct VmPolicies {
        const VmRecord* record = nullptr;
        Policy before;
        Policy after;
    };

    bool matches(const ExceptionMatch& match, const VmRecord& record)
    {
        return (match.service.isEmpty() || match.service == record.service)
            && (match.dataCentre.isEmpty() || match.dataCentre == record.dataCentre)
            && (match.vm.isEmpty() || match.vm == record.vm);
    }

    ValuesByMatch valuesOf(const FleetConfiguration& configuration)
    {
        ValuesByMatch values;
        for (const PolicyException& exception : configuration.exceptions()) {
            for (const auto& [key, value] : exception.values)
                values[{ exception.match, key }] = value;
        }
        return values;
    }

    /// @return The match of the exception that sets the key for the VM; an empty match if the default applies.
    ExceptionMatch findOrigin(const ValuesByMatch& values, const VmRecord& record, const PolicyKey* key)
    {
        const ExceptionMatch matchesBySpecificity[] = {
            { {}, {}, record.vm },
            { record.service, record.dataCentre, {} },
            { record.service, {}, {} },
            { {}, record.dataCentre, {} },
        };
        for (const ExceptionMatch& match : matchesBySpecificity) {
            if (values.contains({ match, key }))
                return match;
        }
        return {};
    }

    ReasonsByMatch reasonsOf(const FleetConfiguration& configuration)
    {
        ReasonsByMatch reasons;
        for (const PolicyException& exception : configuration.exceptions())
            reasons[exception.match].insert(exception.reason);
        return reasons;
    }

    std::string joinReasons(const std::set<std::string>& texts)
    {
        std::string all;
        for (const std::string& text : texts)
            all += (all.empty() ? "" : "; ") + text;
        return all.empty() ? notSet : all;
    }

    template <typename Map> std::string valueText(const Map& values, const typename Map::key_type& key)
    {
        const auto found = values.find(key);
        return found == values.end() ? notSet : std::to_string(found->second);
    }

    template <typename Map> std::set<typename Map::key_type> keysOf(const Map& before, const Map& after)
    {
        std::set<typename Map::key_type> keys;
        for (const Map* map : { &before, &after }) {
            for (const auto& [key, value] : *map)
                keys.insert(key);
        }
        return keys;
    }

    /// Appends the differences between two maps of administrative states.
    template <typename Map, typename Counter>
    void compareAdminStates(const Map& before, const Map& after, const std::string& kind, const Counter& countVms,
        std::vector<ConfigurationChange>& changes)
    {
        for (const auto& name : keysOf(before, after)) {
            const auto stateOf = [&](const Map& map) {
                const auto found = map.find(name);
                return found == map.end() ? AdminState {} : found->second;
            };
            const AdminState oldState = stateOf(before);
            const AdminState newState = stateOf(after);
            const std::string target = kind + " " + name.text();
            if (oldState.isInService != newState.isInService)
                changes.push_back({ target, "in_service", oldState.isInService ? "true" : "false",
                    newState.isInService ? "true" : "false", countVms(name) });
            if (oldState.reason != newState.reason)
                changes.push_back({ target, "reason", oldState.reason.empty() ? notSet : oldState.reason,
                    newState.reason.empty() ? notSet : newState.reason, std::nullopt });
        }
    }

}

std::vector<ConfigurationChange> compareConfigurations(
    const FleetConfiguration& before, const FleetConfiguration& after, const VmList* vmList)
{
    std::vector<ConfigurationChange> changes;

    // Compute both policies of each VM once.
    std::vector<VmPolicies> vms;
    if (vmList) {
        for (const VmRecord& record : vmList->vms())
            vms.push_back({ &record, before.policyFor(record.service, record.dataCentre, record.vm),
                after.policyFor(record.service, record.dataCentre, record.vm) });
    }
    const ValuesByMatch oldValues = valuesOf(before);
    const ValuesByMatch newValues = valuesOf(after);
    const auto countAffectedVms = [&](const ExceptionMatch& match, const PolicyKey& key) -> std::optional<size_t> {
        if (!vmList)
            return std::nullopt;
        return std::count_if(vms.begin(), vms.end(), [&](const VmPolicies& vm) {
            return key.value(vm.before) != key.value(vm.after)
                && (findOrigin(oldValues, *vm.record, &key) == match
                    || findOrigin(newValues, *vm.record, &key) == match);
        });
    };
    const auto countVmsIn = [&](const ExceptionMatch& match) -> std::optional<size_t> {
        if (!vmList)
            return std::nullopt;
        return std::count_if(vms.begin(), vms.end(), [&](const VmPolicies& vm) { return matches(match, *vm.record); });
    };

    // Compare the defaults.
    const Policy oldDefaults = before.policyFor({}, {}, {});
    const Policy newDefaults = after.policyFor({}, {}, {});
    for (const PolicyKey& key : policyKeys()) {
        if (key.value(oldDefaults) != key.value(newDefaults))
            changes.push_back({ "everywhere", std::string(key.name), std::to_string(key.value(oldDefaults)),
                std::to_string(key.value(newDefaults)), countAffectedVms({}, key) });
    }

    // Compare the exceptions by target.
    const ReasonsByMatch oldReasons = reasonsOf(before);
    const ReasonsByMatch newReasons = reasonsOf(after);
    for (const ExceptionMatch& match : keysOf(oldReasons, newReasons)) {
        for (const PolicyKey& key : policyKeys()) {
            const std::string oldValue = valueText(oldValues, { match, &key });
            const std::string newValue = valueText(newValues, { match, &key });
            if (oldValue != newValue)
                changes.push_back(
                    { match.text(), std::string(key.name), oldValue, newValue, countAffectedVms(match, key) });
        }
        const auto reasonText = [&](const ReasonsByMatch& reasons) {
            const auto found = reasons.find(match);
            return joinReasons(found == reasons.end() ? std::set<std::string>() : found->second);
        };
        if (reasonText(oldReasons) != reasonText(newReasons))
            changes.push_back({ match.text(), "reason", reasonText(oldReasons), reasonText(newReasons), std::nullopt });
    }

    // Compare the administrative states.
    compareAdminStates(
        before.dataCentres(), after.dataCentres(), "data centre",
        [&](const DataCentreName& name) {
            return countVmsIn({ {}, name, {} });
        },
        changes);
    compareAdminStates(
        before.vms(), after.vms(), "vm",
        [&](const VmId& name) {
            return countVmsIn({ {}, {}, name });
        },
        changes);
    return changes;
}

}
