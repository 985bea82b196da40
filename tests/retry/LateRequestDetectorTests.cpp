#include "snipeweir/core/Random.h"
#include "snipeweir/retry/LateRequestDetector.h"

#include <doctest/doctest.h>

using namespace snipeweir;
using namespace std::chrono_literals;

namespace {

/// Timeout of a new request, 2,550 to 3,000 ms.
std::chrono::milliseconds newRequestTimeout(Random& random)
{
    return 2550ms + std::chrono::milliseconds(random.below(451));
}

}

TEST_CASE("New requests are never detected as late, retries of requests that began over a second ago are")
{
    Random random(1);
    LateRequestDetector detector { LateRequestDetector::Settings() };
    for (int round = 0; round < 500; ++round) {
        CHECK_FALSE(detector.isLate(newRequestTimeout(random), 500ms));
        // Every third request is a retry.
        if (round % 2 == 0 && round > 20)
            CHECK(detector.isLate(newRequestTimeout(random) - 1200ms, 500ms));
    }
}

TEST_CASE("No request is detected as late before enough are recorded, nor if all are retries")
{
    Random random(1);
    LateRequestDetector withoutHistory { LateRequestDetector::Settings() };
    for (const auto timeout : { 3000ms, 1000ms, 400ms })
        CHECK_FALSE(withoutHistory.isLate(timeout, 500ms));

    LateRequestDetector onlyRetries { LateRequestDetector::Settings() };
    for (int round = 0; round < 200; ++round)
        CHECK_FALSE(onlyRetries.isLate(newRequestTimeout(random) - 1200ms, 500ms));
}

TEST_CASE("One caller with a long timeout does not make the requests of others late")
{
    Random random(1);
    LateRequestDetector detector { LateRequestDetector::Settings() };
    for (int round = 0; round < 300; ++round) {
        CHECK_FALSE(detector.isLate(newRequestTimeout(random), 500ms));
        if (round % 20 == 19)
            detector.isLate(60s, 500ms);
    }
}
