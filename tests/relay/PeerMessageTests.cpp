#include "snipeweir/core/Cbor.h"
#include "snipeweir/relay/PeerMessage.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

TEST_CASE("A query of when a node could read the source, or its reply, arrives changed, or a cut one is taken")
{
    PeerMessage message;
    message.nonce = 77;
    message.continuity = { 90s, SourceContinuity::Gap { 8s, 2s } };
    for (const auto kind : { PeerMessage::Kind::ContinuityQuery, PeerMessage::Kind::ContinuityReply }) {
        message.kind = kind;
        const std::string bytes = message.encode();
        const auto decoded = PeerMessage::decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->kind == kind);
        CHECK(decoded->nonce == 77);
        if (kind == PeerMessage::Kind::ContinuityReply) {
            CHECK(decoded->continuity.knownFor == 90s);
            REQUIRE(decoded->continuity.gap);
            CHECK(decoded->continuity.gap->startAge == 8s);
            CHECK(decoded->continuity.gap->endAge == 2s);
        }
        for (size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(PeerMessage::decode(std::string_view(bytes).substr(0, size)));
    }
}

TEST_CASE("An announcement loses the eras, the configuration or the time since the era began, or a cut one is taken")
{
    PeerMessage message;
    message.kind = PeerMessage::Kind::Announcement;
    message.backends = { { Revision { 900 } }, 5 };
    message.operators = { { Revision { 800 } }, 6 };
    message.age = 700ms;
    message.announcer = "10.0.0.1";
    message.incarnation = 11;
    message.sequence = 12;
    message.tree = 1;
    message.hopsLeft = 4;
    message.configuration = Revision { 28 };
    message.eraAge = 1500ms;
    // Nodes of earlier versions take these bytes.
    const std::string before = CborWriter()
                                   .writeUnsigned(3)
                                   .writeUnsigned(900)
                                   .writeUnsigned(5)
                                   .writeUnsigned(800)
                                   .writeUnsigned(6)
                                   .writeUnsigned(700)
                                   .writeText("10.0.0.1")
                                   .writeUnsigned(11)
                                   .writeUnsigned(12)
                                   .writeUnsigned(1)
                                   .writeUnsigned(4)
                                   .take();
    CHECK(message.encode() == before);
    REQUIRE(PeerMessage::decode(before));
    CHECK(PeerMessage::decode(before)->backends.version == SourceVersion(Revision { 900 }));
    CHECK_FALSE(PeerMessage::decode(before)->eraAge);
    for (const auto& [backends, operators] : { std::pair<uint64_t, uint64_t>(3, 2), { 3, 0 }, { 0, 3 } }) {
        for (const bool hasHistory : { false, true }) {
            message.backends.version.era = backends;
            message.operators.version.era = operators;
            message.eraAge = hasHistory ? std::optional(1500ms) : std::nullopt;
            const std::string bytes = message.encode();
            const std::string withoutAge
                = CborWriter().writeUnsigned(backends).writeUnsigned(operators).writeUnsigned(28).take();
            CHECK(bytes == before + withoutAge + (hasHistory ? CborWriter().writeUnsigned(1500).take() : ""));
            const auto decoded = PeerMessage::decode(bytes);
            REQUIRE(decoded);
            CHECK(decoded->backends.version == SourceVersion(Revision { 900 }, backends));
            CHECK(decoded->operators.version == SourceVersion(Revision { 800 }, operators));
            CHECK(decoded->backends.digest == 5);
            CHECK(decoded->operators.digest == 6);
            CHECK(decoded->configuration == Revision { 28 });
            CHECK(decoded->eraAge == message.eraAge);
            CHECK(decoded->age == 700ms);
            CHECK(decoded->announcer == "10.0.0.1");
            CHECK(decoded->hopsLeft == 4);
            for (size_t size = 0; size < bytes.size(); ++size) {
                const bool isWhole = size == before.size() || size == before.size() + withoutAge.size();
                CHECK(PeerMessage::decode(std::string_view(bytes).substr(0, size)).has_value() == isWhole);
            }
            if (hasHistory)
                CHECK_FALSE(PeerMessage::decode(bytes + CborWriter().writeUnsigned(1).take()));
        }
    }
    // A time from which no sum overflows.
    const auto huge = PeerMessage::decode(
        before + CborWriter().writeUnsigned(1).writeUnsigned(1).writeUnsigned(1).writeUnsigned(UINT64_MAX).take());
    REQUIRE(huge);
    CHECK(huge->eraAge == std::chrono::milliseconds(1LL << 40));
}
