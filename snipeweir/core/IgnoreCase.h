#pragma once

#include <string_view>
#include <strings.h>

namespace snipeweir {

/// Compares ASCII texts such as names of header fields.
inline bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}
