// A control host that was removed, emptied or replaced is a voter again in a
// bounded time, so that the next loss within the tolerance is survived.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;

bool is_leaders_voter(memory_fleet const& fleet, std::size_t i)
{
    std::optional<std::size_t> const leader = fleet.leader();
    if (!leader || !fleet.is_up(i))
        return false;
    std::vector<voter> const& voters =
        fleet.control_of(*leader).consensus_.log_.voters();
    return std::find(
               voters.begin(), voters.end(),
               fleet.control_of(i).consensus_.self_) != voters.end();
}

// Whether exactly the control hosts that run, all of them, are voters.
bool all_vote(memory_fleet const& fleet)
{
    std::optional<std::size_t> const leader = fleet.leader();
    if (!leader)
        return false;
    control::consensus_state const& c = fleet.control_of(*leader).consensus_;
    for (std::size_t i = 0; i < control_hosts; ++i)
    {
        if (!is_leaders_voter(fleet, i))
            return false;
    }
    return c.log_.voters().size() == control_hosts &&
           c.commit_ >= c.log_.voters_index();
}

bool holds(memory_fleet const& fleet, std::size_t i, revision changes)
{
    return fleet.is_up(i) && fleet.control_of(i).machine_.revision_ >= changes;
}

// The `n`th control host that does not lead.
std::size_t follower(memory_fleet const& fleet, std::size_t n)
{
    return (fleet.leader().value() + 1 + n) % control_hosts;
}

void restart_empty(memory_fleet& fleet, std::size_t i)
{
    fleet.kill(i);
    fleet.lose_disk(i);
    fleet.start(i);
}

// `down` comes back when another host than `leader` may lead.
void restart_leader_then_start(
    memory_fleet& fleet, std::size_t leader, std::size_t down)
{
    fleet.kill(leader);
    fleet.run_for(300ms);
    fleet.start(leader);
    fleet.run_for(700ms);
    fleet.start(down);
}

} // namespace

// The core was lost for good: the removed host never asked to join.
TEST_CASE("a voter removed while it was down joins again")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 9))));
    REQUIRE(fleet.run_until([&] { return all_vote(fleet); }, 10s));
    make_change(fleet, {put_account("one", 1, 1)});
    std::size_t const first_leader = fleet.leader().value();
    std::size_t const down = follower(fleet, 3);
    std::size_t const emptied = follower(fleet, 2);

    fleet.kill(down);
    fleet.run_for(1s);
    fleet.kill(emptied);
    fleet.lose_disk(emptied);
    fleet.run_for(500ms);
    fleet.start(emptied);
    fleet.run_for(4500ms);
    restart_leader_then_start(fleet, first_leader, down);
    CHECK(fleet.run_until([&] { return all_vote(fleet); }, 6s));

    fleet.run_for(18s);
    make_change(fleet, {put_account("two", 1, 1)});
    fleet.kill(first_leader);
    fleet.kill(emptied);
    fleet.lose_disk(first_leader);
    fleet.lose_disk(emptied);
    fleet.run_for(1400ms);
    fleet.start(first_leader);
    fleet.start(emptied);
    CHECK(fleet.run_until(
        [&] { return holds(fleet, first_leader, 2) && all_vote(fleet); }, 8s));
}

// The leader forgets a silent peer after joining_host_timeout.
TEST_CASE("a voter that was away for long joins again")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 5))));
    REQUIRE(fleet.run_until([&] { return all_vote(fleet); }, 10s));
    std::size_t const down = follower(fleet, 3);
    fleet.kill(down);
    fleet.run_for(3s);
    restart_empty(fleet, follower(fleet, 2));
    fleet.run_for(20s);
    fleet.start(down);
    CHECK(fleet.run_until([&] { return all_vote(fleet); }, 4s));
}

// The new leader knew the removed host neither as a voter nor as a peer.
TEST_CASE("a voter removed while it was down joins under a new leader")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 9))));
    REQUIRE(fleet.run_until([&] { return all_vote(fleet); }, 10s));
    std::size_t const first_leader = fleet.leader().value();
    std::size_t const down = follower(fleet, 3);
    voter const removed = fleet.control_of(down).consensus_.self_;
    fleet.kill(down);
    fleet.run_for(3s); // longer than dead_voter_timeout
    restart_empty(fleet, follower(fleet, 2));
    fleet.run_for(3s);
    std::vector<voter> const voters =
        fleet.control_of(first_leader).consensus_.log_.voters();
    REQUIRE(std::find(voters.begin(), voters.end(), removed) == voters.end());
    restart_leader_then_start(fleet, first_leader, down);
    CHECK(fleet.run_until([&] { return all_vote(fleet); }, 6s));
}

// catchUp of the sites is 4 s; the bound keeps a quarter of it.
TEST_CASE("hosts that lost their disks vote again within 3 s")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 41))));
    REQUIRE(fleet.run_until([&] { return all_vote(fleet); }, 10s));
    std::size_t const first = fleet.leader().value();
    std::size_t const second = follower(fleet, 0);
    restart_empty(fleet, first);
    restart_empty(fleet, second);
    duration const back = fleet.now();
    CHECK(fleet.run_until([&] { return all_vote(fleet); }, 8s));
    CHECK(fleet.now() - back < 3s);
}

// The configuration was lost for good: the group still had to take them in.
TEST_CASE("two lose their disks, and 4.1 s later two others do")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 41))));
    REQUIRE(fleet.run_until([&] { return all_vote(fleet); }, 10s));
    std::size_t const first = fleet.leader().value();
    std::size_t const second = follower(fleet, 0);
    restart_empty(fleet, first);
    restart_empty(fleet, second);
    fleet.run_for(4100ms);
    make_change(fleet, {put_account("kept", 1, 1)});
    for (std::size_t const i : {2U, 3U})
        restart_empty(fleet, (first + i) % control_hosts);
    CHECK(fleet.run_until(
        [&] { return holds(fleet, (first + 2) % control_hosts, 1); }, 8s));
    CHECK(fleet.run_until([&] { return all_vote(fleet); }, 1s));
}

// Removal before the addition would leave too few disks to commit anything.
TEST_CASE("one of as few voters as copies are needed may lose its disk")
{
    fleet_options o = five_control_hosts(GENERATE(range(1, 9)));
    o.hosts_ = o.control_hosts_ = 3;
    memory_fleet fleet(o);
    fleet.run_for(6s);
    make_change(fleet, {put_account("kept", 1, 1)});
    std::size_t const lost = (fleet.leader().value() + 1) % 3;
    restart_empty(fleet, lost);
    CHECK(fleet.run_until([&] { return is_leaders_voter(fleet, lost); }, 4s));
    fleet.run_for(1s);
    make_change(fleet, {put_account("after", 1, 1)});
    CHECK(fleet.control_of(0).consensus_.log_.voters().size() == 3);
}
