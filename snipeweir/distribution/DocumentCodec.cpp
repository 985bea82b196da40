#include "snipeweir/distribution/DocumentCodec.h"

#include <memory>
#include <xxhash.h>
#include <zstd.h>

namespace snipeweir {

namespace {

    constexpr int compressionLevel = 3;

    // 4 MiB: covers a prefix and a text of 1 MiB each, so that matches can refer to every byte of the prefix.
    constexpr int windowLog = 22;

    using CompressionContext = std::unique_ptr<ZSTD_CCtx, decltype(&ZSTD_freeCCtx)>;
    using DecompressionContext = std::unique_ptr<ZSTD_DCtx, decltype(&ZSTD_freeDCtx)>;

}

uint64_t documentHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

Result<std::string> compressDocument(std::string_view text, std::string_view prefix)
{
    const CompressionContext context(ZSTD_createCCtx(), &ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    if (!prefix.empty()) {
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog);
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
        ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    }
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const size_t size = ZSTD_compress2(context.get(), frame.data(), frame.size(), text.data(), text.size());
    if (ZSTD_isError(size) != 0)
        return fail(ErrorCode::InvalidArgument,
            std::string("zstd compression of the document failed: ") + ZSTD_getErrorName(size) + ".");
    frame.resize(size);
    frame.shrink_to_fit();
    return frame;
}

Result<std::string> decompressDocument(std::string_view frame, std::string_view prefix, size_t textBytes)
{
    if (ZSTD_getFrameContentSize(frame.data(), frame.size()) != textBytes)
        return fail(
            ErrorCode::InvalidDocument, "The content size of the zstd frame differs from the size in its header.");
    const DecompressionContext context(ZSTD_createDCtx(), &ZSTD_freeDCtx);
    if (!prefix.empty())
        ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size());
    std::string text(textBytes, '\0');
    const size_t size = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame.data(), frame.size());
    if (ZSTD_isError(size) != 0 || size != textBytes)
        return fail(ErrorCode::InvalidDocument, "The zstd frame is corrupt.");
    return text;
}

}
