// A run whose caller left ends, also when the link that carried the
// cancellation ended.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t entry = 4;
constexpr std::size_t gate = 3;

// A repeatable run of 4 s is in progress at the gate, its caller has left, and
// the cancellation was lost.
void lose_cancellation(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    route_v1 plans = repeatable_route("/plans", "plans");
    plans.timeout_ms_ = 5000;
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", plans)});
    backend_options b;
    b.id_ = "plans-1";
    b.service_ = name_literal<service_name>("plans");
    fleet.add_backend(gate, b);
    fleet.run_for(2s);
    fleet.send_request(entry, request_with_key("GET", "/plans", "acme"));
    fleet.run_for(1s);
    std::uint64_t const n = fleet.send_request(
        entry, with_header(
                   request_with_key("GET", "/plans", "acme"), "fake-sleep-ms",
                   "4000"));
    fleet.run_for(100ms);
    REQUIRE(fleet.calls_of(gate).runs_.size() == 1);
    fleet.cut(entry, gate);
    fleet.disconnect_caller(n);
    fleet.run_for(100ms);
    fleet.heal(entry, gate);
    REQUIRE(fleet.calls_of(entry).calls_.empty());
    REQUIRE(fleet.calls_of(gate).runs_.size() == 1);
}

} // namespace

TEST_CASE("a lost cancellation is given again, as either end notices")
{
    bool const noticed_by_gate = GENERATE(true, false);
    memory_fleet fleet({});
    lose_cancellation(fleet);
    if (noticed_by_gate)
        fleet.end_link(gate, entry);
    else
        fleet.end_link(entry, gate);
    fleet.run_for(100ms);
    CHECK(fleet.calls_of(gate).runs_.empty());
}
