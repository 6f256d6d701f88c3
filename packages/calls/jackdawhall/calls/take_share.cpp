// Demand on shared rates, and tokens of them that need no control host. Each
// control host grants tokens from its own share of an account's rate, and the
// shares follow the demand that the daemons report. So tokens come from a
// nearby host, and no call is refused because the leader of the control hosts
// is lost. While no control host answers, a daemon spends what its own lent to
// it, which that host then grants to nobody else. Until then it has a standby
// of a few tokens, which all daemons together hold within the tolerance.
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
// The contact timeout in renewal intervals. A control host hears in one renewal
// that the one before was answered.
constexpr int contact_timeout_numerator = 5;
constexpr int contact_timeout_denominator = 2;
// Fractions of the tolerance that the standby of all daemons holds. What the
// control hosts use of it is in allocate_grants.
constexpr tolerance_fractions standby_fractions{0.4, 0.1};
// An empty standby is full again after this time, so that a window sees little
// more than its capacity.
constexpr double standby_refill_seconds = 30;
// One line an interval for each account.
constexpr duration local_tokens_log_interval = std::chrono::seconds(1);

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

// Uniform from 0 to 1.
double draw(random_source& random)
{
    constexpr std::uint64_t steps = 1'000'000;
    return static_cast<double>(random.below(steps)) / steps;
}

// Tokens that the standby of this daemon holds when full: an even part of what
// all daemons may hold. Parts of a token are rounded at random, so that the sum
// over the daemons stays the same.
double standby_capacity(state const& s, account const& a, double rounding)
{
    rate_tolerance const& t = s.settings_.tolerance_;
    if (s.daemons_ <= 0)
        return 0;
    double const rate = static_cast<double>(a.milli_rate_) / 1000;
    double const whole =
        rate * seconds(t.window_) + static_cast<double>(a.burst_);
    double const all = standby_fractions.relative_ * t.share_ * whole +
                       standby_fractions.absolute_ * t.requests_;
    return std::floor(all / static_cast<double>(s.daemons_) + rounding);
}

bool spend_standby(
    state& s, account const& a, shared_rate_usage& u, instant now)
{
    if (!u.standby_rounding_)
    {
        u.standby_rounding_ = draw(s.random_);
        u.standby_updated_at_ = s.started_at_;
    }
    double const capacity = standby_capacity(s, a, *u.standby_rounding_);
    double const refilled = seconds(now - u.standby_updated_at_) * capacity /
                            standby_refill_seconds;
    u.standby_tokens_ = std::min(capacity, u.standby_tokens_ + refilled);
    u.standby_updated_at_ = now;
    if (u.standby_tokens_ < 1)
        return false;
    u.standby_tokens_ -= 1;
    count_token(s, token_source::standby);
    return true;
}

// Whether the daemon holds shares that it may spend, or hand on.
bool owns_shares(borrowed_shares const& held, instant now)
{
    return !held.parts_.empty() && now >= held.starts_ && now < held.ends_;
}

// Whether what the daemon holds may still be handed on. The shares of a lender
// that has ended wait for its next run until others take them over.
bool may_show(borrowed_shares const& held, instant now)
{
    constexpr duration handover = peer_silence_timeout - local_share_lifetime;
    return now < (held.lender_ended_ ? held.ends_ + handover : held.ends_);
}

// Spends of the part of the rate that the daemon holds. It begins with a random
// part of a token, so that the sum over the daemons is that of their parts.
bool spend_lent(
    state& s, account_name const& name, account const& a, shared_rate_usage& u,
    instant now)
{
    borrowed_shares const& held = s.borrowed_shares_;
    auto const lent = held.parts_.find(name);
    if (lent == held.parts_.end() || !owns_shares(held, now))
        return false;
    double const part =
        static_cast<double>(lent->second) / static_cast<double>(whole_rate);
    double const rate = part * static_cast<double>(a.milli_rate_) / 1000;
    double const capacity = std::max(1.0, part * static_cast<double>(a.burst_));
    if (u.lent_updated_at_ < held.starts_)
    {
        u.lent_tokens_ = draw(s.random_);
        u.lent_updated_at_ = held.starts_;
    }
    u.lent_tokens_ = std::min(
        capacity, u.lent_tokens_ + seconds(now - u.lent_updated_at_) * rate);
    u.lent_updated_at_ = now;
    if (u.lent_tokens_ < 1)
        return false;
    u.lent_tokens_ -= 1;
    count_token(s, token_source::lent);
    return true;
}

void log_local_tokens(
    pipeline_context& p, account_name const& name, shared_rate_usage& u)
{
    instant const now = p.at_.now_;
    ++u.unlogged_tokens_;
    if (now < u.next_log_line_)
        return;
    u.next_log_line_ = now + local_tokens_log_interval;
    state const& s = *p.state_;
    auto const lent = s.borrowed_shares_.parts_.find(name);
    bool const known = lent != s.borrowed_shares_.parts_.end();
    p.effects_.push_back(log_message{
        "rate tokens spent without a control host",
        {{"account", name.str()},
         {"tokens", std::to_string(std::exchange(u.unlogged_tokens_, 0))},
         {"lent_millionths", std::to_string(known ? lent->second : 0)},
         {"lent_left_ms", milliseconds_text(s.borrowed_shares_.ends_ - now)},
         {"silent_ms", milliseconds_text(now - s.control_.last_heard_at_)}}});
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

bool spend_local_share(pipeline_context& p, account_name const& name)
{
    state& s = *p.state_;
    account const& a = s.configuration_.accounts_.at(name);
    shared_rate_usage& u = s.shared_rate_usage_[name];
    bool const spent = spend_lent(s, name, a, u, p.at_.now_) ||
                       spend_standby(s, a, u, p.at_.now_);
    if (spent)
        log_local_tokens(p, name, u);
    return spent;
}

duration contact_timeout(settings const& s)
{
    return s.renewal_interval_ * contact_timeout_numerator /
           contact_timeout_denominator;
}

void note_lender_run(
    state& s, host_name const& from, std::uint64_t run, instant now)
{
    borrowed_shares& held = s.borrowed_shares_;
    bool const is_lender = from == held.host_ && !held.lender_ended_;
    if (!is_lender || run == 0 || run == held.lender_)
        return;
    held.starts_ = std::min(held.starts_, now);
    held.lender_ended_ = true;
    s.control_.renewal_due_ = now;
}

void take_shares(
    state& s, host_name const& from, renewal_response const& a, instant now)
{
    borrowed_shares& held = s.borrowed_shares_;
    bool const same_run = a.membership_incarnation_ == held.lender_;
    note_lender_run(s, from, a.membership_incarnation_, now);
    bool const shown = held.shown_since_ && a.stamp_ >= *held.shown_since_;
    bool const holds_none = held.parts_.empty() || !may_show(held, now);
    bool const is_newer = a.stamp_ > held.stamp_;
    if (!a.confirmed_ || !is_newer || !(same_run || shown || holds_none))
        return;
    // The host grants what it was shown once it knows that this was answered.
    if (shown)
        s.control_.renewal_due_ = now;
    // The host's own share ends that long after its contact with a majority.
    instant const confirmed_at = instant{duration{a.stamp_}} - a.age_;
    held = {};
    held.host_ = from;
    held.lender_ = a.membership_incarnation_;
    held.stamp_ = a.stamp_;
    held.starts_ = now + with_drift_margin(contact_timeout(s.settings_));
    held.ends_ = confirmed_at + local_share_lifetime -
                 local_share_lifetime / clock_drift_divisor;
    for (local_share const& lent : a.local_shares_)
        held.parts_[lent.account_] = lent.part_;
}

void show_shares(state& s, renewal_request& r, instant now)
{
    borrowed_shares& held = s.borrowed_shares_;
    if (held.parts_.empty() || now < held.starts_ || !may_show(held, now))
        return;
    for (auto const& [account, part] : held.parts_)
        r.local_shares_.push_back({account, part});
    if (!held.shown_since_)
        held.shown_since_ = r.stamp_;
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
