// A request that may not be repeated runs at most once, wherever it is sent
// again.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

request payment(std::string const& key, std::string body = "40")
{
    return with_header(
        request_with_key("POST", "/payments", "acme", std::move(body)),
        idempotency_header, key);
}

} // namespace

TEST_CASE("a resend at another host gets the same answer without a second run")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    std::string const key = new_idempotency_key(fleet);
    std::uint64_t const first = fleet.send_request(0, payment(key));
    fleet.run_for(1s);
    for (std::size_t i = 0; i < 5; ++i)
    {
        std::uint64_t const again = fleet.send_request(i, payment(key));
        fleet.run_for(1s);
        CHECK(fleet.verdict_of(again) == fleet.verdict_of(first));
    }
    CHECK(std::holds_alternative<ran>(fleet.verdict_of(first).value()));
    CHECK(fleet.recorded_history().runs_.size() == 1);
}

TEST_CASE("a resend while the first still runs waits for its answer")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    std::string const key = new_idempotency_key(fleet);
    request const slow = with_header(payment(key), "fake-sleep-ms", "500");
    std::uint64_t const first = fleet.send_request(0, slow);
    fleet.run_for(100ms);
    std::uint64_t const second = fleet.send_request(3, slow);
    fleet.run_for(3s);
    CHECK(fleet.verdict_of(first) == fleet.verdict_of(second));
    CHECK(fleet.recorded_history().runs_.size() == 1);
}

TEST_CASE("after the holder died a resend may have run and does not run again")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    std::string const key = new_idempotency_key(fleet);
    fleet.send_request(4, with_header(payment(key), "fake-sleep-ms", "500"));
    fleet.run_for(200ms);
    REQUIRE(fleet.recorded_history().runs_.size() == 1);
    fleet.kill(4);
    fleet.start(4);
    fleet.run_for(2s);
    for (std::size_t i : {0, 4})
    {
        std::uint64_t const again = fleet.send_request(i, payment(key));
        fleet.run_for(4s);
        CHECK(std::holds_alternative<may_have_run>(
            fleet.verdict_of(again).value()));
    }
    CHECK(fleet.recorded_history().runs_.size() == 1);
}

TEST_CASE("a payment whose connection broke is in doubt and never runs again")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    for (char const* id : {"payments-1", "payments-3"})
        fleet.backend(id).fails_ = true;
    std::string const key = new_idempotency_key(fleet);
    std::uint64_t const first = fleet.send_request(0, payment(key));
    fleet.run_for(2s);
    CHECK(
        std::get<may_have_run>(fleet.verdict_of(first).value()).reason_ ==
        indeterminate_reason::connection_lost);
    for (char const* id : {"payments-1", "payments-3"})
        fleet.backend(id).fails_ = false;
    for (std::size_t i = 0; i < 5; ++i)
    {
        std::uint64_t const again = fleet.send_request(i, payment(key));
        fleet.run_for(4s);
        CHECK(std::holds_alternative<may_have_run>(
            fleet.verdict_of(again).value()));
    }
    CHECK(fleet.recorded_history().runs_.size() == 1);
}

TEST_CASE("a request proven not to have run may be sent again under its key")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    fleet.crash_backend("payments-1");
    fleet.crash_backend("payments-3");
    std::string const key = new_idempotency_key(fleet);
    std::uint64_t const refused = fleet.send_request(0, payment(key));
    fleet.run_for(4s);
    CHECK(std::holds_alternative<not_run>(fleet.verdict_of(refused).value()));
    fleet.restart_backend("payments-1", "payments-1b");
    fleet.run_for(4s);
    std::uint64_t const again = fleet.send_request(2, payment(key));
    fleet.run_for(4s);
    CHECK(std::holds_alternative<ran>(fleet.verdict_of(again).value()));
    CHECK(fleet.recorded_history().runs_.size() == 1);
}

TEST_CASE("a key used for another body is refused")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    std::string const key = new_idempotency_key(fleet);
    fleet.send_request(0, payment(key, "40"));
    fleet.run_for(1s);
    for (std::size_t i : {0, 3})
    {
        std::uint64_t const other = fleet.send_request(i, payment(key, "99"));
        fleet.run_for(1s);
        CHECK(
            std::get<not_run>(fleet.verdict_of(other).value()).reason_ ==
            refusal_reason::idempotency_key_reused);
    }
}

TEST_CASE("a key that is missing, malformed, too old or too new does not run")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    random_source random(9);
    wall_time const now{
        std::chrono::milliseconds{1'800'000'000'000} +
        std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now())};
    std::uint64_t const none =
        fleet.send_request(0, request_with_key("POST", "/payments", "acme"));
    std::uint64_t const malformed = fleet.send_request(0, payment("order-7"));
    std::uint64_t const old =
        fleet.send_request(0, payment(make_uuid(now - 2h, random)));
    std::uint64_t const early =
        fleet.send_request(0, payment(make_uuid(now + 1h, random)));
    fleet.run_for(4s);
    auto const reason = [&](std::uint64_t n)
    { return std::get<not_run>(fleet.verdict_of(n).value()).reason_; };
    CHECK(reason(none) == refusal_reason::idempotency_key_missing);
    CHECK(reason(malformed) == refusal_reason::idempotency_key_invalid);
    CHECK(reason(early) == refusal_reason::idempotency_key_too_new);
    CHECK(
        std::get<may_have_run>(fleet.verdict_of(old).value()).reason_ ==
        indeterminate_reason::idempotency_key_expired);
    CHECK(fleet.recorded_history().runs_.empty());
}

TEST_CASE("a daemon frozen between its claim and its run does not run it late")
{
    memory_fleet fleet({});
    set_up_default_fleet(fleet, 5);
    std::string const key = new_idempotency_key(fleet);
    std::uint64_t const first = fleet.send_request(4, payment(key));
    fleet.run_for(1ms); // the claim is on its way
    fleet.freeze(4);
    fleet.run_for(1s);
    std::uint64_t const second = fleet.send_request(0, payment(key));
    fleet.run_for(10s);
    fleet.thaw(4);
    fleet.run_for(5s);
    CHECK(check_at_most_once(fleet.recorded_history(), "/payments").empty());
    CHECK(check_not_run(fleet.recorded_history()).empty());
    CHECK(fleet.verdict_of(first).has_value());
    CHECK(fleet.verdict_of(second).has_value());
}
