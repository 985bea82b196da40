#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace snipeweir {

/// Sliding window over the last 192 sequence numbers of one sender, by which each datagram is accepted once. Datagrams
/// may arrive in any order within the window; older ones are refused. Not safe for concurrent use.
class ReplayWindow {
public:
    /// @param sequence Sequence number of an authenticated datagram.
    /// Marks the number as received.
    /// @return Whether the number is within the window and was not received before.
    bool accept(uint64_t sequence)
    {
        if (sequence > m_highest)
            advanceTo(sequence);
        else if (m_highest - sequence >= windowBits)
            return false;
        uint64_t& word = m_bits.at((sequence / 64) % m_bits.size());
        const uint64_t mask = 1ULL << (sequence % 64);
        if ((word & mask) != 0)
            return false;
        word |= mask;
        return true;
    }

private:
    static constexpr size_t wordCount = 4;
    static constexpr uint64_t windowBits = (wordCount - 1) * 64;

    // Advances the window and clears the words that it enters, which hold bits of earlier numbers.
    void advanceTo(uint64_t sequence)
    {
        const uint64_t oldWord = m_highest / 64;
        const uint64_t newWord = sequence / 64;
        for (uint64_t i = 1; i <= wordCount && oldWord + i <= newWord; ++i)
            m_bits.at((oldWord + i) % wordCount) = 0;
        m_highest = sequence;
    }

    uint64_t m_highest = 0;
    std::array<uint64_t, wordCount> m_bits {};
};

}
