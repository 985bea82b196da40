#include "snipeweir/distribution/CatchUp.h"
#include "snipeweir/distribution/DocumentCodec.h"
#include "snipeweir/distribution/DocumentFetch.h"
#include "tests/distribution/SimulatedFleet.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

// Runs the random properties with a fixed seed. RC_PARAMS in the environment overrides it.
const int fixedSeed = setenv("RC_PARAMS", "seed=20261204", 0);

StateChart documentChart()
{
    return handleErrors([] { return StateChart::load(SNIPEWEIR_SOURCE_DIRECTORY "/charts/document.json"); },
        [](const Error& error) -> StateChart { throw std::runtime_error(error.message); });
}

struct StoreFixture {
    ManualClock clock;
    std::function<std::optional<Error>(std::string_view)> rule = [](std::string_view text) -> std::optional<Error> {
        return text.starts_with("bad") ? std::optional(Error { ErrorCode::InvalidDocument, "bad" }) : std::nullopt;
    };
    int validations = 0;
    int refusals = 0;
    int conflicts = 0;
    std::unique_ptr<DocumentStore> store = handleErrors(
        [this] {
            DocumentHooks hooks;
            hooks.validate = [this](DocumentName, std::string_view text, Revision) {
                ++validations;
                return rule(text);
            };
            hooks.onRefused = [this](DocumentName, Revision, const Error&, const std::string&) { ++refusals; };
            hooks.onConflict = [this](DocumentName, Revision, uint64_t, uint64_t, const std::string&) { ++conflicts; };
            return DocumentStore::create(documentChart(), clock, hooks);
        },
        [](const Error&) { return std::unique_ptr<DocumentStore>(); });

    OfferResult offer(uint64_t revision, const std::string& text, DocumentName name = DocumentName::Configuration)
    {
        return store->offer(name, Revision { revision }, text, "test");
    }
};

std::string compressed(const std::string& text, const std::string& prefix)
{
    return handleErrors([&] { return compressDocument(text, prefix); }, [](const Error&) { return std::string(); });
}

std::string decompressed(const std::string& frame, const std::string& prefix, size_t size)
{
    return handleErrors(
        [&] { return decompressDocument(frame, prefix, size); }, [](const Error&) { return std::string("error"); });
}

}

// Guards against a return to an older revision, and against an invalid revision replacing the last valid one.
TEST_CASE("Revisions only increase and a refused revision leaves the last valid one in force")
{
    StoreFixture fixture;
    CHECK(fixture.offer(0, "zero") == OfferResult::Refused);
    CHECK(fixture.offer(5, "five") == OfferResult::Accepted);
    CHECK(fixture.offer(4, "four") == OfferResult::Older);
    CHECK(fixture.offer(5, "five") == OfferResult::Unchanged);
    CHECK(fixture.offer(6, "bad six") == OfferResult::Refused);
    CHECK(fixture.store->state(DocumentName::Configuration) == "refused");
    CHECK(*fixture.store->current(DocumentName::Configuration)->text == "five");

    // A refused revision is not fetched, validated or read from the platform again.
    const int validations = fixture.validations;
    CHECK(fixture.offer(6, "bad six") == OfferResult::Refused);
    CHECK(fixture.validations == validations);
    CHECK(fixture.refusals == 2);
    CHECK_FALSE(fixture.store->isWanted(DocumentName::Configuration, Revision { 6 }, documentHash("bad six")));
    CHECK(fixture.store->highestSeen(DocumentName::Configuration) == Revision { 6 });
    CHECK(fixture.offer(7, "seven") == OfferResult::Accepted);
    CHECK(fixture.store->state(DocumentName::Configuration) == "in_force");
    CHECK(fixture.offer(8, std::string(DocumentStore::maxDocumentBytes + 1, 'x')) == OfferResult::Refused);
}

// Guards against nodes that keep different contents under one revision.
TEST_CASE("Of two contents under one revision the lower hash is kept in either order of arrival")
{
    const std::string first = "first";
    const std::string second = "second";
    const std::string& winner = documentHash(first) < documentHash(second) ? first : second;
    for (const bool isSwapped : { false, true }) {
        StoreFixture fixture;
        fixture.offer(3, isSwapped ? second : first);
        fixture.offer(3, isSwapped ? first : second);
        CHECK(*fixture.store->current(DocumentName::Configuration)->text == winner);
        CHECK(fixture.conflicts == 1);
    }
}

// Guards against a fleet configuration that stays refused after the missing VM that it names has been published.
TEST_CASE("A refused fleet configuration is validated again when the VM list changes")
{
    StoreFixture fixture;
    bool knowsVm = false;
    fixture.rule = [&](std::string_view text) {
        return text == "names vm" && !knowsVm ? std::optional(Error {}) : std::nullopt;
    };
    CHECK(fixture.offer(1, "names vm") == OfferResult::Refused);
    knowsVm = true;
    CHECK(fixture.offer(1, "list", DocumentName::Vms) == OfferResult::Accepted);
    REQUIRE(fixture.store->current(DocumentName::Configuration));
    CHECK(*fixture.store->current(DocumentName::Configuration)->text == "names vm");
}

// Guards against corrupt frames accepted as texts, and against out-of-bounds reads on random input.
TEST_CASE("Frames decompress to the original text and corrupt ones are refused")
{
    std::string base;
    Random random(3);
    while (base.size() < 200'000)
        base += "\"vm-" + std::to_string(random.below(100'000)) + "\",";
    std::string text = base;
    text.replace(1000, 3, "xyz");
    const std::string delta = compressed(text, base);
    CHECK(delta.size() < 200);
    CHECK(decompressed(delta, base, text.size()) == text);
    CHECK(decompressed(delta, base, text.size() + 1) == "error");
    for (int round = 0; round < 500; ++round) {
        std::string damaged = delta;
        damaged[random.below(damaged.size())] ^= static_cast<char>(1 + random.below(255));
        decompressed(damaged.substr(0, random.below(damaged.size() + 1)), base, text.size());
    }
}

// Guards against crashes and large allocations on malicious or truncated messages.
TEST_CASE("Decoding random payloads and adding invalid chunks stays within the limits of a fetch")
{
    CHECK(rc::check([](const std::string& noise) {
        RevisionExchange::decode(noise);
        FramePart::decode(noise);
        const auto pull = DocumentPull::decode(noise);
        RC_ASSERT(!pull || pull->ranges.size() <= DocumentPull::maxRanges);
    }));
    FramePart part;
    part.header.target = { Revision { 2 }, 7 };
    part.header.frameBytes = 1ULL << 60U;
    part.header.textBytes = 10;
    DocumentFetch fetch(DocumentName::Configuration, part.header.target, SteadyTime());
    CHECK_FALSE(fetch.addChunk(part, SteadyTime()));
    part.header.frameBytes = documentChunkBytes + 1;
    part.index = ~0ULL;
    CHECK_FALSE(fetch.addChunk(part, SteadyTime()));
    part.index = 1;
    part.bytes = "too long";
    CHECK_FALSE(fetch.addChunk(part, SteadyTime()));
}

// Guards against stale replies: those left in the socket buffer of a paused process look fresh when they are read.
TEST_CASE("Only replies to queries of the current round confirm the documents")
{
    ManualClock clock;
    CatchUp catchUp(2s, 200ms);
    catchUp.restart(11, clock.now());
    CHECK(catchUp.startQueryIfDue(clock.now()));
    catchUp.recordQueried(1);
    catchUp.restart(12, clock.now());
    catchUp.recordQueried(1);
    catchUp.recordReply(11, clock.now());
    catchUp.update(true, true, clock.now());
    CHECK_FALSE(catchUp.isDone());
    catchUp.recordReply(12, clock.now());
    catchUp.update(false, true, clock.now());
    CHECK_FALSE(catchUp.isDone());
    catchUp.update(true, true, clock.now());
    CHECK(catchUp.isDone());

    // Without any reply, catching up ends after the timeout.
    catchUp.restart(13, clock.now());
    clock.advance(1999ms);
    catchUp.update(true, true, clock.now());
    CHECK_FALSE(catchUp.isDone());
    clock.advance(1ms);
    catchUp.update(true, true, clock.now());
    CHECK(catchUp.isDone());
}
