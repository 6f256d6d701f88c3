// A change accepted by a majority is in force at every daemon in time, also at
// those attached to control hosts that are cut off from the majority.
#include <catch2/catch.hpp>

#include <algorithm>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr std::size_t all_hosts = 15;

fleet_options
five_control_hosts_with_daemons(std::uint64_t seed, duration in_force)
{
    fleet_options o = five_control_hosts(seed);
    o.hosts_ = all_hosts;
    o.in_force_ = in_force;
    o.min_delay_ = 1ms;
    o.max_delay_ = 15ms;
    return o;
}

bool is_among(std::vector<std::size_t> const& hosts, std::size_t i)
{
    return std::find(hosts.begin(), hosts.end(), i) != hosts.end();
}

// Cuts the links between these control hosts and the other control hosts.
// Daemons that are not control hosts go on reaching all.
void cut_from_majority(
    memory_fleet& fleet, std::vector<std::size_t> const& isolated)
{
    for (std::size_t const i : isolated)
    {
        for (std::size_t k = 0; k < control_hosts; ++k)
        {
            if (is_among(isolated, k))
                continue;
            fleet.cut(i, k);
            fleet.cut(k, i);
        }
    }
}

// Two control hosts, of which one leads or neither does.
std::vector<std::size_t>
two_hosts(memory_fleet const& fleet, bool with_leader, std::size_t rotation)
{
    std::size_t const leader = fleet.leader().value();
    std::size_t const first = 1 + rotation % (control_hosts - 1);
    std::size_t const second = 1 + (rotation + 1) % (control_hosts - 1);
    return {
        with_leader ? leader : (leader + first) % control_hosts,
        (leader + second) % control_hosts};
}

bool all_daemons_hold(memory_fleet const& fleet, revision newest)
{
    for (std::size_t i = control_hosts; i < all_hosts; ++i)
    {
        if (fleet.calls_of(i).configuration_.revision_ < newest)
            return false;
    }
    return true;
}

// Within three quarters of what the operator may expect.
duration bound(duration in_force)
{
    return in_force * 3 / 4;
}

} // namespace

TEST_CASE("a change is in force at daemons of isolated control hosts")
{
    duration const in_force = GENERATE(2000ms, 2500ms);
    bool const with_leader = GENERATE(false, true);
    std::uint64_t const seed = GENERATE(range(1, 9));
    memory_fleet fleet(five_control_hosts_with_daemons(seed, in_force));
    wait_until_ready(fleet, all_hosts);
    fleet.run_for(group_formed);
    make_change(fleet, {put_account("one", 1, 1)});
    fleet.run_for(in_force);
    std::vector<std::size_t> const isolated =
        two_hosts(fleet, with_leader, seed);
    cut_from_majority(fleet, isolated);
    // A leader that is cut off steps down later than another one is elected.
    REQUIRE(fleet.run_until(
        [&]
        {
            std::optional<std::size_t> const leader = fleet.leader();
            return leader && !is_among(isolated, *leader);
        },
        5s));
    revision const newest = make_change(fleet, {put_account("two", 1, 1)});
    CHECK(fleet.run_until(
        [&] { return all_daemons_hold(fleet, newest); }, bound(in_force)));
}

TEST_CASE("each change of a series is in force at daemons of isolated hosts")
{
    constexpr int changes = 8;
    constexpr duration pause = 250ms; // between two changes
    duration const in_force = GENERATE(2000ms, 2500ms);
    std::uint64_t const seed = GENERATE(range(1, 9));
    memory_fleet fleet(five_control_hosts_with_daemons(seed, in_force));
    wait_until_ready(fleet, all_hosts);
    fleet.run_for(group_formed);
    make_change(fleet, {put_account("one", 1, 1)});
    fleet.run_for(in_force);
    std::vector<std::size_t> const isolated = two_hosts(fleet, true, seed);
    cut_from_majority(fleet, isolated);
    REQUIRE(fleet.run_until(
        [&]
        {
            std::optional<std::size_t> const leader = fleet.leader();
            return leader && !is_among(isolated, *leader);
        },
        5s));
    int checked = 0;
    for (int i = 0; i < changes; ++i)
    {
        std::string const name = "account-" + std::to_string(i);
        revision const newest = make_change(fleet, {put_account(name, 1, 1)});
        fleet.at(
            fleet.now() + bound(in_force),
            [&, newest]
            {
                ++checked;
                CHECK(all_daemons_hold(fleet, newest));
            });
        fleet.run_for(pause);
    }
    fleet.run_for(in_force);
    CHECK(checked == changes);
}

TEST_CASE("the leases of daemons outlast the isolation of their control hosts")
{
    duration const in_force = 2500ms;
    std::uint64_t const seed = GENERATE(range(1, 9));
    memory_fleet fleet(five_control_hosts_with_daemons(seed, in_force));
    wait_until_ready(fleet, all_hosts);
    fleet.run_for(group_formed);
    make_change(fleet, {put_account("one", 1, 1)});
    fleet.run_for(in_force);
    cut_from_majority(fleet, two_hosts(fleet, false, seed));
    for (int i = 0; i < 20; ++i)
    {
        fleet.run_for(500ms);
        for (std::size_t k = control_hosts; k < all_hosts; ++k)
        {
            calls::state const& s = fleet.calls_of(k);
            CHECK(calls::is_fresh(s.configuration_, s.control_.renewal_due_));
        }
    }
}
