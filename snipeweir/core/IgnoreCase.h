#pragma once

#include <string_view>
#include <strings.h>

namespace snipeweir {

/// Compares ASCII strings, such as names of header fields, ignoring case.
inline bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

}
