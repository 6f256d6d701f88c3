// Accounts of a few requests per second find their tokens although these are
// divided among the control hosts, and all hosts together keep to the limits.
#include <catch2/catch.hpp>

#include <cmath>
#include <vector>

#include "account_load.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr daemon_range daemons{control_hosts, 15};
constexpr std::size_t accounts = 24;
constexpr rate_tolerance tolerance{0.1, 20, 5s};

std::vector<client_account> make_accounts()
{
    std::vector<client_account> made;
    for (std::size_t i = 0; i < accounts; ++i)
    {
        std::string const name = "account-" + std::to_string(i);
        double const rate = 2 + 18.0 * static_cast<double>(i) / accounts;
        made.push_back(make_account(name, rate));
    }
    return made;
}

struct refusals
{
    std::size_t sent_ = 0;
    std::size_t wrongful_ = 0;
};

// A refusal is wrongful if one token bucket for the whole fleet, of the
// account's rate and burst, had a token for the request, refused ones counted.
refusals count_refusals(
    memory_fleet const& fleet, client_account const& a,
    std::vector<sent_request> const& sent)
{
    refusals counted;
    double const burst = std::round(a.rate_);
    double level = burst;
    duration last = sent.front().at_;
    for (sent_request const& r : sent)
    {
        double const elapsed =
            std::chrono::duration<double>(r.at_ - last).count();
        level = std::min(burst, level + elapsed * a.rate_);
        last = r.at_;
        bool const within = level >= 1;
        level -= within ? 1 : 0;
        ++counted.sent_;
        counted.wrongful_ += within && was_refused(fleet, r.number_) ? 1 : 0;
    }
    return counted;
}

void check_limits(
    memory_fleet const& fleet, std::vector<client_account> const& known,
    sent_requests const& sent)
{
    for (client_account const& a : known)
    {
        auto const most = static_cast<double>(
            most_served(fleet, sent.at(a.name_.str()), tolerance.window_));
        CHECK(most <= most_allowed(a, tolerance));
    }
}

refusals count_all(
    memory_fleet const& fleet, std::vector<client_account> const& known,
    sent_requests const& sent)
{
    refusals all;
    for (client_account const& a : known)
    {
        refusals const of_one =
            count_refusals(fleet, a, sent.at(a.name_.str()));
        all.sent_ += of_one.sent_;
        all.wrongful_ += of_one.wrongful_;
    }
    return all;
}

constexpr std::size_t max_wrongful_divisor = 200; // 0.5 %

} // namespace

TEST_CASE("accounts near their limits are not refused")
{
    double const load = GENERATE(0.8, 0.95);
    std::vector<client_account> const known = make_accounts();
    memory_fleet fleet(
        fleet_with_accounts(GENERATE(1, 2, 3), daemons, tolerance));
    set_up_accounts(fleet, daemons, known);
    sent_requests const sent = send_at_random(fleet, daemons, known, load, 12s);
    refusals const all = count_all(fleet, known, sent);
    CAPTURE(load, all.sent_);
    CHECK(all.wrongful_ <= all.sent_ / max_wrongful_divisor);
    check_limits(fleet, known, sent);
}

TEST_CASE("accounts beyond their limits are held to them")
{
    std::vector<client_account> const known = make_accounts();
    memory_fleet fleet(fleet_with_accounts(GENERATE(1, 2), daemons, tolerance));
    set_up_accounts(fleet, daemons, known);
    sent_requests const sent = send_at_random(fleet, daemons, known, 4, 12s);
    check_limits(fleet, known, sent);
}

TEST_CASE("accounts are held to their limits while control hosts are lost")
{
    std::vector<client_account> const known = make_accounts();
    memory_fleet fleet(fleet_with_accounts(GENERATE(1, 2), daemons, tolerance));
    set_up_accounts(fleet, daemons, known);
    std::size_t const leader = fleet.leader().value();
    std::size_t const other = (leader + 1) % control_hosts;
    duration const begin = fleet.now();
    fleet.at(begin + 2s, [&fleet, leader] { fleet.kill(leader); });
    fleet.at(begin + 3s, [&fleet, other] { fleet.freeze(other); });
    fleet.at(begin + 7s, [&fleet, leader] { fleet.start(leader); });
    fleet.at(begin + 8s, [&fleet, other] { fleet.thaw(other); });
    sent_requests const sent = send_at_random(fleet, daemons, known, 2, 12s);
    check_limits(fleet, known, sent);
}
