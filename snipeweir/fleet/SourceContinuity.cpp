#include "snipeweir/fleet/SourceContinuity.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace snipeweir {

namespace {

    /// Longest time that is accepted, so that no sum with a clock's time overflows.
    constexpr int64_t maxMilliseconds = int64_t { 1 } << 40;

}

std::string SourceContinuity::text() const
{
    std::string result = std::to_string(knownFor.count());
    if (gap)
        result.append(",")
            .append(std::to_string(gap->startAge.count()))
            .append(",")
            .append(std::to_string(gap->endAge.count()));
    return result;
}

std::optional<SourceContinuity> SourceContinuity::parse(std::string_view text)
{
    std::array<int64_t, 3> numbers {};
    size_t count = 0;
    const char* position = text.data();
    const char* const end = text.data() + text.size();
    for (;;) {
        const auto [next, error] = std::from_chars(position, end, numbers.at(count));
        if (error != std::errc() || numbers.at(count) < 0 || numbers.at(count) > maxMilliseconds)
            return std::nullopt;
        ++count;
        if (next == end)
            break;
        if (*next != ',' || count == numbers.size())
            return std::nullopt;
        position = next + 1;
    }
    if (count == 2)
        return std::nullopt;
    SourceContinuity result;
    result.knownFor = std::chrono::milliseconds(numbers[0]);
    if (count == 3)
        result.gap = { std::chrono::milliseconds(numbers[1]), std::chrono::milliseconds(numbers[2]) };
    return result;
}

}
