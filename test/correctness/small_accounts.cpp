// Accounts of a few requests per second find their tokens although these are
// divided among the control hosts, and all hosts together keep to the limits.
#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <vector>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr std::size_t daemons = 15;
constexpr std::size_t accounts = 24;
constexpr control::rate_tolerance tolerance{0.1, 20, 5s};

struct client_account
{
    account_name name_;
    std::string key_;
    double rate_ = 0; // requests per second
};

std::vector<client_account> make_accounts()
{
    std::vector<client_account> made;
    for (std::size_t i = 0; i < accounts; ++i)
    {
        std::string const name = "account-" + std::to_string(i);
        double const rate = 2 + 18.0 * static_cast<double>(i) / accounts;
        made.push_back(
            {account_name::make(name).value(), "key-of-" + name, rate});
    }
    return made;
}

using record_contents = std::vector<std::pair<record_key, record_body>>;

void add_records(record_contents& to, client_account const& a)
{
    std::int64_t const milli_rate = std::llround(a.rate_ * 1000);
    std::int64_t const burst = std::llround(a.rate_);
    to.push_back(
        {{"account", a.name_.str(), 3}, account_v3{milli_rate, burst, {}}});
    to.push_back({{"key", fingerprint(a.key_), 2}, key_v2{a.name_}});
}

void add_route_to_plans(record_contents& to)
{
    route_v2 r;
    r.virtual_host_ = "a.example";
    r.path_prefix_ = "/plans/";
    r.services_ = {{name_literal<service_name>("plans"), 1}};
    r.repetition_ = repetition::repeatable;
    r.timeout_ms_ = 5000;
    r.objective_ms_ = 2000;
    to.push_back({{"service", "plans", 2}, service_v2{}});
    to.push_back({{"route", r.virtual_host_ + r.path_prefix_, 2}, r});
}

fleet_options options(std::uint64_t seed)
{
    fleet_options o = five_control_hosts(seed);
    o.hosts_ = control_hosts + daemons;
    o.tolerance_ = tolerance;
    o.in_force_ = 2500ms;
    return o;
}

void set_up(memory_fleet& fleet, std::vector<client_account> const& known)
{
    wait_until_ready(fleet, control_hosts + daemons);
    fleet.run_for(group_formed);
    document d;
    d.version_ = 1;
    d.digest_ = "digest";
    add_route_to_plans(d.contents_);
    for (client_account const& a : known)
        add_records(d.contents_, a);
    std::uint64_t const n = fleet.submit(fleet.leader().value(), d);
    fleet.run_for(1s);
    REQUIRE(std::holds_alternative<accepted>(
        fleet.recorded_history().changes_.at(n).outcome_.value()));
    for (std::size_t i = control_hosts; i < control_hosts + daemons; ++i)
    {
        backend_options b;
        b.id_ = "plans-" + std::to_string(i);
        b.service_ = name_literal<service_name>("plans");
        b.slots_ = 200;
        fleet.add_backend(i, b);
    }
    fleet.run_for(12s); // buckets fill
}

// A request of an account, in the order of sending.
struct sent_request
{
    duration at_{0};
    std::uint64_t number_ = 0;
};
using sent_requests = std::map<std::string, std::vector<sent_request>>;

duration exponential_delay(random_source& random, double rate)
{
    double const uniform =
        (static_cast<double>(random.below(1'000'000)) + 1) / 1'000'001;
    return duration{static_cast<std::int64_t>(-std::log(uniform) / rate * 1e6)};
}

// Sends requests of each account at `load` times its rate, at random moments
// to random daemons.
sent_requests send_at_random(
    memory_fleet& fleet, std::vector<client_account> const& known, double load,
    duration length)
{
    auto sent = std::make_shared<sent_requests>();
    for (client_account const& a : known)
    {
        duration at = fleet.now();
        duration const end = at + length;
        for (at += exponential_delay(fleet.random(), a.rate_ * load); at < end;
             at += exponential_delay(fleet.random(), a.rate_ * load))
        {
            std::size_t const to =
                control_hosts + fleet.random().below(daemons);
            fleet.at(
                at,
                [&fleet, sent, a, to, at]
                {
                    request const r{
                        "GET",
                        "/plans/x",
                        {{key_header, a.key_}, {"host", "a.example"}},
                        ""};
                    (*sent)[a.name_.str()].push_back(
                        {at, fleet.send_request(to, r)});
                });
        }
    }
    fleet.run_for(length + 2s);
    return *sent;
}

bool was_refused(memory_fleet const& fleet, std::uint64_t number)
{
    std::optional<verdict> const v = fleet.verdict_of(number);
    return !v || !std::holds_alternative<ran>(*v);
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

std::size_t
most_in_window(memory_fleet const& fleet, std::vector<sent_request> const& sent)
{
    std::vector<duration> served;
    for (sent_request const& r : sent)
    {
        if (!was_refused(fleet, r.number_))
            served.push_back(r.at_);
    }
    std::size_t most = 0;
    for (std::size_t first = 0, i = 0; i < served.size(); ++i)
    {
        while (served[first] <= served[i] - tolerance.window_)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

void check_limits(
    memory_fleet const& fleet, std::vector<client_account> const& known,
    sent_requests const& sent)
{
    for (client_account const& a : known)
    {
        double const whole = a.rate_ * 5 + std::round(a.rate_);
        double const allowed =
            whole * (1 + tolerance.share_) + tolerance.requests_;
        auto const most =
            static_cast<double>(most_in_window(fleet, sent.at(a.name_.str())));
        CHECK(most <= allowed);
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
    memory_fleet fleet(options(GENERATE(1, 2, 3)));
    set_up(fleet, known);
    sent_requests const sent = send_at_random(fleet, known, load, 12s);
    refusals const all = count_all(fleet, known, sent);
    CAPTURE(load, all.sent_);
    CHECK(all.wrongful_ <= all.sent_ / max_wrongful_divisor);
    check_limits(fleet, known, sent);
}

TEST_CASE("accounts beyond their limits are held to them")
{
    std::vector<client_account> const known = make_accounts();
    memory_fleet fleet(options(GENERATE(1, 2)));
    set_up(fleet, known);
    sent_requests const sent = send_at_random(fleet, known, 4, 12s);
    check_limits(fleet, known, sent);
}

TEST_CASE("accounts are held to their limits while control hosts are lost")
{
    std::vector<client_account> const known = make_accounts();
    memory_fleet fleet(options(GENERATE(1, 2)));
    set_up(fleet, known);
    std::size_t const leader = fleet.leader().value();
    std::size_t const other = (leader + 1) % control_hosts;
    duration const begin = fleet.now();
    fleet.at(begin + 2s, [&fleet, leader] { fleet.kill(leader); });
    fleet.at(begin + 3s, [&fleet, other] { fleet.freeze(other); });
    fleet.at(begin + 7s, [&fleet, leader] { fleet.start(leader); });
    fleet.at(begin + 8s, [&fleet, other] { fleet.thaw(other); });
    sent_requests const sent = send_at_random(fleet, known, 2, 12s);
    check_limits(fleet, known, sent);
}
