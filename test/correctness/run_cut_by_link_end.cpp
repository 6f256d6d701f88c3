// The end of a link between two hosts is not the end of either host, or of the
// work that one does for the other.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t entry = 4;
constexpr std::size_t gate = 3;

// One server of each service, both at the gate.
void set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    route_v1 plans = repeatable_route("/plans", "plans");
    plans.timeout_ms_ = 5000;
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", plans),
                put_route("pay", payment_route("/payments", "payments"))});
    for (std::string const name : {"plans", "payments"})
    {
        backend_options b;
        b.id_ = name + "-" + std::to_string(gate);
        b.service_ = service_name::make(name).value();
        fleet.add_backend(gate, b);
    }
    fleet.run_for(2s);
    // The first call waits until the entry knows the servers.
    fleet.send_request(entry, request_with_key("GET", "/plans", "acme"));
    fleet.run_for(1s);
}

request slow_read(std::string const& milliseconds)
{
    return with_header(
        request_with_key("GET", "/plans", "acme"), "fake-sleep-ms",
        milliseconds);
}

request slow_payment(memory_fleet& fleet, std::string const& milliseconds)
{
    return with_header(
        with_header(
            request_with_key("POST", "/payments", "acme", "amount=40"),
            std::string(idempotency_header), new_idempotency_key(fleet)),
        "fake-sleep-ms", milliseconds);
}

bool ran_once(memory_fleet const& fleet, std::size_t before, std::uint64_t n)
{
    std::optional<verdict> const v = fleet.verdict_of(n);
    return v && std::holds_alternative<ran>(*v) &&
           fleet.recorded_history().runs_.size() == before + 1;
}

} // namespace

TEST_CASE("a run goes on when a link to its entry ends")
{
    memory_fleet fleet({});
    set_up(fleet);
    std::size_t const before = fleet.recorded_history().runs_.size();
    std::uint64_t const n = fleet.send_request(entry, slow_read("300"));
    fleet.run_for(100ms);
    fleet.end_link(gate, entry);
    fleet.run_for(1s);
    CHECK(ran_once(fleet, before, n));
}

TEST_CASE("a forward is awaited when a link to its gate ends")
{
    memory_fleet fleet({});
    set_up(fleet);
    std::size_t const before = fleet.recorded_history().runs_.size();
    std::uint64_t const n = fleet.send_request(entry, slow_read("300"));
    std::uint64_t const paid =
        fleet.send_request(entry, slow_payment(fleet, "300"));
    fleet.run_for(100ms);
    fleet.end_link(entry, gate);
    fleet.end_link(gate, entry);
    fleet.run_for(1s);
    CHECK(std::holds_alternative<ran>(fleet.verdict_of(n).value()));
    CHECK(std::holds_alternative<ran>(fleet.verdict_of(paid).value()));
    CHECK(fleet.recorded_history().runs_.size() == before + 2);
}

TEST_CASE("a payment that its link lost is run")
{
    memory_fleet fleet({});
    set_up(fleet);
    std::size_t const before = fleet.recorded_history().runs_.size();
    request const payment = slow_payment(fleet, "10");
    fleet.cut(entry, gate);
    std::uint64_t const n = fleet.send_request(entry, payment);
    fleet.run_for(100ms);
    REQUIRE(fleet.recorded_history().runs_.size() == before);
    fleet.heal(entry, gate);
    fleet.end_link(entry, gate);
    fleet.run_for(1s);
    CHECK(ran_once(fleet, before, n));
}

TEST_CASE("an answer that its link lost is sent again, as either end notices")
{
    bool const noticed_by_gate = GENERATE(true, false);
    memory_fleet fleet({});
    set_up(fleet);
    std::size_t const before = fleet.recorded_history().runs_.size();
    std::uint64_t const n =
        fleet.send_request(entry, slow_payment(fleet, "50"));
    fleet.run_for(30ms);
    fleet.cut(gate, entry);
    fleet.run_for(100ms);
    REQUIRE(!fleet.verdict_of(n));
    fleet.heal(gate, entry);
    if (noticed_by_gate)
        fleet.end_link(gate, entry);
    else
        fleet.end_link(entry, gate);
    fleet.run_for(1s);
    CHECK(ran_once(fleet, before, n));
}

TEST_CASE("a payment is not run again by the next process of its gate")
{
    memory_fleet fleet({});
    set_up(fleet);
    std::size_t const before = fleet.recorded_history().runs_.size();
    std::uint64_t const n =
        fleet.send_request(entry, slow_payment(fleet, "500"));
    fleet.run_for(100ms);
    REQUIRE(fleet.recorded_history().runs_.size() == before + 1);
    fleet.kill(gate);
    fleet.start(gate);
    fleet.run_for(4s);
    CHECK(std::holds_alternative<may_have_run>(fleet.verdict_of(n).value()));
    CHECK(fleet.recorded_history().runs_.size() == before + 1);
}

TEST_CASE("a repeatable run ends soon after the process of its entry")
{
    memory_fleet fleet({});
    set_up(fleet);
    fleet.send_request(entry, slow_read("2500"));
    fleet.run_for(100ms);
    REQUIRE(fleet.calls_of(gate).runs_.size() == 1);
    fleet.kill(entry);
    fleet.run_for(1200ms);
    CHECK(fleet.calls_of(gate).runs_.empty());
}
