// Rate and burst of an account hold over the whole fleet in every window, and
// an account within its rate is served though its calls are spread thinly.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t hosts = 12;

fleet_options many_hosts()
{
    fleet_options o;
    o.hosts_ = hosts;
    o.clock_error_ = 0.004;
    return o;
}

void set_up(memory_fleet& fleet, double rate, std::int64_t burst)
{
    wait_until_ready(fleet, hosts);
    make_change(
        fleet, {put_account("acme", rate, burst), put_key("acme", "first"),
                put_route("plans", repeatable_route("/plans", "plans"))});
    for (std::size_t i = 0; i < hosts; i += 3)
    {
        backend_options b;
        b.id_ = "plans-" + std::to_string(i);
        b.service_ = name_literal<service_name>("plans");
        fleet.add_backend(i, b);
    }
    fleet.run_for(4s);
    // Every daemon learns of the service before the measurement begins.
    for (std::size_t i = 0; i < hosts; ++i)
    {
        fleet.send_request(
            i, request_with_key("GET", "/plans", "acme", "warm"));
        fleet.run_for(duration{static_cast<std::int64_t>(1.2e6 / rate)});
    }
    fleet.run_for(4s);
}

std::size_t count_refused(memory_fleet const& fleet, std::string const& body)
{
    std::size_t refused = 0;
    for (verdict_event const& v : fleet.recorded_history().verdicts_)
    {
        request const& r =
            fleet.recorded_history().sent_.at(v.request_).request_;
        if (r.body_ == body && !std::holds_alternative<ran>(v.verdict_))
            ++refused;
    }
    return refused;
}

account_name const acme = name_literal<account_name>("acme");

} // namespace

TEST_CASE("an account at several times its rate gets its rate and no more")
{
    memory_fleet fleet(many_hosts());
    set_up(fleet, 50, 20);
    std::size_t const before = fleet.recorded_history().tokens_.size();
    duration const began = fleet.now();
    for (int i = 0; i < 4000; ++i) // 200 a second for 20 s
    {
        fleet.send_request(
            fleet.random().below(hosts),
            request_with_key("GET", "/plans", "acme", "x"));
        fleet.run_for(5ms);
    }
    fleet.run_for(2s);
    double const length =
        static_cast<double>((fleet.now() - began).count()) / 1e6;
    auto const served =
        static_cast<double>(fleet.recorded_history().tokens_.size() - before);
    CHECK(check_rate(fleet.recorded_history(), acme, 50, 20, 0.01).empty());
    CHECK(served >= 0.9 * 50 * (length - 2));
}

TEST_CASE("an account of 1 a second, spread over all hosts, is never refused")
{
    memory_fleet fleet(many_hosts());
    set_up(fleet, 1, 2);
    for (int i = 0; i < 60; ++i)
    {
        fleet.send_request(
            fleet.random().below(hosts),
            request_with_key("GET", "/plans", "acme", "x"));
        fleet.run_for(1050ms);
    }
    fleet.run_for(2s);
    CHECK(check_rate(fleet.recorded_history(), acme, 1, 2, 0.01).empty());
    CHECK(count_refused(fleet, "x") == 0);
}

TEST_CASE("an account within its rate is not refused, steady at many hosts")
{
    memory_fleet fleet(many_hosts());
    set_up(fleet, 200, 100);
    for (int i = 0; i < 4000; ++i) // 180 a second
    {
        fleet.send_request(
            fleet.random().below(hosts),
            request_with_key("GET", "/plans", "acme", "x"));
        fleet.run_for(5556us);
    }
    fleet.run_for(2s);
    CHECK(check_rate(fleet.recorded_history(), acme, 200, 100, 0.01).empty());
    CHECK(count_refused(fleet, "x") * 1000 < 4000); // under 0.1 %
}

TEST_CASE("the bound holds through the loss of a holder and of the allocator")
{
    memory_fleet fleet(many_hosts());
    set_up(fleet, 50, 40);
    for (int i = 0; i < 4000; ++i)
    {
        if (i == 500)
            fleet.kill(7);
        if (i == 1000)
            fleet.kill(fleet.leader().value());
        if (i == 2000)
        {
            for (std::size_t h = 0; h < hosts; ++h)
                fleet.start(h);
        }
        if (i == 2500)
            fleet.isolate(fleet.leader().value_or(0));
        if (i == 3300)
            fleet.heal_all();
        std::size_t const at = fleet.random().below(hosts);
        if (fleet.is_up(at))
            fleet.send_request(
                at, request_with_key("GET", "/plans", "acme", "x"));
        fleet.run_for(5ms);
    }
    fleet.run_for(2s);
    CHECK(check_rate(fleet.recorded_history(), acme, 50, 40, 0.01).empty());
}
