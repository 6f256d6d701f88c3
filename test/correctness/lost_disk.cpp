// A control host that lost its disk comes back as another voter: it must not
// vote as if it remembered, and what was accepted stays.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

bool votes(memory_fleet const& fleet, std::size_t i)
{
    control::consensus_state const& c = fleet.control_of(i).consensus_;
    std::vector<voter> const& voters = c.log_.voters();
    return std::find(voters.begin(), voters.end(), c.self_) != voters.end();
}

} // namespace

TEST_CASE("a host that lost its disk joins again and holds everything")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    for (int i = 0; i < 20; ++i)
        make_change(fleet, {put_account("a" + std::to_string(i), 1, 1)});
    std::size_t const lost = (fleet.leader().value() + 1) % 3;
    fleet.kill(lost);
    fleet.lose_disk(lost);
    fleet.start(lost);
    CHECK_FALSE(votes(fleet, lost));
    fleet.run_for(15s);
    CHECK(votes(fleet, lost));
    CHECK(fleet.control_of(lost).machine_.revision_ == 20);
}

TEST_CASE("a second host that fails right after the repair loses nothing")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    for (int i = 0; i < 20; ++i)
        make_change(fleet, {put_account("a" + std::to_string(i), 1, 1)});
    std::size_t const first = (fleet.leader().value() + 1) % 3;
    fleet.kill(first);
    fleet.lose_disk(first);
    fleet.start(first);
    fleet.run_until([&] { return votes(fleet, first); }, 20s);
    fleet.run_for(500ms);
    std::size_t const second = (first + 1) % 3;
    fleet.kill(second);
    fleet.lose_disk(second);
    fleet.run_for(5s);
    revision const next = make_change(fleet, {put_account("after", 1, 1)});
    CHECK(next == 21);
    fleet.start(second);
    fleet.run_for(15s);
    CHECK(votes(fleet, second));
    CHECK(fleet.control_of(second).machine_.revision_ == 21);
}

TEST_CASE("with a majority of disks lost nothing is accepted")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    make_change(fleet, {put_account("kept", 1, 1)});
    std::size_t const left = fleet.leader().value();
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (i == left)
            continue;
        fleet.kill(i);
        fleet.lose_disk(i);
        fleet.start(i);
    }
    fleet.run_for(20s);
    for (std::size_t i = 0; i < 3; ++i)
    {
        std::uint64_t const n =
            fleet.submit(i, {"op", "anne", {put_account("new", 1, 1)}});
        fleet.run_for(6s);
        std::optional<change_outcome> const outcome =
            fleet.recorded_history().changes_.at(n).outcome_;
        CHECK(std::holds_alternative<unknown_outcome>(outcome.value()));
    }
    CHECK(fleet.control_of(left).machine_.records_.size() == 1);
}

TEST_CASE("a follower far behind gets a snapshot")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    std::size_t const behind = (fleet.leader().value() + 1) % 3;
    fleet.kill(behind);
    for (int i = 0; i < 5600; ++i)
    {
        std::uint64_t const n = fleet.submit(
            fleet.leader().value(),
            {"op" + std::to_string(i),
             "anne",
             {put_account("acme", 1, 1, static_cast<revision>(i))}});
        if (i % 100 == 0)
        {
            auto const& c = fleet.recorded_history().changes_.at(n);
            fleet.run_until([&] { return c.outcome_.has_value(); }, 5s);
        }
    }
    fleet.run_for(2s);
    CHECK(
        fleet.control_of(fleet.leader().value()).consensus_.log_.base_index() >
        0);
    fleet.start(behind);
    fleet.run_for(5s);
    CHECK(fleet.control_of(behind).machine_.revision_ == 5600);
}
