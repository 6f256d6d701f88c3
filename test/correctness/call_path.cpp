// A request enters at any host, runs once, and its caller gets the whole answer
// with a verdict; the backend server never sees the key.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

refusal_reason refusal_of(memory_fleet const& fleet, std::uint64_t request)
{
    return std::get<not_run>(fleet.verdict_of(request).value()).reason_;
}

} // namespace

TEST_CASE("a request with a key runs, entered at every host")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    for (std::size_t i = 0; i < 5; ++i)
    {
        std::uint64_t const n = fleet.send_request(
            i, request_with_key(
                   "GET", "/plans/7", "acme", "body" + std::to_string(i)));
        fleet.run_for(1s);
        ran const r = std::get<ran>(fleet.verdict_of(n).value());
        CHECK(r.answer_.status_ == 200);
        CHECK(r.answer_.body_ == "echo body" + std::to_string(i));
    }
    CHECK(check_answers(fleet.recorded_history()).empty());
}

TEST_CASE("the backend server gets a ticket in place of the key")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    request r = request_with_key("GET", "/plans", "acme", "x");
    r = with_header(r, "authorization", "Bearer other");
    fleet.send_request(0, r);
    fleet.run_for(1s);
    request const& seen = fleet.recorded_history().runs_.at(0).request_;
    CHECK(find_header(seen.headers_, key_header).empty());
    CHECK(find_header(seen.headers_, "authorization").empty());
    CHECK(find_header(seen.headers_, ticket_header).size() == 32);
    for (header const& field : seen.headers_)
        CHECK(field.value_.find(test_secret) == std::string::npos);
}

TEST_CASE("requests without a usable key are refused and do not run")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    request wrong = request_with_key("GET", "/plans", "acme");
    wrong.headers_.at(0).value_.back() = 'b';
    request forged{
        "GET", "/plans", {{ticket_header, std::string(32, '0')}}, {}};
    std::uint64_t const none = fleet.send_request(0, {"GET", "/plans", {}, {}});
    std::uint64_t const bad = fleet.send_request(1, wrong);
    std::uint64_t const ticket = fleet.send_request(2, forged);
    std::uint64_t const route =
        fleet.send_request(3, request_with_key("GET", "/nowhere", "acme"));
    std::uint64_t const prefix =
        fleet.send_request(3, request_with_key("GET", "/plansextra", "acme"));
    fleet.run_for(1s);
    CHECK(refusal_of(fleet, none) == refusal_reason::key_missing);
    CHECK(refusal_of(fleet, bad) == refusal_reason::key_unknown);
    CHECK(refusal_of(fleet, ticket) == refusal_reason::ticket_invalid);
    CHECK(refusal_of(fleet, route) == refusal_reason::no_route);
    CHECK(refusal_of(fleet, prefix) == refusal_reason::no_route);
    CHECK(fleet.recorded_history().runs_.empty());
}

TEST_CASE("the ticket of a run that ended is refused")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    fleet.send_request(0, request_with_key("GET", "/plans", "acme"));
    fleet.run_for(1s);
    request const& seen = fleet.recorded_history().runs_.at(0).request_;
    std::uint64_t const late = fleet.send_request(
        0, {"GET",
            "/plans",
            {{ticket_header, find_header(seen.headers_, ticket_header)}},
            {}});
    fleet.run_for(1s);
    CHECK(refusal_of(fleet, late) == refusal_reason::ticket_invalid);
}

TEST_CASE("a call that is late is answered at its deadline")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    request slow = with_header(
        request_with_key("GET", "/plans", "acme"), "fake-sleep-ms", "5000");
    slow = with_header(slow, timeout_header, "200");
    duration const began = fleet.now();
    std::uint64_t const n = fleet.send_request(0, slow);
    fleet.run_until([&] { return fleet.verdict_of(n).has_value(); }, 2s);
    CHECK(fleet.now() - began <= 210ms);
    CHECK(
        std::get<may_have_run>(fleet.verdict_of(n).value()).reason_ ==
        indeterminate_reason::deadline_passed);
}

TEST_CASE("a resend in progress joins its first request")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    request const r = with_header(
        with_header(
            request_with_key("GET", "/plans", "acme"), request_id_header, "r1"),
        "fake-sleep-ms", "50");
    std::uint64_t const first = fleet.send_request(0, r);
    fleet.run_for(10ms);
    std::uint64_t const second = fleet.send_request(0, r);
    fleet.run_for(1s);
    CHECK(fleet.verdict_of(first) == fleet.verdict_of(second));
    CHECK(fleet.recorded_history().runs_.size() == 1);
}

TEST_CASE("a late answer to a former run of a daemon meets no later call")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    auto const send_slow = [&](std::string const& body, std::string const& ms)
    {
        return fleet.send_request(
            4, with_header(
                   request_with_key("GET", "/plans", "acme", body),
                   "fake-sleep-ms", ms));
    };
    fleet.kill(4);
    fleet.start(4);
    fleet.run_for(3s);
    send_slow("first", "900");
    fleet.run_for(300ms);
    REQUIRE(fleet.recorded_history().runs_.size() == 1);
    fleet.kill(4);
    fleet.start(4);
    fleet.run_for(200ms);
    std::uint64_t const later = send_slow("later", "700");
    fleet.run_for(3s);
    ran const r = std::get<ran>(fleet.verdict_of(later).value());
    CHECK(r.answer_.body_ == "echo later");
    CHECK(check_answers(fleet.recorded_history()).empty());
}
