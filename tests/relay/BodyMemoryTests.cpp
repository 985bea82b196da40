#include "snipeweir/core/Random.h"
#include "snipeweir/relay/RequestBody.h"

#include <cstring>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace snipeweir;

namespace {

constexpr size_t limitBlocks = 64;
constexpr size_t limitBytes = limitBlocks * BodyMemory::blockBytes;

std::unique_ptr<BodyMemory> makeMemory()
{
    return handleErrors(
        [] { return BodyMemory::create(limitBytes); }, [](const Error&) { return std::unique_ptr<BodyMemory>(); });
}

/// A body of which every byte has the same value, so that memory shared by two bodies is detected.
struct FilledBody {
    RequestBody body;
    char value;
    size_t reservedBlocks = 0;

    void append(size_t bytes)
    {
        while (bytes > 0) {
            const auto free = body.prepare();
            const size_t count = std::min(bytes, free.size());
            RC_ASSERT(count > 0);
            std::memset(free.data(), value, count);
            body.commit(count);
            bytes -= count;
        }
    }

    void check() const
    {
        size_t size = 0;
        for (const auto& buffer : body.buffers(0, limitBlocks)) {
            const std::string_view text(static_cast<const char*>(buffer.data()), buffer.size());
            RC_ASSERT(text.find_first_not_of(value) == std::string_view::npos);
            size += buffer.size();
        }
        RC_ASSERT(size == body.size());
    }
};

}

TEST_CASE("Property: bodies exceed the memory limit, share a block, or keep memory that they no longer need")
{
    CHECK(rc::check([](uint64_t seed) {
        Random random(seed);
        const auto memory = makeMemory();
        std::vector<std::unique_ptr<FilledBody>> bodies;
        size_t usedBlocks = 0;
        for (int step = 0; step < 300; ++step) {
            if (bodies.empty() || random.below(3) == 0)
                bodies.push_back(std::make_unique<FilledBody>(
                    FilledBody { RequestBody(*memory), static_cast<char>('a' + step % 26) }));
            const size_t index = random.below(bodies.size());
            FilledBody& body = *bodies[index];
            if (random.below(4) == 0) {
                usedBlocks -= body.reservedBlocks;
                bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(index));
            } else {
                const size_t bytes = body.body.size() + random.below(limitBytes / 8);
                const size_t blocks
                    = std::max(body.reservedBlocks, (bytes + BodyMemory::blockBytes - 1) / BodyMemory::blockBytes);
                const bool fits = usedBlocks + blocks - body.reservedBlocks <= limitBlocks;
                RC_ASSERT(body.body.reserve(bytes) == fits);
                if (fits) {
                    usedBlocks += blocks - body.reservedBlocks;
                    body.reservedBlocks = blocks;
                    body.append(bytes - body.body.size());
                }
            }
            RC_ASSERT(memory->used() == usedBlocks * BodyMemory::blockBytes);
            for (const auto& other : bodies)
                other->check();
        }
        bodies.clear();
        RC_ASSERT(memory->used() == 0);
    }));
}

TEST_CASE("Property: bodies that grow together all stay half read, because none gets the rest of its memory")
{
    CHECK(rc::check([](uint64_t seed) {
        Random random(seed);
        const auto memory = makeMemory();
        // Each body fits alone, but not two of them.
        const size_t size = limitBytes / 2 + random.below(limitBytes / 2);
        std::vector<std::unique_ptr<RequestBody>> bodies;
        bodies.reserve(10);
        for (int i = 0; i < 10; ++i)
            bodies.push_back(std::make_unique<RequestBody>(*memory));
        while (!bodies.empty()) {
            const size_t index = random.below(bodies.size());
            RequestBody& body = *bodies[index];
            if (!body.reserve(body.size() + 1)) {
                // Rejected at once, as BodyReader does; the last body must never be.
                RC_ASSERT(bodies.size() > 1);
                bodies.erase(bodies.begin() + static_cast<std::ptrdiff_t>(index));
                continue;
            }
            body.commit(body.prepare().size());
            if (body.size() >= size)
                return;
        }
        RC_FAIL("no body was read to its end");
    }));
}

TEST_CASE("Responses take the memory of request bodies, or keep what they have released")
{
    const auto memory = makeMemory();
    std::vector<std::unique_ptr<BodyMemory::Reservation>> responses;
    const auto add = [&] {
        responses.push_back(std::make_unique<BodyMemory::Reservation>(*memory, BodyMemory::Use::Response));
        return responses.back()->growTo(2 * BodyMemory::blockBytes);
    };
    for (size_t i = 0; i < limitBlocks / 8; ++i)
        CHECK(add());
    CHECK_FALSE(add());
    CHECK(memory->usedByResponses() == limitBytes / 4);
    CHECK(memory->counters().responseDenials == 1);
    RequestBody body(*memory);
    CHECK_FALSE(body.reserve(limitBytes * 3 / 4 + 1));
    CHECK(body.reserve(limitBytes * 3 / 4));
    // Bodies hold the rest, so a response may grow only by what another one has released.
    responses[0]->shrinkTo(BodyMemory::blockBytes);
    CHECK(memory->used() == limitBytes - BodyMemory::blockBytes);
    CHECK_FALSE(responses[1]->growTo(4 * BodyMemory::blockBytes));
    CHECK(responses[1]->growTo(3 * BodyMemory::blockBytes));
    responses.clear();
    CHECK(memory->usedByResponses() == 0);
    CHECK(memory->used() == limitBytes * 3 / 4);
}

TEST_CASE("The memory for bodies ignores the memory of the VM, or leaves no room for a body of the maximum size")
{
    CHECK(BodyMemory::limitFor(160) >= 67'108'864);
    CHECK(BodyMemory::limitFor(160) < (160U << 20U));
    CHECK(BodyMemory::limitFor(512) - BodyMemory::limitFor(160) == (352U << 20U));
    CHECK(BodyMemory::limitFor(0) > 0);
}
