// What a daemon keeps for its peers yields in the order that loses least: the
// largest message that nobody has seen a byte of, the oldest kept answers, and
// queued runs as not run.
#include <catch2/catch.hpp>

#include <jackdawhall/calls/forward_memory.hpp>
#include <jackdawhall/loop/frame_queue.hpp>
#include <jackdawhall/loop/peer_frames.hpp>

using namespace jackdawhall;

namespace
{

constexpr std::size_t kib = 1 << 10;

loop::waiting_frame frame_of(std::string message, std::uint64_t tag)
{
    return {
        loop::encode_frame(loop::message_frame{std::move(message)}), tag, true};
}

} // namespace

TEST_CASE("the largest message of which no byte was written is withdrawn")
{
    loop::frame_queue q;
    add_frame(q, frame_of(std::string(90 * kib, 'a'), 1));
    add_frame(q, frame_of(std::string(20 * kib, 'b'), 2));
    add_frame(q, frame_of(std::string(70 * kib, 'c'), 3));
    take_written(q, 1);
    CHECK(withdraw_largest(q, 16 * kib) == std::string(70 * kib, 'c'));
    CHECK(withdraw_largest(q, 16 * kib) == std::string(20 * kib, 'b'));
    CHECK(withdraw_largest(q, 16 * kib) == std::nullopt); // begun
    CHECK(q.waiting_ == 90 * kib + loop::frame_header_bytes - 1);
    CHECK(q.allocated_ >= 90 * kib);
    CHECK(q.allocated_ < 91 * kib);
}

TEST_CASE("kept answers are dropped oldest first, and counted as forgotten")
{
    host_name const entry = name_literal<host_name>("entry");
    instant const now{};
    calls::forward_memory m;
    for (calls::call_number n = 1; n <= 3; ++n)
    {
        forward_response a;
        a.number_ = n;
        a.verdict_ = ran{{200, {}, std::string(10 * kib, 'x')}};
        m = keep_answer(
            std::move(m), {entry, n}, std::move(a),
            now + std::chrono::seconds(n), now);
    }
    m = drop_answers(std::move(m), 15 * kib, now);
    CHECK(
        calls::answered_forwards(m, entry) ==
        std::vector<calls::call_number>{3});
    CHECK(calls::is_forgotten(m, {entry, 2}));
}
