#pragma once

#include <cstdint>

namespace snipeweir {

/// Seeded pseudorandom number generator (SplitMix64). The same seed gives the same sequence on every platform, which
/// the standard distributions do not guarantee. Not safe for concurrent use; not cryptographically secure.
class Random {
public:
    explicit Random(uint64_t seed)
        : m_state(seed)
    {
    }

    /// @return The next 64 pseudorandom bits.
    uint64_t next()
    {
        m_state += 0x9E3779B97F4A7C15ULL;
        uint64_t z = m_state;
        z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
        z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
        return z ^ (z >> 31);
    }

    /// @param bound Exclusive upper bound, greater than zero.
    /// @return A value in [0, bound).
    uint64_t below(uint64_t bound) { return static_cast<uint64_t>((static_cast<Wide>(next()) * bound) >> 64); }

    /// @return A value in [0, 1).
    double nextDouble() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

private:
    __extension__ using Wide = unsigned __int128;

    uint64_t m_state;
};

}
