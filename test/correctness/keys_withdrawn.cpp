// A withdrawn key stops working within the freshness lease everywhere, also on
// hosts that are cut off; open routes go on.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

// Sends a request at every host each 50 ms for a time.
void send_steadily(memory_fleet& fleet, request const& r, duration length)
{
    duration const end = fleet.now() + length;
    while (fleet.now() < end)
    {
        for (std::size_t i = 0; i < 5; ++i)
            fleet.send_request(i, r);
        fleet.run_for(50ms);
    }
}

void set_up_open_route(memory_fleet& fleet)
{
    route_v1 open = repeatable_route("/plans/open", "plans");
    open.open_ = true;
    make_change(fleet, {put_route("open", open)});
    fleet.run_for(1s);
}

} // namespace

TEST_CASE("a withdrawn key is dead everywhere within 5 s, also where cut off")
{
    bool const cut_off = GENERATE(false, true);
    fleet_options o;
    o.clock_error_ = 0.009;
    memory_fleet fleet(o);
    set_up_default_fleet(fleet, 5);
    set_up_open_route(fleet);
    if (cut_off)
        fleet.isolate(4); // a daemon beside the backend server plans-4
    make_change(fleet, {put_key("acme", "first", 1, true)});
    duration const accepted_at = fleet.now();
    send_steadily(fleet, request_with_key("GET", "/plans/closed", "acme"), 8s);
    CHECK(check_no_runs_after(
              fleet.recorded_history(), "/plans/closed", accepted_at + 5s)
              .empty());
}

TEST_CASE("a host that is cut off keeps its open routes and refuses the others")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    set_up_open_route(fleet);
    fleet.send_request(4, {"GET", "/plans/open", {}, "warm"});
    fleet.run_for(1s);
    fleet.isolate(4);
    fleet.run_for(7s);
    std::uint64_t const closed =
        fleet.send_request(4, request_with_key("GET", "/plans", "acme"));
    std::uint64_t const open =
        fleet.send_request(4, {"GET", "/plans/open", {}, "x"});
    fleet.run_for(2s);
    CHECK(
        std::get<not_run>(fleet.verdict_of(closed).value()).reason_ ==
        refusal_reason::no_fresh_configuration);
    CHECK(std::holds_alternative<ran>(fleet.verdict_of(open).value()));
}

TEST_CASE("a daemon leaves a control host that is silently cut off")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    // Host 3 is attached to control host 0, which loses its peers only.
    fleet.cut(0, 1);
    fleet.cut(0, 2);
    fleet.cut(1, 0);
    fleet.cut(2, 0);
    fleet.run_for(8s);
    revision const r = make_change(fleet, {put_account("late", 1, 1)});
    fleet.run_for(2s);
    CHECK(fleet.calls_of(3).configuration_.revision_ == r);
    CHECK(calls::is_fresh(
        fleet.calls_of(3).configuration_,
        fleet.calls_of(3).control_.renewal_due_));
}

TEST_CASE("a revision never goes back with a control host that is behind")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    fleet.isolate(2);
    for (int i = 0; i < 10; ++i)
        make_change(fleet, {put_account("a" + std::to_string(i), 1, 1)});
    fleet.run_for(1s);
    revision const newest = fleet.calls_of(3).configuration_.revision_;
    // Now only the control host that is behind can be reached by host 3.
    fleet.heal_all();
    for (std::size_t i = 0; i < 2; ++i)
    {
        fleet.cut(3, i);
        fleet.cut(i, 3);
        fleet.cut(2, i);
        fleet.cut(i, 2);
    }
    fleet.run_for(10s);
    CHECK(fleet.calls_of(3).configuration_.revision_ >= newest);
    CHECK(check_no_reversion(fleet.recorded_history()).empty());
}
