// A planned stop gives up no call at which a server is at work, however long
// the grace time is.
#include <catch2/catch.hpp>

#include <jackdawhall/daemon/node_settings.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

// Longest route timeout of the scenario.
constexpr duration longest_call = 6s;
constexpr std::size_t stopping_host = 4;

fleet_options options_with_grace(std::uint32_t grace_s)
{
    settings::daemon_settings s;
    s.infrastructure_ = settings::infrastructure{};
    s.infrastructure_->grace_s_ = grace_s;
    fleet_options o;
    o.shutdown_periods_ = daemon::call_settings(s).shutdown_periods_;
    return o;
}

void set_up_slow_service(memory_fleet& fleet)
{
    set_up_default_fleet(fleet, 5);
    route_v1 slow = repeatable_route("/plans", "plans");
    slow.timeout_ms_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(longest_call)
            .count();
    make_change(fleet, {put_route("plans", slow, 1)});
    fleet.send_request(
        stopping_host, request_with_key("GET", "/plans", "acme", "warm"));
    fleet.run_for(1s);
}

// Sends a call that takes almost as long as its route allows, every 500 ms
// until the host has stopped; returns their numbers. The other hosts' servers
// have a slot for each.
std::vector<std::uint64_t> send_until_stopped(memory_fleet& fleet)
{
    std::vector<std::uint64_t> sent;
    fleet.request_stop(stopping_host);
    for (int i = 0; !fleet.stopped(stopping_host) && i < 120; ++i)
    {
        request const slow = with_header(
            request_with_key(
                "GET", "/plans", "acme", "call " + std::to_string(i)),
            "fake-sleep-ms", "5900");
        sent.push_back(fleet.send_request(stopping_host, slow));
        fleet.run_for(500ms);
    }
    return sent;
}

std::pair<record_key, record_body> open_route(std::string const& service)
{
    route_v2 r;
    r.virtual_host_ = "a.example";
    r.path_prefix_ = "/" + service + "/";
    r.services_ = {{service_name::make(service).value(), 1}};
    r.open_ = true;
    r.timeout_ms_ = 5000;
    return {{"route", r.virtual_host_ + r.path_prefix_, 2}, r};
}

// Open routes to services "outer" and "inner", whose servers make calls without
// a ticket. Each has a server on every host.
void set_up_open_routes(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    document d;
    d.version_ = 1;
    d.digest_ = "digest";
    for (std::string const service : {"outer", "inner"})
    {
        d.contents_.push_back({{"service", service, 2}, service_v2{}});
        d.contents_.push_back(open_route(service));
        for (std::size_t host = 0; host < 5; ++host)
        {
            backend_options b;
            b.id_ = service + std::to_string(host);
            b.service_ = service_name::make(service).value();
            fleet.add_backend(host, b);
        }
    }
    fleet.submit(fleet.leader().value(), d);
    fleet.run_for(8s);
}

request open_request(std::string const& path, std::string const& sleep_ms)
{
    return {
        "GET", path, {{"host", "a.example"}, {"fake-sleep-ms", sleep_ms}}, {}};
}

std::size_t count_given_up(
    memory_fleet const& fleet, std::vector<std::uint64_t> const& sent)
{
    std::size_t given_up = 0;
    for (std::uint64_t const n : sent)
    {
        std::optional<verdict> const v = fleet.verdict_of(n);
        bool const settled = v && !std::holds_alternative<may_have_run>(*v);
        given_up += settled ? 0 : 1;
    }
    return given_up;
}

} // namespace

// Calls were taken for half of the grace time, too late to be finished in the
// other half.
TEST_CASE("a call taken during a stop with a long grace time is finished")
{
    for (std::uint32_t const grace_s : {10U, 11U, 20U, 30U})
    {
        memory_fleet fleet(options_with_grace(grace_s));
        set_up_slow_service(fleet);
        std::vector<std::uint64_t> const sent = send_until_stopped(fleet);
        INFO("grace time of " << grace_s << " s, " << sent.size() << " calls");
        REQUIRE(fleet.stopped(stopping_host));
        CHECK(count_given_up(fleet, sent) == 0);
    }
}

// The call was refused, so that the run failed at which its server was at work.
TEST_CASE("a run in progress may make its calls until the stop is complete")
{
    memory_fleet fleet(options_with_grace(6));
    set_up_open_routes(fleet);
    std::size_t const entry = 1; // in the same region
    std::vector<std::uint64_t> outer;
    for (int i = 0; i < 10; ++i)
        outer.push_back(
            fleet.send_request(entry, open_request("/outer/x", "4500")));
    fleet.run_for(50ms);
    REQUIRE_FALSE(fleet.calls_of(stopping_host).runs_.empty());
    fleet.request_stop(stopping_host);
    fleet.run_for(4s);
    REQUIRE_FALSE(fleet.stopped(stopping_host));
    std::uint64_t const inner = fleet.send_request(
        stopping_host,
        with_header(open_request("/inner/x", "10"), timeout_header, "900"));
    std::uint64_t const outsider =
        fleet.send_request(stopping_host, open_request("/inner/x", "10"));
    fleet.run_for(1s);
    CHECK(std::holds_alternative<ran>(fleet.verdict_of(inner).value()));
    // It may take longer than any run in progress.
    CHECK(std::holds_alternative<not_run>(fleet.verdict_of(outsider).value()));
    for (std::uint64_t const n : outer)
        CHECK(std::holds_alternative<ran>(fleet.verdict_of(n).value()));
}

// They ended with the process, without an answer.
TEST_CASE("callers are answered when the grace time is over")
{
    fleet_options o;
    o.shutdown_periods_ = {1s, 2s};
    memory_fleet fleet(o);
    set_up_slow_service(fleet);
    request const slow = with_header(
        request_with_key("GET", "/plans", "acme"), "fake-sleep-ms", "5000");
    std::uint64_t const forwarded = fleet.send_request(stopping_host, slow);
    fleet.run_for(50ms);
    fleet.request_stop(stopping_host);
    fleet.run_for(2100ms);
    REQUIRE(fleet.stopped(stopping_host));
    CHECK(std::holds_alternative<may_have_run>(
        fleet.verdict_of(forwarded).value()));
}

// It was noticed at the next renewal only.
TEST_CASE("a stop is complete as soon as its last work is")
{
    fleet_options o;
    o.shutdown_periods_ = {1s, 10s};
    memory_fleet fleet(o);
    set_up_slow_service(fleet);
    request const slow = with_header(
        request_with_key("GET", "/plans", "acme"), "fake-sleep-ms", "2300");
    std::uint64_t const last = fleet.send_request(stopping_host, slow);
    fleet.request_stop(stopping_host);
    fleet.run_until([&] { return fleet.verdict_of(last).has_value(); }, 5s);
    fleet.run_for(10ms);
    CHECK(fleet.stopped(stopping_host));
}
