#include "snipeweir/configuration/VmList.h"

#include "snipeweir/configuration/ObjectReader.h"

#include <algorithm>
#include <map>
#include <utility>

namespace snipeweir {

namespace {

    // Twice the design size. A list of this length stays within StrictJsonLimits::maxValues.
    constexpr size_t maxVms = 7'000;

    VmRecord readRecord(const Json::Value& value, const std::string& path, FaultList& faults)
    {
        ObjectReader reader(value, path, faults);
        VmRecord record;
        record.vm = VmId(reader.name("vm").value_or(""));
        record.dataCentre = DataCentreName(reader.name("data_centre").value_or(""));
        record.region = RegionName(reader.name("region").value_or(""));
        record.service = ServiceName(reader.name("service").value_or(""));
        record.ip = reader.ip("address");
        record.publicPort = reader.port("public_port");
        record.internalPort = reader.port("internal_port");
        record.controlPort = reader.port("control_port");
        if (const Json::Value* state = reader.member("state", Presence::Required)) {
            record.isLeaving = *state == Json::Value("leaving");
            if (!record.isLeaving && *state != Json::Value("live"))
                reader.report("state", describe(*state), "\"live\" or \"leaving\"");
        }
        reader.reportUnknownKeys();
        return record;
    }

}

Result<std::shared_ptr<const VmList>> VmList::parse(std::string_view text)
{
    FaultList faults;
    auto vmList = read(text, faults);
    if (!vmList)
        return faults.toError("vms");
    return vmList;
}

std::vector<ConfigurationFault> VmList::check(std::string_view text)
{
    FaultList faults;
    read(text, faults);
    return faults.faults();
}

std::shared_ptr<const VmList> VmList::read(std::string_view text, FaultList& faults)
{
    const auto root = readRoot(text, faults);
    if (!root)
        return nullptr;
    const std::shared_ptr<VmList> vmList(new VmList);
    ObjectReader reader(*root, "$", faults);
    vmList->m_revision.value = reader.unsignedInteger("revision", 1, maxRevision).value_or(0);

    // Read all entries; a VM is listed once, and a data centre is in one region.
    std::map<VmId, size_t> indexOf;
    std::map<DataCentreName, RegionName> regionOf;
    size_t index = 0;
    for (const Json::Value* element : reader.array("vms", maxVms)) {
        const std::string path = "$.vms[" + std::to_string(index) + "]";
        VmRecord record = readRecord(*element, path, faults);
        if (!record.vm.isEmpty()) {
            const auto [first, isNew] = indexOf.emplace(record.vm, index);
            if (!isNew)
                faults.add(path + ".vm", describe(record.vm.text()),
                    "a VM that is not already listed at $.vms[" + std::to_string(first->second) + "]");
        }
        if (!record.dataCentre.isEmpty() && !record.region.isEmpty()) {
            const auto region = regionOf.emplace(record.dataCentre, record.region).first->second;
            if (region != record.region)
                faults.add(path + ".region", describe(record.region.text()),
                    "the region of the data centre's other entries, " + region.text());
        }
        vmList->m_vms.push_back(std::move(record));
        ++index;
    }
    reader.reportUnknownKeys();
    if (!faults.isEmpty())
        return nullptr;

    // Order and index the entries.
    std::sort(vmList->m_vms.begin(), vmList->m_vms.end(),
        [](const VmRecord& left, const VmRecord& right) { return left.vm < right.vm; });
    for (const VmRecord& record : vmList->m_vms)
        vmList->m_byService[record.service].push_back(&record);
    return vmList;
}

const VmRecord* VmList::find(const VmId& vm) const
{
    const auto found = std::lower_bound(
        m_vms.begin(), m_vms.end(), vm, [](const VmRecord& record, const VmId& wanted) { return record.vm < wanted; });
    return found != m_vms.end() && found->vm == vm ? &*found : nullptr;
}

const std::vector<const VmRecord*>& VmList::vmsOf(const ServiceName& service) const
{
    static const std::vector<const VmRecord*> none;
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? none : found->second;
}

bool VmList::hasDataCentre(const DataCentreName& dataCentre) const
{
    return std::any_of(
        m_vms.begin(), m_vms.end(), [&](const VmRecord& record) { return record.dataCentre == dataCentre; });
}

}
