#pragma once

#include "snipeweir/configuration/Policy.h"

#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace snipeweir {

/// One key of the fleet configuration and the field of Policy that it sets.
struct PolicyKey {
    using Field
        = std::variant<uint32_t Policy::*, std::chrono::milliseconds Policy::*, std::chrono::microseconds Policy::*>;

    std::string_view name;
    std::string_view unit;
    uint32_t minimum = 0;
    uint32_t maximum = 0;
    Field field;
    /// Description of the key for operators, in one sentence.
    std::string_view description;

    /// @param policy Policy to read.
    /// @return The field's value in the key's unit.
    uint32_t value(const Policy& policy) const;

    /// @param policy Policy to change.
    /// @param value New value in the key's unit, within the range.
    void setValue(Policy& policy, uint32_t value) const;

    /// @return The value if the fleet configuration does not set the key, in the key's unit.
    uint32_t defaultValue() const { return value(Policy {}); }
};

/// @return All keys in the order of docs/design.md. The parser, snipeweirctl and docs/operators.md use this table.
std::span<const PolicyKey> policyKeys();

/// @param name Name of a key as in the document.
/// @return The key; null if there is none.
const PolicyKey* findPolicyKey(std::string_view name);

/// @return The table of all keys in Markdown, as docs/operators.md contains it.
std::string policyKeysAsMarkdown();

}
