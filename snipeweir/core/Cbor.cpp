#include "snipeweir/core/Cbor.h"

#include <array>
#include <cassert>
#include <cbor.h>

namespace snipeweir {

namespace {

    constexpr size_t maxHeadBytes = 9;

    template <typename Encode> void appendHead(std::string& buffer, Encode encode)
    {
        std::array<unsigned char, maxHeadBytes> head {};
        const size_t length = encode(head.data(), head.size());
        assert(length > 0);
        buffer.append(reinterpret_cast<const char*>(head.data()), length);
    }

}

CborWriter& CborWriter::writeUnsigned(uint64_t value)
{
    appendHead(m_buffer, [value](unsigned char* out, size_t size) { return cbor_encode_uint(value, out, size); });
    return *this;
}

CborWriter& CborWriter::writeText(std::string_view text)
{
    appendHead(m_buffer,
        [&text](unsigned char* out, size_t size) { return cbor_encode_string_start(text.size(), out, size); });
    m_buffer.append(text);
    return *this;
}

CborWriter& CborWriter::writeBytes(std::string_view bytes)
{
    appendHead(m_buffer,
        [&bytes](unsigned char* out, size_t size) { return cbor_encode_bytestring_start(bytes.size(), out, size); });
    m_buffer.append(bytes);
    return *this;
}

CborWriter& CborWriter::writeArrayStart(size_t count)
{
    appendHead(
        m_buffer, [count](unsigned char* out, size_t size) { return cbor_encode_array_start(count, out, size); });
    return *this;
}

struct CborReader::Item {
    enum class Type {
        None,
        Unsigned,
        Text,
        Bytes,
        Array,
    };
    Type type = Type::None;
    uint64_t number = 0;
    std::string_view text;
};

CborReader::Item CborReader::next()
{
    Item item;
    if (m_hasFailed)
        return item;

    // CBOR types that no control message uses leave the item's type at Type::None, which every read function refuses.
    cbor_callbacks callbacks = cbor_empty_callbacks;
    callbacks.uint8 = [](void* context, uint8_t value) {
        *static_cast<Item*>(context) = { Item::Type::Unsigned, value, {} };
    };
    callbacks.uint16 = [](void* context, uint16_t value) {
        *static_cast<Item*>(context) = { Item::Type::Unsigned, value, {} };
    };
    callbacks.uint32 = [](void* context, uint32_t value) {
        *static_cast<Item*>(context) = { Item::Type::Unsigned, value, {} };
    };
    callbacks.uint64 = [](void* context, uint64_t value) {
        *static_cast<Item*>(context) = { Item::Type::Unsigned, value, {} };
    };
    callbacks.string = [](void* context, cbor_data data, size_t length) {
        *static_cast<Item*>(context) = { Item::Type::Text, length, { reinterpret_cast<const char*>(data), length } };
    };
    callbacks.byte_string = [](void* context, cbor_data data, size_t length) {
        *static_cast<Item*>(context) = { Item::Type::Bytes, length, { reinterpret_cast<const char*>(data), length } };
    };
    callbacks.array_start = [](void* context, size_t count) {
        *static_cast<Item*>(context) = { Item::Type::Array, count, {} };
    };

    const auto decoded
        = cbor_stream_decode(reinterpret_cast<cbor_data>(m_rest.data()), m_rest.size(), &callbacks, &item);
    if (decoded.status != CBOR_DECODER_FINISHED) {
        m_hasFailed = true;
        return {};
    }
    m_rest.remove_prefix(decoded.read);
    return item;
}

std::optional<uint64_t> CborReader::readUnsigned()
{
    const Item item = next();
    if (item.type == Item::Type::Unsigned)
        return item.number;
    m_hasFailed = true;
    return std::nullopt;
}

std::optional<std::string_view> CborReader::readText()
{
    const Item item = next();
    if (item.type == Item::Type::Text)
        return item.text;
    m_hasFailed = true;
    return std::nullopt;
}

std::optional<std::string_view> CborReader::readBytes()
{
    const Item item = next();
    if (item.type == Item::Type::Bytes)
        return item.text;
    m_hasFailed = true;
    return std::nullopt;
}

std::optional<size_t> CborReader::readArrayStart(size_t maxCount)
{
    const Item item = next();
    if (item.type == Item::Type::Array && item.number <= maxCount)
        return item.number;
    m_hasFailed = true;
    return std::nullopt;
}

}
