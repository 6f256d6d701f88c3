// Demand and local share of shared rates. Each control host grants tokens from
// its own share of an account's rate, and the shares follow the demand that the
// daemons report. So tokens come from a nearby host, and no call is refused
// because the leader of the control hosts is lost. While its control host does
// not answer, a daemon uses a small local share of the rate.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace jackdawhall::calls
{

namespace
{

// Time constant of the exponential moving average of the demand.
constexpr double demand_time_constant_seconds = 2;
// Demand below this, in requests per second, is not reported.
constexpr double min_reported_demand = 0.05;
// Number of daemons assumed until the size of the fleet is known.
constexpr std::int64_t assumed_daemons = 50;
// Share of the burst that all daemons together may use if none has a control
// host.
constexpr double fallback_burst_share = 0.2;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

double demand_at(shared_rate_usage const& u, instant now)
{
    return u.demand_ * std::exp(
                           -seconds(now - u.demand_updated_at_) /
                           demand_time_constant_seconds);
}

// One line an interval for each account.
constexpr duration local_tokens_log_interval = std::chrono::seconds(1);

void log_local_tokens(
    working_state& w, account_name const& name, shared_rate_usage& u)
{
    ++u.unlogged_tokens_;
    if (w.at_.now_ < u.next_log_line_)
        return;
    u.next_log_line_ = w.at_.now_ + local_tokens_log_interval;
    w.effects_.push_back(log_message{
        "rate tokens spent without a control host",
        {{"account", name.str()},
         {"tokens", std::to_string(std::exchange(u.unlogged_tokens_, 0))},
         {"daemons", std::to_string(w.state_->daemons_)},
         {"silent_ms",
          milliseconds_text(w.at_.now_ - w.state_->control_.last_heard_at_)}}});
}

} // namespace

bool has_shared_rate(state const& s, account_name const& name)
{
    auto const known = s.configuration_.accounts_.find(name);
    return known != s.configuration_.accounts_.end() &&
           std::holds_alternative<shared_rate>(known->second.rate_policy_);
}

void count_shared_demand(state& s, account_name const& name, instant now)
{
    shared_rate_usage& u = s.shared_rate_usage_[name];
    u.demand_ = demand_at(u, now) + 1 / demand_time_constant_seconds;
    u.demand_updated_at_ = now;
}

void count_token(state& s, token_source from)
{
    ++s.counters_.tokens_.at(static_cast<std::size_t>(from));
}

bool spend_local_share(working_state& w, account_name const& name)
{
    state& s = *w.state_;
    instant const now = w.at_.now_;
    account const& a = s.configuration_.accounts_.at(name);
    shared_rate_usage& u = s.shared_rate_usage_[name];
    auto const daemons =
        static_cast<double>(s.daemons_ > 0 ? s.daemons_ : assumed_daemons);
    double const rate = static_cast<double>(a.milli_rate_) / 1000 / daemons;
    double const max_tokens = std::max(
        1.0, fallback_burst_share * static_cast<double>(a.burst_) / daemons);
    u.tokens_ =
        std::min(max_tokens, u.tokens_ + seconds(now - u.updated_at_) * rate);
    u.updated_at_ = now;
    if (u.tokens_ < 1)
        return false;
    u.tokens_ -= 1;
    count_token(s, token_source::local_share);
    log_local_tokens(w, name, u);
    return true;
}

std::vector<account_demand> recent_demand(state const& s, instant now)
{
    std::vector<account_demand> demand;
    for (auto const& [account, use] : s.shared_rate_usage_)
    {
        double const rate = demand_at(use, now);
        if (rate >= min_reported_demand)
            demand.push_back({account, static_cast<std::int64_t>(rate * 1000)});
    }
    return demand;
}

} // namespace jackdawhall::calls
