// Frames between daemons come back as they were; other bytes are named as
// malformed or wait for more, without a crash, and nothing beyond a frame's
// length is taken.
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <jackdawhall/loop/frame_queue.hpp>
#include <jackdawhall/loop/peer_frames.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr std::uint32_t most_bytes = 4096;
constexpr std::uint64_t seed = 2026;
constexpr int cases = 10'000;

std::vector<peer_frame> some_frames()
{
    return {
        ping_frame{}, pong_frame{}, message_frame{std::string("\0\1\n", 3)},
        challenge_frame{"nonce"}, hello_frame{"host-1", "proof\nmore"}};
}

std::string random_bytes(random_source& random, std::size_t most)
{
    std::string bytes(random.below(most + 1), '\0');
    for (char& c : bytes)
        c = static_cast<char>(random.below(256));
    return bytes;
}

// What decoding may give for any bytes.
void check_bounds(std::string const& bytes)
{
    received_frame const got = decode_frame(bytes, most_bytes);
    whole_frame const* whole = std::get_if<whole_frame>(&got);
    malformed_frame const* malformed = std::get_if<malformed_frame>(&got);
    if (whole)
    {
        REQUIRE(whole->size_ >= 5);
        REQUIRE(whole->size_ <= bytes.size());
        REQUIRE(whole->size_ <= most_bytes + 4);
        REQUIRE(encode_frame(whole->frame_) == bytes.substr(0, whole->size_));
    }
    if (malformed)
        REQUIRE_FALSE(malformed->what_.empty());
}

} // namespace

TEST_CASE("every frame comes back equal, also with others after it")
{
    for (peer_frame const& f : some_frames())
    {
        std::string const bytes = encode_frame(f);
        received_frame const expected = whole_frame{f, bytes.size()};
        CHECK(decode_frame(bytes, most_bytes) == expected);
        CHECK(decode_frame(bytes + "rest", most_bytes) == expected);
        for (std::size_t cut = 0; cut < bytes.size(); ++cut)
            CHECK(std::holds_alternative<incomplete_frame>(
                decode_frame(bytes.substr(0, cut), most_bytes)));
    }
}

TEST_CASE("random, cut and changed frames are read within bounds or refused")
{
    random_source random(seed);
    std::vector<peer_frame> const frames = some_frames();
    for (int i = 0; i < cases; ++i)
    {
        check_bounds(random_bytes(random, 64));
        std::string changed =
            encode_frame(frames.at(random.below(frames.size())));
        changed.at(random.below(changed.size())) =
            static_cast<char>(random.below(256));
        check_bounds(changed + random_bytes(random, 16));
    }
}

TEST_CASE("a frame over the bound is refused before its bytes are there")
{
    message_frame const large{std::string(most_bytes, 'x')};
    std::string const start = encode_frame(large).substr(0, 4);
    CHECK(std::holds_alternative<malformed_frame>(
        decode_frame(start, most_bytes)));
}

TEST_CASE("what was not written comes back, what was written in part does not")
{
    frame_queue q;
    std::size_t const frame_bytes = encode_frame(message_frame{"a"}).size();
    add_frame(q, {encode_frame(message_frame{"a"}), 1, true});
    add_frame(q, {encode_frame(message_frame{"b"}), 2, true});
    add_frame(q, {encode_frame(message_frame{"c"}), 3, true});
    take_written(q, frame_bytes + 1);
    CHECK(q.newest_written_ == 1);
    CHECK(q.waiting_ == 2 * frame_bytes - 1);
    CHECK(take_unwritten(q) == std::vector<std::string>{"c"});
    CHECK(q.newest_written_ == 2);
    CHECK(q.allocated_ == 0);
}
