// The order in which a daemon ends: nothing is closed while something before it
// is open, and all ends with the drain period.
#include <catch2/catch.hpp>

#include <jackdawhall/daemon/shutdown.hpp>

using namespace jackdawhall;
using namespace jackdawhall::daemon;

namespace
{

constexpr duration second = std::chrono::seconds(1);
instant const began{100 * second};
instant const drained_by = began + 5 * second;
open_work const nothing;

} // namespace

TEST_CASE("calls come first, then connections, then what peers wait for")
{
    shutdown_state s = begin_shutdown(true, drained_by, began);
    CHECK(continue_shutdown(s, nothing, began) == s);
    s = finish_calls(s, drained_by);
    CHECK(s.phase_ == shutdown_phase::answering);
    CHECK(continue_shutdown(s, {1, 0, 0}, began + second) == s);
    s = continue_shutdown(s, {0, 9, 1}, began + second);
    CHECK(s.phase_ == shutdown_phase::flushing);
    CHECK(continue_shutdown(s, {0, 9, 1}, began + second) == s);
    s = continue_shutdown(s, {0, 0, 1}, began + second);
    CHECK(s.phase_ == shutdown_phase::closing);
    CHECK(continue_shutdown(s, {0, 0, 1}, began + second) == s);
    s = continue_shutdown(s, nothing, began + second);
    CHECK(s.phase_ == shutdown_phase::ended);
}

TEST_CASE("changes in progress here are waited for")
{
    shutdown_state s = begin_shutdown(false, drained_by, began);
    CHECK(continue_shutdown(s, {0, 0, 1, 1}, began) == s);
    s = continue_shutdown(s, {0, 0, 1, 0}, began);
    CHECK(s.phase_ == shutdown_phase::flushing);
}

TEST_CASE("no phase lasts longer than the drain period")
{
    shutdown_state s =
        finish_calls(begin_shutdown(true, drained_by, began), drained_by);
    CHECK(
        continue_shutdown(s, {1, 1, 1}, drained_by).phase_ ==
        shutdown_phase::ended);
    s = continue_shutdown(s, {0, 1, 1}, began);
    CHECK(
        continue_shutdown(s, {0, 1, 1}, drained_by).phase_ ==
        shutdown_phase::ended);
    s = continue_shutdown(s, {0, 0, 1}, drained_by - second / 10);
    CHECK(s.end_ == drained_by);
}

TEST_CASE(
    "a peer that keeps its side of a link open holds up for a moment only")
{
    shutdown_state s = begin_shutdown(false, drained_by, began);
    s = continue_shutdown(s, {0, 0, 1}, began);
    s = continue_shutdown(s, {0, 0, 1}, began);
    CHECK(s.phase_ == shutdown_phase::closing);
    CHECK(
        continue_shutdown(s, {0, 0, 1}, began + second).phase_ ==
        shutdown_phase::ended);
}

TEST_CASE("a daemon without calls finishes its connections at once")
{
    shutdown_state const s = begin_shutdown(false, drained_by, began);
    CHECK(s.phase_ == shutdown_phase::answering);
    CHECK(s.end_ == drained_by);
}

// The daemon ended before the peer could ask for the answer over another link.
TEST_CASE("a link that ends before its peer confirmed leaves time to ask again")
{
    shutdown_state s = begin_shutdown(false, drained_by, began);
    s = continue_shutdown(s, {0, 2, 2}, began);
    REQUIRE(s.phase_ == shutdown_phase::flushing);
    s = note_link_lost(s, {0, 1, 1}, began);
    s = continue_shutdown(s, {0, 0, 1}, began + second / 100);
    CHECK(s.phase_ == shutdown_phase::flushing);
    instant const check = next_check(s, began + second / 100);
    CHECK(check > began + second / 100);
    CHECK(check < drained_by);
    s = continue_shutdown(s, {0, 0, 1}, check);
    CHECK(s.phase_ == shutdown_phase::closing);
}

TEST_CASE("a link that ends with all confirmed holds nothing up")
{
    shutdown_state s = begin_shutdown(false, drained_by, began);
    s = continue_shutdown(s, {0, 1, 2}, began);
    s = note_link_lost(s, {0, 1, 1}, began);
    s = continue_shutdown(s, {0, 0, 1}, began);
    CHECK(s.phase_ == shutdown_phase::closing);
}

TEST_CASE("a lost link holds up no longer than the drain period")
{
    shutdown_state s = begin_shutdown(false, drained_by, began);
    s = continue_shutdown(s, {0, 1, 1}, began);
    s = note_link_lost(s, nothing, drained_by - second / 10);
    CHECK(next_check(s, drained_by - second / 10) == drained_by);
    s = continue_shutdown(s, nothing, drained_by);
    CHECK(s.phase_ == shutdown_phase::ended);
}
