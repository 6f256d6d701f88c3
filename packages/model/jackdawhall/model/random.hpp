// Random numbers for decisions. The generator is part of a node's state and is
// seeded by the front end, so that a run can be repeated; with a seed from the
// operating system its output cannot be guessed (libsodium's ChaCha20).
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
    // Seeds a repeatable sequence. For tests only.
    explicit random_source(std::uint64_t seed = 0);

    // Seeds a sequence from the operating system.
    static random_source from_system_entropy();

    // Next 64 random bits.
    std::uint64_t next();

    // Random number from 0 to bound - 1; bound is at least 1.
    std::uint64_t below(std::uint64_t bound);

    // `bytes` random bytes in hexadecimal digits.
    std::string hex(std::size_t bytes);

    auto operator<=>(random_source const&) const = default;

private:
    void refill();

    static constexpr std::size_t block_words = 32;
    std::array<unsigned char, 32> seed_{};
    std::uint64_t block_counter_ = 0;
    std::size_t words_used_ = block_words;
    std::array<std::uint64_t, block_words> words_{};
};

} // namespace jackdawhall
