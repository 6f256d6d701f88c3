#include "account_load.hpp"

#include <algorithm>
#include <cmath>
#include <memory>
#include <stdexcept>

namespace jackdawhall::test
{

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr duration buckets_fill = 12s;

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

void add_servers(memory_fleet& fleet, daemon_range const& daemons)
{
    for (std::size_t i = 0; i < daemons.count_; ++i)
    {
        std::size_t const host = daemons.first_ + i;
        backend_options b;
        b.id_ = "plans-" + std::to_string(host);
        b.service_ = name_literal<service_name>("plans");
        b.slots_ = 200;
        fleet.add_backend(host, b);
    }
}

duration exponential_delay(random_source& random, double rate)
{
    double const uniform =
        (static_cast<double>(random.below(1'000'000)) + 1) / 1'000'001;
    return duration{static_cast<std::int64_t>(-std::log(uniform) / rate * 1e6)};
}

} // namespace

client_account make_account(std::string const& name, double rate)
{
    return {account_name::make(name).value(), "key-of-" + name, rate};
}

fleet_options fleet_with_accounts(
    std::uint64_t seed, daemon_range const& daemons,
    rate_tolerance const& tolerance)
{
    fleet_options o = five_control_hosts(seed);
    o.hosts_ = control_hosts + daemons.count_;
    o.tolerance_ = tolerance;
    o.in_force_ = 2500ms;
    return o;
}

void set_up_accounts(
    memory_fleet& fleet, daemon_range const& daemons,
    std::vector<client_account> const& known)
{
    wait_until_ready(fleet, daemons.first_ + daemons.count_);
    fleet.run_for(group_formed);
    document d;
    d.version_ = 1;
    d.digest_ = "digest";
    add_route_to_plans(d.contents_);
    for (client_account const& a : known)
        add_records(d.contents_, a);
    std::uint64_t const n = fleet.submit(fleet.leader().value(), d);
    fleet.run_for(1s);
    std::optional<change_outcome> const outcome =
        fleet.recorded_history().changes_.at(n).outcome_;
    if (!outcome || !std::holds_alternative<accepted>(*outcome))
        throw std::runtime_error("the accounts were not accepted");
    add_servers(fleet, daemons);
    fleet.run_for(buckets_fill);
}

void schedule_requests(
    memory_fleet& fleet, daemon_range const& daemons, client_account const& a,
    double load, duration begin, duration length,
    std::shared_ptr<sent_requests> const& sent)
{
    double const rate = a.rate_ * load;
    duration at = begin + exponential_delay(fleet.random(), rate);
    for (; at < begin + length; at += exponential_delay(fleet.random(), rate))
    {
        std::size_t const to =
            daemons.first_ + fleet.random().below(daemons.count_);
        fleet.at(
            at,
            [&fleet, sent, a, to, at]
            {
                if (!fleet.is_up(to))
                    return;
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

sent_requests send_at_random(
    memory_fleet& fleet, daemon_range const& daemons,
    std::vector<client_account> const& known, double load, duration length)
{
    auto sent = std::make_shared<sent_requests>();
    for (client_account const& a : known)
        schedule_requests(fleet, daemons, a, load, fleet.now(), length, sent);
    fleet.run_for(length + 2s);
    return *sent;
}

bool was_refused(memory_fleet const& fleet, std::uint64_t number)
{
    std::optional<verdict> const v = fleet.verdict_of(number);
    return !v || !std::holds_alternative<ran>(*v);
}

std::size_t most_served(
    memory_fleet const& fleet, std::vector<sent_request> const& sent,
    duration window)
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
        while (served[first] <= served[i] - window)
            ++first;
        most = std::max(most, i - first + 1);
    }
    return most;
}

double most_allowed(client_account const& a, rate_tolerance const& tolerance)
{
    double const window =
        std::chrono::duration<double>(tolerance.window_).count();
    double const whole = a.rate_ * window + std::round(a.rate_);
    return whole * (1 + tolerance.share_) + tolerance.requests_;
}

} // namespace jackdawhall::test
