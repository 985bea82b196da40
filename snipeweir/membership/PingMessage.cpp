#include "snipeweir/membership/PingMessage.h"

#include <xxhash.h>

namespace snipeweir {

namespace {

    constexpr uint64_t flagSenderUnknown = 1;
    constexpr uint64_t flagRelayed = 2;

}

uint32_t targetHashOf(const VmId& vm) { return XXH32(vm.text().data(), vm.text().size(), 0); }

std::string PingMessage::encoded(std::string_view rumours) const
{
    CborWriter writer;
    writer.writeUnsigned(nonce)
        .writeUnsigned(targetHash)
        .writeUnsigned((isSenderUnknown ? flagSenderUnknown : 0) | (isRelayed ? flagRelayed : 0))
        .writeUnsigned(localHash)
        .writeUnsigned(remoteHash)
        .writeBytes(attachment);
    std::string payload = writer.take();
    payload.append(rumours);
    return payload;
}

std::optional<PingMessage> PingMessage::decode(CborReader& reader, size_t maxAttachmentBytes)
{
    const auto nonce = reader.readUnsigned();
    const auto target = reader.readUnsigned();
    const auto flags = reader.readUnsigned();
    const auto local = reader.readUnsigned();
    const auto remote = reader.readUnsigned();
    const auto attachment = reader.readBytes();
    if (!nonce || !target || !flags || !local || !remote || !attachment || attachment->size() > maxAttachmentBytes)
        return std::nullopt;
    PingMessage message;
    message.nonce = *nonce;
    message.targetHash = static_cast<uint32_t>(*target);
    message.isSenderUnknown = (*flags & flagSenderUnknown) != 0;
    message.isRelayed = (*flags & flagRelayed) != 0;
    message.localHash = static_cast<uint32_t>(*local);
    message.remoteHash = static_cast<uint32_t>(*remote);
    message.attachment = std::string(*attachment);
    return message;
}

}
