#pragma once

#include <cstdint>
#include <string>

namespace snipeweir {

/// @return Body of the response to a lookup of this path, so that a caller can verify it.
inline std::string expectedLookupBody(const std::string& path)
{
    uint64_t hash = 1469598103934665603ULL;
    for (const char byte : path)
        hash = (hash ^ static_cast<unsigned char>(byte)) * 1099511628211ULL;
    std::string body = path + ":";
    for (int i = 0; i < 16; ++i) {
        body += std::to_string(hash) + ";";
        hash = hash * 6364136223846793005ULL + 1;
    }
    return body;
}

/// @return Byte of a download at an offset, so that a caller can verify each byte that arrives.
inline char expectedDownloadByte(const std::string& id, uint64_t offset)
{
    const uint64_t seed = static_cast<unsigned char>(id.empty() ? 'x' : id.back());
    return static_cast<char>('0' + (offset * 31 + offset / 4096 + seed) % 43);
}

}
