// After all hosts lost power, daemons serve again soon after a control host can
// confirm the configuration.
#include <catch2/catch.hpp>

#include <algorithm>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr std::size_t all_hosts = 20;

bool can_confirm(memory_fleet const& fleet)
{
    std::optional<std::size_t> const leader = fleet.leader();
    if (!leader)
        return false;
    control::consensus_state const& c = fleet.control_of(*leader).consensus_;
    return c.commit_ >= std::get<control::leader>(c.role_).term_first_index_;
}

bool all_have_leases(memory_fleet const& fleet)
{
    for (std::size_t i = control_hosts; i < all_hosts; ++i)
    {
        if (!fleet.calls_of(i).configuration_.fresh_until_)
            return false;
    }
    return true;
}

} // namespace

TEST_CASE("daemons have leases soon after all hosts lost power")
{
    fleet_options o = five_control_hosts(GENERATE(range(1, 9)));
    o.hosts_ = all_hosts;
    o.in_force_ = 2500ms;
    memory_fleet fleet(o);
    wait_until_ready(fleet, all_hosts);
    fleet.run_for(group_formed);
    make_change(fleet, {put_account("one", 1, 1)});
    for (std::size_t i = 0; i < all_hosts; ++i)
        fleet.kill(i);
    fleet.run_for(1s);
    for (std::size_t i = 0; i < all_hosts; ++i)
        fleet.start(i);
    REQUIRE(fleet.run_until([&] { return can_confirm(fleet); }, 10s));
    // A heartbeat tells the other control hosts, and then a renewal follows.
    CHECK(fleet.run_until([&] { return all_have_leases(fleet); }, 500ms));
}
