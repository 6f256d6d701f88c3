// Shared rates. Each daemon reports what its accounts ask for, and is told
// which part of their rate and burst it may use; the parts of all daemons add
// up to the whole. A daemon that no longer hears from the control hosts keeps
// its part until its freshness lease ends. So no call waits for another host,
// and the loss of a leader refuses nobody.
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
// A call waits for its share for a tenth of its objective, and so long at most.
constexpr duration longest_share_wait = std::chrono::milliseconds(150);
constexpr int share_wait_divisor = 10;
// Part of the tolerance that is used: the rest is for shares that change.
constexpr double used_tolerance = 0.6;
// Share assumed of a fleet whose size is not known yet.
constexpr double unknown_share = 0.02;

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

double demand_at(rate_bucket const& b, instant now)
{
    return b.demand_ * std::exp(-seconds(now - b.demand_as_of_) / demand_seconds);
}

void count_demand(rate_bucket& b, instant now)
{
    b.demand_ = demand_at(b, now) + 1 / demand_seconds;
    b.demand_as_of_ = now;
}

double share_of(state const& s, rate_bucket const& b)
{
    if (b.share_ > 0)
        return b.share_;
    return s.daemons_ > 0 ? 1.0 / static_cast<double>(s.daemons_)
                          : unknown_share;
}

// Requests a second, and the most that may come at once, at this daemon.
struct own_rate
{
    double per_second_ = 0;
    double burst_ = 0;
};

own_rate rate_here(state const& s, account const& a, rate_bucket const& b)
{
    rate_tolerance const& t = s.settings_.rate_tolerance_;
    double const share = share_of(s, b);
    double const whole = static_cast<double>(a.milli_rate_) / 1000;
    double const fleet = static_cast<double>(std::max<std::int64_t>(1, s.daemons_));
    return {
        whole * share * (1 + t.share_ * used_tolerance),
        static_cast<double>(a.burst_) * share +
            t.requests_ * used_tolerance / fleet};
}

void refill(rate_bucket& b, own_rate const& rate, instant now)
{
    bool const fresh = b.as_of_ == instant{};
    double const more = seconds(now - b.as_of_) * rate.per_second_;
    b.tokens_ = fresh ? rate.burst_ : std::min(rate.burst_, b.tokens_ + more);
    b.as_of_ = now;
}

} // namespace

passage take_share(passage p)
{
    state& s = p.state_;
    entry_call& c = p.call_;
    instant const now = p.at_.now_;
    if (c.token_promised_)
        return p;
    account const& a = s.configuration_.accounts_.at(c.context_.account_);
    rate_bucket& b = s.buckets_[c.context_.account_];
    count_demand(b, now);
    if (a.milli_rate_ == 0)
        return p;
    own_rate const rate = rate_here(s, a, b);
    refill(b, rate, now);
    double const missing = 1 - b.tokens_;
    duration const wait{
        missing <= 0 ? 0
                     : static_cast<std::int64_t>(
                           std::ceil(missing / rate.per_second_ * 1e6))};
    duration const longest = std::min(
        longest_share_wait, c.context_.objective_ / share_wait_divisor);
    if (wait > longest)
        return refuse(std::move(p), refusal_reason::rate_exceeded, wait);
    b.tokens_ -= 1;
    if (wait <= duration{0})
        return p;
    c.token_promised_ = true;
    c.wake_ = now + wait;
    p.flow_ = waiting{};
    return p;
}

std::vector<account_demand> recent_demand(state const& s, instant now)
{
    std::vector<account_demand> demand;
    for (auto const& [account, bucket] : s.buckets_)
    {
        double const rate = demand_at(bucket, now);
        if (rate >= least_demand)
            demand.push_back(
                {account, static_cast<std::int64_t>(rate * 1000)});
    }
    return demand;
}

void take_shares(state& s, renewal_answer const& a)
{
    s.daemons_ = a.daemons_;
    std::map<account_name, double> told;
    for (rate_share const& share : a.shares_)
        told.emplace(
            share.account_, static_cast<double>(share.parts_per_million_) / 1e6);
    for (auto& [account, bucket] : s.buckets_)
    {
        auto const known = told.find(account);
        double const share = known == told.end() ? 0 : known->second;
        // Tokens saved under the old share go with it.
        if (bucket.share_ > 0 && share > 0 && bucket.tokens_ > 0)
            bucket.tokens_ *= std::min(1.0, share / bucket.share_);
        bucket.share_ = share;
    }
}

} // namespace jackdawhall::calls
