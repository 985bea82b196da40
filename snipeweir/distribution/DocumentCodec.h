#pragma once

#include "snipeweir/core/Result.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace snipeweir {

/// @return Hash of a document's text, used to detect two contents published under one revision. Not suitable for
/// secrets.
uint64_t documentHash(std::string_view text);

/// Compresses a document into one zstd frame. With a prefix, the frame is a delta against that text.
/// @param text Text to compress.
/// @param prefix Text that the receiver already holds; empty for a full frame.
/// @return The frame, or ErrorCode::InvalidArgument.
Result<std::string> compressDocument(std::string_view text, std::string_view prefix);

/// Decompresses a frame made by compressDocument().
/// @param frame The frame.
/// @param prefix The prefix that the frame was compressed with.
/// @param textBytes Expected size of the text, in bytes. The caller must check it against its limit first, because
/// this much memory is allocated.
/// @return The text, or ErrorCode::InvalidDocument if the frame is corrupt or its text has another size.
Result<std::string> decompressDocument(std::string_view frame, std::string_view prefix, size_t textBytes);

}
