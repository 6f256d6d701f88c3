// A request that crashes each server that runs it is quarantined on the whole
// fleet; innocent requests beside it survive.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

TEST_CASE("a crashing request costs two servers and is then refused everywhere")
{
    fleet_options o;
    o.hosts_ = 8;
    memory_fleet fleet(o);
    wait_until_ready(fleet, 8);
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", repeatable_route("/plans", "plans"))});
    for (std::size_t i = 0; i < 8; ++i)
    {
        backend_options b;
        b.id_ = "plans-" + std::to_string(i);
        b.service_ = name_literal<service_name>("plans");
        b.service_time_ = 20ms;
        fleet.add_backend(i, b);
    }
    fleet.run_for(3s);
    request const killer = with_header(
        request_with_key("GET", "/plans", "acme", "killer"), "fake-crash", "1");
    std::vector<std::uint64_t> innocent;
    for (int i = 0; i < 400; ++i)
    {
        if (i % 50 == 10)
            fleet.send_request(fleet.random().below(8), killer);
        innocent.push_back(fleet.send_request(
            fleet.random().below(8),
            request_with_key(
                "GET", "/plans", "acme", "innocent" + std::to_string(i))));
        fleet.run_for(20ms);
    }
    fleet.run_for(3s);
    std::size_t crashes = 0;
    for (std::size_t i = 0; i < 8; ++i)
        crashes += fleet.backend_up("plans-" + std::to_string(i)) ? 0 : 1;
    CHECK(crashes <= 3); // the first request's retry may land before the notice
    CHECK(crashes >= 2);
    std::size_t quarantined = 0;
    for (std::uint64_t const n : innocent)
    {
        verdict const v = fleet.verdict_of(n).value();
        not_run const* refused = std::get_if<not_run>(&v);
        quarantined +=
            refused && refused->reason_ == refusal_reason::quarantined ? 1 : 0;
    }
    CHECK(quarantined == 0);
    std::uint64_t const again = fleet.send_request(5, killer);
    fleet.run_for(1s);
    CHECK(
        std::get<not_run>(fleet.verdict_of(again).value()).reason_ ==
        refusal_reason::quarantined);
}
