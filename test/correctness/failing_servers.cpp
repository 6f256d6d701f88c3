// Servers that answer their health checks and lose a part of their answers get
// little work while others of their service have room.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t hosts = 15;
constexpr std::uint32_t lost_per_thousand = 400;

// Payments are not tried again, so that each lost answer shows.
void set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, hosts);
    make_change(
        fleet, {put_account("acme", 10'000, 10'000), put_key("acme", "first"),
                put_route("pay", payment_route("/payments", "payments"))});
    for (std::size_t i = 0; i < hosts; ++i)
    {
        backend_options b;
        b.id_ = "payments-" + std::to_string(i);
        b.service_ = name_literal<service_name>("payments");
        b.slots_ = 40;
        b.service_time_ = 50ms;
        fleet.add_backend(i, b);
    }
    fleet.run_for(6s); // servers warm up
}

void set_losses(
    memory_fleet& fleet, std::size_t servers, std::uint32_t per_thousand)
{
    for (std::size_t i = 0; i < servers; ++i)
        fleet.backend("payments-" + std::to_string(i)).failures_per_thousand_ =
            per_thousand;
}

request payment(memory_fleet& fleet)
{
    return with_header(
        request_with_key("POST", "/payments/x", "acme", "body"),
        idempotency_header, new_idempotency_key(fleet));
}

// Sends steadily at every host, and returns the requests.
std::vector<std::uint64_t> send_steadily(memory_fleet& fleet, duration length)
{
    std::vector<std::uint64_t> sent;
    duration const end = fleet.now() + length;
    while (fleet.now() < end)
    {
        for (std::size_t i = 0; i < hosts; ++i)
            sent.push_back(fleet.send_request(i, payment(fleet)));
        fleet.run_for(50ms);
    }
    return sent;
}

std::size_t
count_failed(memory_fleet const& fleet, std::vector<std::uint64_t> const& sent)
{
    std::size_t failed = 0;
    for (std::uint64_t const number : sent)
    {
        std::optional<verdict> const v = fleet.verdict_of(number);
        failed += v && std::holds_alternative<ran>(*v) ? 0 : 1;
    }
    return failed;
}

} // namespace

TEST_CASE("servers that lose answers are avoided while others have room")
{
    fleet_options o;
    o.hosts_ = hosts;
    o.seed_ = GENERATE(1, 2, 3);
    memory_fleet fleet(o);
    set_up(fleet);
    constexpr std::size_t failing = hosts * 3 / 5;
    set_losses(fleet, failing, lost_per_thousand);
    send_steadily(fleet, 1s); // the gates count
    std::vector<std::uint64_t> const sent = send_steadily(fleet, 4s);
    fleet.run_for(4s);
    // Placed evenly, 24 % would fail.
    CHECK(count_failed(fleet, sent) * 1000 <= sent.size() * 60);
}

TEST_CASE("servers get work again once they answer")
{
    fleet_options o;
    o.hosts_ = hosts;
    memory_fleet fleet(o);
    set_up(fleet);
    set_losses(fleet, 1, 1000);
    send_steadily(fleet, 2s);
    set_losses(fleet, 1, 0);
    send_steadily(fleet, 5s);
    std::size_t const before = fleet.recorded_history().runs_.size();
    send_steadily(fleet, 2s);
    std::size_t runs = 0;
    for (std::size_t i = before; i < fleet.recorded_history().runs_.size(); ++i)
        runs +=
            fleet.recorded_history().runs_[i].server_ == "payments-0" ? 1 : 0;
    CHECK(runs > 0);
}

TEST_CASE("servers that all fail are used all the same")
{
    fleet_options o;
    o.hosts_ = hosts;
    memory_fleet fleet(o);
    set_up(fleet);
    set_losses(fleet, hosts, lost_per_thousand);
    std::vector<std::uint64_t> const sent = send_steadily(fleet, 4s);
    fleet.run_for(4s);
    std::size_t const succeeded = sent.size() - count_failed(fleet, sent);
    CHECK(succeeded * 1000 >= sent.size() * 500);
}

TEST_CASE("servers that turn slow are avoided while others have room")
{
    fleet_options o;
    o.hosts_ = hosts;
    o.seed_ = GENERATE(1, 2, 3);
    memory_fleet fleet(o);
    set_up(fleet);
    send_steadily(fleet, 3s); // the usual time is learnt
    constexpr std::size_t slow = hosts * 2 / 5;
    for (std::size_t i = 0; i < slow; ++i)
        fleet.backend("payments-" + std::to_string(i)).service_time_ = 600ms;
    send_steadily(fleet, 2s); // the gates count
    std::size_t const before = fleet.recorded_history().runs_.size();
    std::vector<std::uint64_t> const sent = send_steadily(fleet, 4s);
    std::size_t at_slow = 0;
    for (std::size_t i = before; i < fleet.recorded_history().runs_.size(); ++i)
    {
        std::string const& server = fleet.recorded_history().runs_[i].server_;
        for (std::size_t k = 0; k < slow; ++k)
            at_slow += server == "payments-" + std::to_string(k) ? 1 : 0;
    }
    // Placed evenly, 40 % would run there.
    CHECK(at_slow * 1000 <= sent.size() * 60);
}
