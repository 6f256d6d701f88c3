// Shared rates. Each control host gives out its own part of an account's rate
// to the daemons that ask it, and the parts follow the demand that the daemons
// report. So a token comes from near by, and the loss of a leader refuses
// nobody. While its control host does not answer, a daemon goes on with a small
// part of its own.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>
#include <cmath>

namespace jackdawhall::calls
{

namespace
{

// Time over which the demand is averaged.
constexpr double demand_seconds = 2;
// Demand below this many requests a second is not reported.
constexpr double least_demand = 0.05;
// Daemons assumed of a fleet whose size is not known yet.
constexpr std::int64_t unknown_daemons = 50;
// Part of the burst that daemons without a control host may use together.
constexpr double own_burst = 0.2;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

double demand_at(shared_rate_usage const& u, instant now)
{
    return u.demand_ *
           std::exp(-seconds(now - u.demand_updated_at_) / demand_seconds);
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
    u.demand_ = demand_at(u, now) + 1 / demand_seconds;
    u.demand_updated_at_ = now;
}

bool spend_own_part(state& s, account_name const& name, instant now)
{
    account const& a = s.configuration_.accounts_.at(name);
    shared_rate_usage& u = s.shared_rate_usage_[name];
    auto const daemons =
        static_cast<double>(s.daemons_ > 0 ? s.daemons_ : unknown_daemons);
    double const rate = static_cast<double>(a.milli_rate_) / 1000 / daemons;
    double const most =
        std::max(1.0, own_burst * static_cast<double>(a.burst_) / daemons);
    u.tokens_ = std::min(most, u.tokens_ + seconds(now - u.updated_at_) * rate);
    u.updated_at_ = now;
    if (u.tokens_ < 1)
        return false;
    u.tokens_ -= 1;
    return true;
}

std::vector<account_demand> recent_demand(state const& s, instant now)
{
    std::vector<account_demand> demand;
    for (auto const& [account, use] : s.shared_rate_usage_)
    {
        double const rate = demand_at(use, now);
        if (rate >= least_demand)
            demand.push_back({account, static_cast<std::int64_t>(rate * 1000)});
    }
    return demand;
}

} // namespace jackdawhall::calls
