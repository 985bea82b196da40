#include "snipeweir/fleet/OperatorDocument.h"

#include <utility>
#include <xxhash.h>

namespace snipeweir {

namespace {

    /// Prefix of the keys of evacuations that the source lost, in documents of other nodes.
    constexpr std::string_view keptPrefix = "kept/";

    uint64_t hashOf(std::string_view text) { return XXH64(text.data(), text.size(), 0); }

    Revision versionOf(const OperatorState& state)
    {
        return state.configuration ? state.configuration->version : Revision {};
    }

    std::string encode(const std::map<std::string, std::string>& items)
    {
        std::vector<SourceItem> list;
        list.reserve(items.size());
        for (const auto& [key, value] : items)
            list.push_back({ key, value });
        return encodeItems(list);
    }

}

SourceDocument OperatorDocument::documentOf(const SourceVersion& version, const Items& items)
{
    return { version, encode(items) };
}

Revision OperatorDocument::configurationVersion() const { return versionOf(m_state); }

bool OperatorDocument::take(const SourceDocument& document, std::optional<SteadyTime> keepUntil)
{
    const uint64_t takenDigest = hashOf(document.text);
    if (document.version.era < m_version.era || (document.version < m_version && takenDigest == m_takenDigest))
        return false;
    if (takenDigest == m_takenDigest && document.version.era == m_version.era) {
        m_version = document.version;
        m_state.version = m_version;
        return false;
    }
    Items items;
    Items kept;
    for (SourceItem& item : decodeItems(document.text)) {
        if (item.key.starts_with(keptPrefix))
            kept.emplace(item.key.substr(keptPrefix.size()), std::move(item.value));
        else
            items.emplace(std::move(item.key), std::move(item.value));
    }
    OperatorState state = m_decode(documentOf(document.version, items));
    const uint64_t digestBefore = m_digest;
    const size_t keptBefore = m_kept.size();
    const Revision configurationBefore = configurationVersion();
    if (document.version < m_version) {
        takeOlder(items, state);
    } else {
        m_takenDigest = takenDigest;
        takeCurrent(std::move(items), std::move(state), document.version, keepUntil);
    }
    if (keepUntil && !kept.empty())
        keep(kept, m_decode(documentOf(document.version, kept)), *keepUntil);
    update();
    return m_digest != digestBefore || m_kept.size() != keptBefore || configurationVersion() != configurationBefore;
}

void OperatorDocument::takeOlder(const Items& items, const OperatorState& state)
{
    if (versionOf(state) <= configurationVersion())
        return;
    m_items[state.configurationKey] = items.at(state.configurationKey);
    m_state.configuration = state.configuration;
    m_state.configurationKey = state.configurationKey;
    m_isConfigurationKept = true;
}

void OperatorDocument::takeCurrent(
    Items items, OperatorState state, const SourceVersion& version, std::optional<SteadyTime> keepUntil)
{
    const bool isNewEra = m_version.isKnown() && version.era > m_version.era;
    setVersion(version, state.evacuated);
    if (isNewEra && keepUntil)
        keep(m_items, OperatorState(m_state), *keepUntil);
    const bool isConfigurationLater
        = state.configuration && (!m_state.configuration || versionOf(state) > configurationVersion());
    m_isConfigurationKept = false;
    if (m_state.configuration && !isConfigurationLater) {
        std::string& value = items[m_state.configurationKey];
        m_isConfigurationKept = value != m_items[m_state.configurationKey];
        value = m_items[m_state.configurationKey];
        state.configuration = m_state.configuration;
        state.configurationKey = m_state.configurationKey;
    }
    m_items = std::move(items);
    m_state = std::move(state);
}

void OperatorDocument::setVersion(const SourceVersion& version, const std::set<DataCentreName>& evacuated)
{
    if (version.era != m_version.era)
        m_evacuatedInEra.clear();
    m_evacuatedInEra.insert(evacuated.begin(), evacuated.end());
    m_version = version;
    m_state.version = version;
}

void OperatorDocument::confirmVersion(const SourceVersion& version)
{
    if (version <= m_version)
        return;
    std::set<DataCentreName> evacuated = m_state.evacuated;
    for (const auto& [dataCentre, kept] : m_kept)
        evacuated.erase(dataCentre);
    setVersion(version, evacuated);
}

void OperatorDocument::keep(const Items& items, const OperatorState& state, SteadyTime until)
{
    for (const auto& [dataCentre, key] : state.evacuationKeys) {
        const auto found = items.find(key);
        if (found != items.end() && !m_evacuatedInEra.contains(dataCentre))
            m_kept.emplace(dataCentre, Kept { { key, found->second }, until });
    }
}

void OperatorDocument::update()
{
    std::erase_if(m_kept, [this](const auto& kept) { return m_items.contains(kept.second.item.key); });
    std::erase_if(m_state.evacuationKeys, [this](const auto& known) { return !m_items.contains(known.second); });
    for (const auto& [dataCentre, kept] : m_kept)
        m_state.evacuationKeys.emplace(dataCentre, kept.item.key);
    m_state.evacuated.clear();
    for (const auto& [dataCentre, key] : m_state.evacuationKeys)
        m_state.evacuated.insert(dataCentre);
    m_state.version = m_version;
    m_digest = hashOf(encode(m_items));
}

bool OperatorDocument::dropKept(SteadyTime asOf)
{
    if (std::erase_if(m_kept, [&](const auto& kept) { return kept.second.until <= asOf; }) == 0)
        return false;
    update();
    return true;
}

std::vector<DataCentreName> OperatorDocument::keptEvacuations() const
{
    std::vector<DataCentreName> result;
    for (const auto& [dataCentre, kept] : m_kept)
        result.push_back(dataCentre);
    return result;
}

std::string OperatorDocument::text() const
{
    Items items = m_items;
    for (const auto& [dataCentre, kept] : m_kept)
        items.emplace(std::string(keptPrefix) + kept.item.key, kept.item.value);
    return encode(items);
}

}
