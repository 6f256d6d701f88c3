// Requests on routes that bound their attempts: how many servers they reach,
// what they are told when they waited in vain, and what ends with their caller.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::uint32_t attempts = 2;

std::pair<record_key, record_body>
make_route(std::string const& service, repetition repeats)
{
    route_v2 r;
    r.virtual_host_ = "a.example";
    r.path_prefix_ = "/" + service + "/";
    r.services_ = {{service_name::make(service).value(), 1}};
    r.repetition_ = repeats;
    r.timeout_ms_ = 10'000;
    r.attempts_ = attempts;
    return {{"route", r.virtual_host_ + r.path_prefix_, 2}, r};
}

// Routes to services "once" and "again", for an account without a limit.
void put_document(memory_fleet& fleet)
{
    std::string const key =
        find_header(request_with_key("GET", "/", "acme").headers_, key_header);
    account_name const acme = account_name::make("acme").value();
    document d;
    d.version_ = 1;
    d.digest_ = "digest";
    d.contents_ = {
        {{"account", acme.str(), 3}, account_v3{}},
        {{"key", fingerprint(key), 2}, key_v2{acme}},
        {{"service", "once", 2}, service_v2{}},
        {{"service", "again", 2}, service_v2{}},
        make_route("once", repetition::once_per_attempt),
        make_route("again", repetition::repeatable)};
    std::uint64_t const n = fleet.submit(fleet.leader().value(), d);
    fleet.run_for(8s);
    change_outcome const outcome =
        fleet.recorded_history().changes_.at(n).outcome_.value();
    rejected const* why = std::get_if<rejected>(&outcome);
    INFO((why ? why->what_ : ""));
    REQUIRE(std::holds_alternative<accepted>(outcome));
}

backend_options make_backend(std::string const& id, std::string const& service)
{
    backend_options b;
    b.id_ = id;
    b.service_ = service_name::make(service).value();
    return b;
}

// Servers of both services on each host.
void set_up(memory_fleet& fleet, bool fails)
{
    wait_until_ready(fleet, 5);
    for (std::size_t host = 0; host < 5; ++host)
    {
        for (std::string const service : {"once", "again"})
        {
            backend_options b =
                make_backend(service + std::to_string(host), service);
            b.fails_ = fails;
            fleet.add_backend(host, b);
        }
    }
    put_document(fleet);
}

std::size_t runs_after(memory_fleet const& fleet, std::size_t before)
{
    return fleet.recorded_history().runs_.size() - before;
}

request call(std::string const& method, std::string const& path)
{
    return with_header(
        request_with_key(method, path, "acme"), "host", "a.example");
}

request with_deadline(request r, std::string const& milliseconds)
{
    return with_header(std::move(r), timeout_header, milliseconds);
}

} // namespace

TEST_CASE("a request that may not be repeated reaches one server")
{
    memory_fleet fleet({});
    set_up(fleet, true);
    std::size_t const before = fleet.recorded_history().runs_.size();
    for (int i = 0; i < 20; ++i)
    {
        fleet.send_request(
            static_cast<std::size_t>(i % 5), call("POST", "/once/x"));
        fleet.run_for(100ms);
    }
    fleet.run_for(2s);
    CHECK(runs_after(fleet, before) <= 20);
    CHECK(runs_after(fleet, before) >= 5);
}

TEST_CASE("retries stay within their share of what callers send")
{
    memory_fleet fleet({});
    set_up(fleet, true);
    std::size_t const before = fleet.recorded_history().runs_.size();
    constexpr std::size_t requests = 400;
    for (std::size_t i = 0; i < requests; ++i)
    {
        fleet.send_request(i % 5, call("GET", "/again/x"));
        fleet.run_for(10ms);
    }
    fleet.run_for(2s);
    calls::retry_budget_policy const allowed;
    double const most =
        requests * (1 + allowed.share_) + 5 * allowed.nested_retry_cost_;
    CHECK(runs_after(fleet, before) >= requests / 2);
    CHECK(static_cast<double>(runs_after(fleet, before)) <= most);
}

TEST_CASE("what waits at a gate in vain is told in time that it has not run")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    backend_options b = make_backend("only", "once");
    b.slots_ = 1;
    fleet.add_backend(0, b);
    put_document(fleet);
    request const slow =
        with_header(call("POST", "/once/x"), "fake-sleep-ms", "5000");
    fleet.send_request(1, slow);
    fleet.run_for(100ms);
    std::uint64_t const late =
        fleet.send_request(1, with_deadline(call("POST", "/once/x"), "400"));
    fleet.run_for(390ms);
    REQUIRE(fleet.verdict_of(late).has_value());
    REQUIRE(std::holds_alternative<not_run>(fleet.verdict_of(late).value()));
    CHECK(
        std::get<not_run>(fleet.verdict_of(late).value()).reason_ ==
        refusal_reason::deadline_passed);
}

TEST_CASE("calls that run out of time at a busy server do not set it aside")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    fleet.add_backend(0, make_backend("only", "once"));
    put_document(fleet);
    request const slow =
        with_header(call("POST", "/once/x"), "fake-sleep-ms", "5000");
    for (int i = 0; i < 6; ++i)
    {
        fleet.send_request(1, with_deadline(slow, "200"));
        fleet.run_for(100ms);
        fleet.send_request(1, call("POST", "/once/x"));
        fleet.run_for(200ms);
    }
    calls::state const& entry = fleet.calls_of(1);
    REQUIRE(entry.server_stats_.size() == 1);
    CHECK(entry.server_stats_.begin()->second.consecutive_ejections_ == 0);
    CHECK(entry.server_stats_.begin()->second.failures_ == 0);
}

TEST_CASE("a repeatable run ends soon after its caller has left")
{
    memory_fleet fleet({});
    set_up(fleet, false);
    std::uint64_t const n = fleet.send_request(
        1, with_header(call("GET", "/again/x"), "fake-sleep-ms", "5000"));
    fleet.run_for(100ms);
    auto const runs = [&]
    {
        std::size_t count = 0;
        for (std::size_t host = 0; host < 5; ++host)
            count += fleet.calls_of(host).runs_.size();
        return count;
    };
    REQUIRE(runs() == 1);
    fleet.disconnect_caller(n);
    fleet.run_for(500ms);
    CHECK(runs() == 0);
}

TEST_CASE("before there is a configuration nobody is told that a key is wrong")
{
    memory_fleet fleet({});
    std::uint64_t const n =
        fleet.send_request(4, request_with_key("GET", "/plans", "nobody"));
    fleet.run_for(10ms);
    REQUIRE(fleet.verdict_of(n).has_value());
    verdict const v = fleet.verdict_of(n).value();
    REQUIRE(std::holds_alternative<not_run>(v));
    CHECK(
        std::get<not_run>(v).reason_ == refusal_reason::no_fresh_configuration);
}
