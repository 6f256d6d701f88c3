// A resend that waits for the outcome of a request at another daemon asks again
// when a link that carried the question or its answer ends.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t holder = 4;
constexpr std::size_t gate = 3;

// A payment of 400 ms in progress at the holder.
struct payment_in_progress
{
    request payment_;
    std::size_t second_ = 0; // the daemon that the payment is resent to
    std::size_t runs_before_ = 0;
};

payment_in_progress set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("pay", payment_route("/payments", "payments"))});
    backend_options b;
    b.id_ = "payments-1";
    b.service_ = name_literal<service_name>("payments");
    fleet.add_backend(gate, b);
    fleet.run_for(2s);
    payment_in_progress p;
    p.payment_ = with_header(
        with_header(
            request_with_key("POST", "/payments", "acme", "amount=40"),
            std::string(idempotency_header), new_idempotency_key(fleet)),
        "fake-sleep-ms", "400");
    p.second_ = (fleet.leader().value() + 1) % 3;
    p.runs_before_ = fleet.recorded_history().runs_.size();
    fleet.send_request(holder, p.payment_);
    fleet.run_until(
        [&]
        { return fleet.recorded_history().runs_.size() == p.runs_before_ + 1; },
        2s);
    return p;
}

bool ran_once(
    memory_fleet const& fleet, payment_in_progress const& p, std::uint64_t n)
{
    std::optional<verdict> const v = fleet.verdict_of(n);
    return v && std::holds_alternative<ran>(*v) &&
           fleet.recorded_history().runs_.size() == p.runs_before_ + 1;
}

std::size_t waiters_at_holder(memory_fleet const& fleet)
{
    std::size_t count = 0;
    for (auto const& [number, c] : fleet.calls_of(holder).calls_)
        count += c.waiters_.size();
    return count;
}

} // namespace

TEST_CASE("a question that its link lost is asked again")
{
    memory_fleet fleet({});
    payment_in_progress const p = set_up(fleet);
    fleet.cut(p.second_, holder);
    std::uint64_t const n = fleet.send_request(p.second_, p.payment_);
    fleet.run_for(100ms);
    REQUIRE(waiters_at_holder(fleet) == 1);
    fleet.heal(p.second_, holder);
    fleet.end_link(p.second_, holder);
    fleet.run_for(50ms);
    CHECK(waiters_at_holder(fleet) == 2);
    fleet.run_for(1s);
    CHECK(ran_once(fleet, p, n));
}

TEST_CASE("an outcome that its link lost is asked for again")
{
    memory_fleet fleet({});
    payment_in_progress const p = set_up(fleet);
    std::uint64_t const n = fleet.send_request(p.second_, p.payment_);
    fleet.run_for(100ms);
    REQUIRE(waiters_at_holder(fleet) == 2);
    fleet.cut(holder, p.second_);
    fleet.run_for(500ms);
    REQUIRE(waiters_at_holder(fleet) == 0);
    REQUIRE_FALSE(fleet.verdict_of(n));
    fleet.heal(holder, p.second_);
    fleet.end_link(p.second_, holder);
    fleet.run_for(100ms);
    CHECK(ran_once(fleet, p, n));
}

TEST_CASE("a question that is asked again waits once")
{
    memory_fleet fleet({});
    payment_in_progress const p = set_up(fleet);
    std::uint64_t const n = fleet.send_request(p.second_, p.payment_);
    fleet.run_for(50ms);
    fleet.end_link(p.second_, holder);
    fleet.end_link(p.second_, holder);
    fleet.run_for(50ms);
    CHECK(waiters_at_holder(fleet) == 2);
    fleet.run_for(1s);
    CHECK(ran_once(fleet, p, n));
}

TEST_CASE("a next process of the holder says that the request may have run")
{
    memory_fleet fleet({});
    payment_in_progress const p = set_up(fleet);
    std::uint64_t const n = fleet.send_request(p.second_, p.payment_);
    fleet.run_for(50ms);
    fleet.kill(holder);
    fleet.start(holder);
    fleet.run_for(100ms);
    fleet.end_link(p.second_, holder);
    fleet.run_for(100ms);
    CHECK(std::holds_alternative<may_have_run>(fleet.verdict_of(n).value()));
}
