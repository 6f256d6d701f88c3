// An account that sends many times its rate is held to it over the whole fleet
// while daemons and control hosts lose each other.
#include <catch2/catch.hpp>

#include <functional>

#include "account_load.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr daemon_range daemons{control_hosts, 24};
constexpr rate_tolerance tolerance{0.1, 20, 5s};
constexpr double usual_load = 0.8; // times the account's rate
constexpr double hot_load = 6;
constexpr duration hot_for = 9s;

client_account const account = make_account("hot", 173);

std::uint64_t tokens_spent(memory_fleet const& fleet, calls::token_source from)
{
    std::uint64_t spent = 0;
    for (std::size_t i = 0; i < daemons.count_; ++i)
        spent += fleet.calls_of(daemons.first_ + i)
                     .counters_.tokens_.at(static_cast<std::size_t>(from));
    return spent;
}

// Plays a fault `after` the account began to send too much; returns the most
// requests that were served in a window.
double served_beside(
    std::uint64_t seed, duration after,
    std::function<void(memory_fleet&)> const& fault)
{
    memory_fleet fleet(fleet_with_accounts(seed, daemons, tolerance));
    set_up_accounts(fleet, daemons, {account});
    auto sent = std::make_shared<sent_requests>();
    duration const begin = fleet.now();
    schedule_requests(fleet, daemons, account, usual_load, begin, 3s, sent);
    schedule_requests(
        fleet, daemons, account, hot_load, begin + 3s, hot_for, sent);
    fleet.at(begin + 3s + after, [&] { fault(fleet); });
    fleet.run_for(3s + hot_for + 2s);
    UNSCOPED_INFO(
        "granted " << tokens_spent(fleet, calls::token_source::granted)
                   << ", lent "
                   << tokens_spent(fleet, calls::token_source::lent)
                   << ", standby "
                   << tokens_spent(fleet, calls::token_source::standby));
    return static_cast<double>(
        most_served(fleet, sent->at(account.name_.str()), tolerance.window_));
}

void cut_off(memory_fleet& fleet, std::size_t daemon)
{
    for (std::size_t host = 0; host < control_hosts; ++host)
    {
        fleet.cut(daemon, host);
        fleet.cut(host, daemon);
    }
}

void rejoin(memory_fleet& fleet, std::size_t daemon)
{
    for (std::size_t host = 0; host < control_hosts; ++host)
    {
        fleet.heal(daemon, host);
        fleet.heal(host, daemon);
    }
}

void cut_off_daemons(memory_fleet& fleet, std::size_t count, duration length)
{
    for (std::size_t i = 0; i < count; ++i)
        cut_off(fleet, daemons.first_ + i);
    fleet.at(
        fleet.now() + length,
        [&fleet, count]
        {
            for (std::size_t i = 0; i < count; ++i)
                rejoin(fleet, daemons.first_ + i);
        });
}

void restart_control_hosts(memory_fleet& fleet, duration length)
{
    for (std::size_t host = 0; host < control_hosts; ++host)
    {
        fleet.kill(host);
        fleet.at(fleet.now() + length, [&fleet, host] { fleet.start(host); });
    }
}

void freeze_control_hosts(memory_fleet& fleet, duration length)
{
    for (std::size_t host = 0; host < control_hosts; ++host)
    {
        fleet.freeze(host);
        fleet.at(fleet.now() + length, [&fleet, host] { fleet.thaw(host); });
    }
}

} // namespace

TEST_CASE(
    "an account keeps to its rate while all control hosts restart",
    "[control_hosts_restart]")
{
    std::uint64_t const seed = GENERATE(1, 2, 3, 4);
    duration const after = GENERATE(duration{500ms}, duration{1500ms});
    CAPTURE(seed, after.count());
    CHECK(
        served_beside(
            seed, after,
            [](memory_fleet& fleet) { restart_control_hosts(fleet, 1s); }) <=
        most_allowed(account, tolerance));
}

TEST_CASE(
    "an account keeps to its rate while control hosts restart and daemons"
    " are cut off",
    "[restart_and_cut_off]")
{
    std::uint64_t const seed = GENERATE(1, 2, 3, 4);
    CAPTURE(seed);
    CHECK(
        served_beside(
            seed, 500ms,
            [](memory_fleet& fleet)
            {
                restart_control_hosts(fleet, 1s);
                fleet.at(
                    fleet.now() + 2s, [&fleet]
                    { cut_off_daemons(fleet, daemons.count_ - 1, 2s); });
            }) <= most_allowed(account, tolerance));
}

TEST_CASE(
    "an account keeps to its rate while daemons are cut off",
    "[daemons_cut_off]")
{
    std::uint64_t const seed = GENERATE(1, 2);
    std::size_t const count = GENERATE(8, 12, 18, 23);
    duration const length = GENERATE(duration{1200ms}, duration{4s});
    CAPTURE(seed, count, length.count());
    CHECK(
        served_beside(
            seed, 500ms,
            [&](memory_fleet& fleet) {
                cut_off_daemons(fleet, count, length);
            }) <= most_allowed(account, tolerance));
}

TEST_CASE(
    "an account keeps to its rate while all control hosts are frozen",
    "[control_hosts_frozen]")
{
    std::uint64_t const seed = GENERATE(1, 2);
    duration const length = GENERATE(duration{1500ms}, duration{2600ms});
    CAPTURE(seed, length.count());
    CHECK(
        served_beside(
            seed, 500ms,
            [&](memory_fleet& fleet) {
                freeze_control_hosts(fleet, length);
            }) <= most_allowed(account, tolerance));
}
