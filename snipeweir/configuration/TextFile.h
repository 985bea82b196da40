#pragma once

#include "snipeweir/core/Result.h"

#include <string>

namespace snipeweir {

/// Reads a file, up to one byte more than the size limit of a document. The extra byte lets the parser report a file
/// that is too large; the bound protects against endless files such as /dev/zero.
/// @param path Path of the file.
/// @return The bytes read, or ErrorCode::NotFound if the file cannot be opened or is a directory.
Result<std::string> readTextFile(const std::string& path);

}
