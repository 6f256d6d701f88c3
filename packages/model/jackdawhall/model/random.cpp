#include <jackdawhall/model/random.hpp>

#include <cstring>
#include <sodium.h>

namespace jackdawhall
{

random_source::random_source(std::uint64_t seed)
{
    std::memcpy(seed_.data(), &seed, sizeof seed);
}

random_source random_source::from_system_entropy()
{
    random_source source;
    randombytes_buf(source.seed_.data(), source.seed_.size());
    return source;
}

std::uint64_t random_source::next()
{
    if (words_used_ == block_words)
        refill();
    return words_[words_used_++];
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return next() % bound;
}

std::string random_source::hex(std::size_t bytes)
{
    static constexpr char digits[] = "0123456789abcdef";
    std::string text;
    text.reserve(bytes * 2);
    while (text.size() < bytes * 2)
    {
        std::uint64_t word = next();
        for (int i = 0; i < 16 && text.size() < bytes * 2; ++i, word >>= 4)
            text.push_back(digits[word & 15]);
    }
    return text;
}

// Each block is generated from a seed of its own: seed_ with the block counter
// XORed into its last 8 bytes.
void random_source::refill()
{
    std::array<unsigned char, 32> block_seed = seed_;
    for (std::size_t i = 0; i < sizeof block_counter_; ++i)
        block_seed[24 + i] ^=
            static_cast<unsigned char>(block_counter_ >> (8 * i));
    randombytes_buf_deterministic(
        words_.data(), sizeof words_, block_seed.data());
    ++block_counter_;
    words_used_ = 0;
}

} // namespace jackdawhall
