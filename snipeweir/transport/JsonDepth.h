#pragma once

#include <cstddef>
#include <string>

namespace snipeweir {

/// Checks the nesting depth of a JSON text without parsing it. The parser of libjsonrpccpp throws above 1,000 levels,
/// and the exception terminates the process because it leaves functions whose exception specification does not allow
/// it. Must compile as C++14, because JsonRpcClient.cpp includes it.
/// @param text JSON text, possibly malformed.
/// @param maxDepth Maximum number of nested objects and arrays.
/// @return Whether the text exceeds maxDepth.
inline bool isNestedDeeperThan(const std::string& text, std::size_t maxDepth)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (isInString) {
            if (character == '\\')
                ++i;
            else if (character == '"')
                isInString = false;
        } else if (character == '"') {
            isInString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > maxDepth)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

}
