#pragma once

#include "snipeweir/core/IgnoreCase.h"

namespace snipeweir {

/// @return Whether a header field is one of the product's own, which only nodes may set.
inline bool isProductField(std::string_view name)
{
    constexpr std::string_view prefix = "Snipeweir-";
    return equalsIgnoringCase(name.substr(0, prefix.size()), prefix);
}

}
