// A backend server that leaves gets no new work; a planned stop cuts nothing
// off.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

std::size_t
runs_after(memory_fleet const& fleet, std::string const& server, duration when)
{
    std::size_t count = 0;
    for (run_event const& run : fleet.recorded_history().runs_)
        count += run.server_ == server && run.at_ > when ? 1 : 0;
    return count;
}

void send_for(memory_fleet& fleet, duration length)
{
    duration const end = fleet.now() + length;
    while (fleet.now() < end)
    {
        fleet.send_request(
            fleet.random().below(5),
            request_with_key("GET", "/plans", "acme", "x"));
        fleet.run_for(20ms);
    }
}

} // namespace

TEST_CASE("a draining server gets no new work, and nobody is refused for it")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    send_for(fleet, 1s);
    fleet.set_backend_state("plans-2", server_state::draining);
    duration const drained = fleet.now();
    send_for(fleet, 3s);
    CHECK(runs_after(fleet, "plans-2", drained) == 0);
    for (verdict_event const& v : fleet.recorded_history().verdicts_)
        CHECK(std::holds_alternative<ran>(v.verdict_));
}

TEST_CASE("a server that went silent gets no new work after a few seconds")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    fleet.backend("plans-2").announces_ = false;
    duration const silent = fleet.now();
    send_for(fleet, 8s);
    CHECK(runs_after(fleet, "plans-2", silent + 5s) == 0);
}

TEST_CASE("a service that its operator drains gets no new work")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    make_change(fleet, {{{"service", "plans", 1}, 0, service_v1{true}}});
    duration const drained = fleet.now() + 5s;
    send_for(fleet, 7s);
    CHECK(runs_after(fleet, "plans-0", drained) == 0);
    CHECK(runs_after(fleet, "plans-2", drained) == 0);
}

TEST_CASE("a planned stop finishes a long request, entered here or run here")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    route_v1 patient = repeatable_route("/plans", "plans");
    patient.timeout_ms_ = 10000;
    make_change(fleet, {put_route("plans", patient, 1)});
    fleet.send_request(4, request_with_key("GET", "/plans", "acme", "warm"));
    fleet.run_for(1s);
    request const slow = with_header(
        request_with_key("GET", "/plans", "acme", "slow"), "fake-sleep-ms",
        "4000");
    std::vector<std::uint64_t> sent;
    for (std::size_t i = 0; i < 10; ++i)
        sent.push_back(fleet.send_request(i % 5, slow));
    fleet.run_for(100ms);
    fleet.request_stop(4);
    CHECK_FALSE(fleet.stopped(4));
    fleet.run_until([&] { return fleet.stopped(4); }, 10s);
    CHECK(fleet.stopped(4));
    for (std::uint64_t const n : sent)
        CHECK(std::holds_alternative<ran>(fleet.verdict_of(n).value()));
}

TEST_CASE("a stopping daemon refuses new requests as not run")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    fleet.request_stop(4);
    fleet.run_for(10ms);
    std::uint64_t const late =
        fleet.send_request(4, request_with_key("GET", "/plans", "acme"));
    fleet.run_for(1s);
    CHECK(
        std::get<not_run>(fleet.verdict_of(late).value()).reason_ ==
        refusal_reason::stopping);
}
