#include "snipeweir/organisations/OrganisationTable.h"

#include <cstring>
#include <sodium.h>

namespace snipeweir {

namespace {

    using HashKey = std::array<unsigned char, crypto_generichash_KEYBYTES>;

    /// Random for each process, so that nobody can choose API keys whose digests collide, and the time that a look-up
    /// takes says nothing about an API key.
    const HashKey& hashKey()
    {
        static const HashKey key = [] {
            HashKey random {};
            randombytes_buf(random.data(), random.size());
            return random;
        }();
        return key;
    }

    uint64_t prefixOf(const KeyDigest& digest)
    {
        uint64_t prefix = 0;
        std::memcpy(&prefix, digest.data(), sizeof prefix);
        return prefix;
    }

}

Result<std::shared_ptr<const OrganisationTable>> OrganisationTable::create(
    const std::vector<Entry>& entries, std::vector<Omission>& omissions)
{
    if (sodium_init() < 0)
        return fail(ErrorCode::Unavailable, "The cryptographic library cannot be initialised.");
    const std::shared_ptr<OrganisationTable> table(new OrganisationTable);
    for (size_t entryIndex = 0; entryIndex < entries.size(); ++entryIndex) {
        const Entry& entry = entries[entryIndex];
        const size_t organisation = table->m_organisations.size();
        if (!table->m_byName.emplace(entry.organisation.name, organisation).second) {
            omissions.push_back({ entryIndex, std::nullopt });
            continue;
        }
        table->m_organisations.push_back(entry.organisation);
        for (size_t keyIndex = 0; keyIndex < entry.keys.size(); ++keyIndex) {
            const KeyDigest keyDigest = digest(entry.keys[keyIndex]);
            if (table->find(keyDigest))
                omissions.push_back({ entryIndex, keyIndex });
            else
                table->m_keys.emplace(prefixOf(keyDigest), Key { keyDigest, organisation });
        }
    }
    return std::shared_ptr<const OrganisationTable>(table);
}

KeyDigest OrganisationTable::digest(std::string_view key)
{
    KeyDigest result {};
    crypto_generichash(result.data(), result.size(), reinterpret_cast<const unsigned char*>(key.data()), key.size(),
        hashKey().data(), hashKey().size());
    return result;
}

const Organisation* OrganisationTable::find(const KeyDigest& keyDigest) const
{
    const auto [begin, end] = m_keys.equal_range(prefixOf(keyDigest));
    for (auto key = begin; key != end; ++key) {
        if (sodium_memcmp(key->second.digest.data(), keyDigest.data(), keyDigest.size()) == 0)
            return &m_organisations[key->second.organisation];
    }
    return nullptr;
}

const Organisation* OrganisationTable::findByName(const std::string& name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : &m_organisations[found->second];
}

}
