#include "snipeweir/configuration/TextFile.h"

#include "snipeweir/core/StrictJson.h"

#include <filesystem>
#include <fstream>

namespace snipeweir {

Result<std::string> readTextFile(const std::string& path)
{
    std::error_code error;
    std::ifstream file(path, std::ios::binary);
    if (!file || std::filesystem::is_directory(path, error))
        return fail(ErrorCode::NotFound, "The file " + path + " cannot be read.");
    std::string text(StrictJsonLimits {}.maxBytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<size_t>(file.gcount()));
    return text;
}

}
