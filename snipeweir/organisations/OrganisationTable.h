#pragma once

#include "snipeweir/core/Result.h"
#include "snipeweir/organisations/Organisation.h"

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace snipeweir {

/// Keyed hash of an API key, with a random hash key of this process. It can be stored and compared in place of the API
/// key, and is worthless outside the process.
using KeyDigest = std::array<unsigned char, 32>;

/// The organisations of one version of the configuration, and the digests of their API keys. The API keys themselves
/// are not kept. Immutable, so any thread may read it.
class OrganisationTable {
public:
    /// An organisation with its API keys.
    struct Entry {
        Organisation organisation;
        std::vector<std::string> keys;
    };

    /// An entry, or a key of an entry, that was left out.
    struct Omission {
        /// Index into the entries.
        size_t entry = 0;
        /// Index into the keys of the entry; empty if the whole entry was left out.
        std::optional<size_t> key;
    };

    /// Builds the table. An entry whose name is that of an earlier one and a key that an earlier entry holds are left
    /// out, so that all nodes resolve them in the same way.
    /// @param omissions Receives what was left out.
    /// @return The table, or ErrorCode::Unavailable if the cryptographic library cannot be initialised.
    static Result<std::shared_ptr<const OrganisationTable>> create(
        const std::vector<Entry>&, std::vector<Omission>& omissions);

    /// Valid only after a table was created in this process.
    /// @return The digest of an API key, the same for all tables of the process.
    static KeyDigest digest(std::string_view key);

    /// @return The organisation that holds the key; null if none does. Valid as long as the table.
    const Organisation* find(const KeyDigest&) const;

    /// @return The organisation with that name; null if there is none. Valid as long as the table.
    const Organisation* findByName(const std::string& name) const;

    const std::vector<Organisation>& organisations() const { return m_organisations; }
    size_t organisationCount() const { return m_organisations.size(); }
    size_t keyCount() const { return m_keys.size(); }

private:
    struct Key {
        KeyDigest digest;
        size_t organisation;
    };

    OrganisationTable() = default;

    std::vector<Organisation> m_organisations;
    std::unordered_map<std::string, size_t> m_byName;
    /// Keyed by the first bytes of the digest.
    std::unordered_multimap<uint64_t, Key> m_keys;
};

}
