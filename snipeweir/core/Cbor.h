#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace snipeweir {

/// Appends CBOR items to a buffer. The payload of a control message is a flat sequence of items in an order fixed by
/// the message type. Not safe for concurrent use.
class CborWriter {
public:
    CborWriter& writeUnsigned(uint64_t);
    CborWriter& writeText(std::string_view);
    CborWriter& writeBytes(std::string_view);
    CborWriter& writeArrayStart(size_t count);

    size_t size() const { return m_buffer.size(); }
    std::string take() { return std::move(m_buffer); }

private:
    std::string m_buffer;
};

/// Reads the items that CborWriter wrote. Every read checks type and bounds; after the first mismatch, all later reads
/// fail. Texts and byte strings are views into the input. Not safe for concurrent use.
class CborReader {
public:
    /// @param input Bytes to read; must outlive the reader and the views taken from it.
    explicit CborReader(std::string_view input)
        : m_rest(input)
    {
    }

    std::optional<uint64_t> readUnsigned();
    std::optional<std::string_view> readText();
    std::optional<std::string_view> readBytes();

    /// @param maxCount Largest accepted count; a larger one is a mismatch.
    /// @return The number of elements; empty after a mismatch.
    std::optional<size_t> readArrayStart(size_t maxCount);

    /// @return Whether every item was read without a mismatch and no input is left.
    bool isComplete() const { return !m_hasFailed && m_rest.empty(); }
    bool hasFailed() const { return m_hasFailed; }

private:
    struct Item;
    Item next();

    std::string_view m_rest;
    bool m_hasFailed = false;
};

}
