// Random numbers for decisions. The generator is part of a node's state and is
// passed in by the front end: in tests with a fixed seed, so that a run can be
// reproduced; in daemons with a seed from the operating system, which makes the
// output (libsodium's ChaCha20) unpredictable.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace jackdawhall
{

class random_source
{
public:
    // Seeds a reproducible sequence. For tests only.
    explicit random_source(std::uint64_t seed = 0);

    // Seeds a sequence from the operating system.
    static random_source from_system_entropy();

    // Returns the next 64 random bits.
    std::uint64_t next();

    // Returns a random number from 0 to bound - 1; bound must be at least 1.
    // The smaller numbers are slightly more likely unless bound is a power of
    // two.
    std::uint64_t below(std::uint64_t bound);

    // Returns `bytes` random bytes as hexadecimal digits.
    std::string hex(std::size_t bytes);

    auto operator<=>(random_source const&) const = default;

private:
    void refill();

    static constexpr std::size_t block_words = 32;
    std::array<unsigned char, 32> seed_{};
    std::uint64_t block_counter_ = 0;
    std::size_t words_used_ = block_words; // all: next() fills the first block
    std::array<std::uint64_t, block_words> words_{};
};

} // namespace jackdawhall
