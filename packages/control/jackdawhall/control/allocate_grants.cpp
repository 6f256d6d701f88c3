#include <jackdawhall/control/allocate_grants.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

void accrue(bucket& b, account_limits const& limits, instant now)
{
    std::int64_t const capacity = std::max<std::int64_t>(
        0, (limits.burst_ - b.outstanding_) * token_unit);
    std::int64_t const elapsed =
        std::max<std::int64_t>(0, (now - b.accrued_).count());
    std::int64_t const missing = capacity - b.level_;
    bool const fills = limits.milli_rate_ > 0 && missing > 0 &&
                       elapsed > missing / limits.milli_rate_;
    if (fills || missing <= 0)
        b.level_ = capacity;
    else
        b.level_ += elapsed * limits.milli_rate_;
    b.accrued_ = std::max(b.accrued_, now);
}

// Tokens of an ended grant count as spent: the holder may have spent them.
void end_grants(bucket& b, account_limits const& limits, instant now)
{
    accrue(b, limits, now);
    if (now < b.tended_ + tend_interval)
        return;
    b.tended_ = now;
    std::erase_if(
        b.grants_,
        [&](auto const& held)
        {
            if (now < held.second.ends_)
                return false;
            b.outstanding_ -= held.second.remaining_;
            return true;
        });
    std::erase_if(
        b.askers_,
        [&](auto const& asker) { return now - asker.second > asker_lifetime; });
}

void take_report(bucket& b, host_name const& holder, grant_report const& r)
{
    auto const held = b.grants_.find(r.grant_);
    if (held == b.grants_.end() || held->second.holder_ != holder)
        return;
    live_grant& grant = held->second;
    std::int64_t const remaining =
        std::clamp<std::int64_t>(r.remaining_, 0, grant.remaining_);
    b.outstanding_ -= grant.remaining_ - remaining;
    grant.remaining_ = remaining;
    if (!r.closed_)
        return;
    b.outstanding_ -= remaining;
    b.level_ += remaining * token_unit;
    b.grants_.erase(held);
}

bucket& bucket_of(
    allocation& state, account_name const& account,
    account_limits const& limits, instant now)
{
    auto const known = state.buckets_.find(account);
    if (known != state.buckets_.end())
        return known->second;
    bucket fresh;
    fresh.accrued_ = *state.ready_;
    accrue(fresh, limits, now);
    return state.buckets_.emplace(account, std::move(fresh)).first->second;
}

// Tokens for a request: all its waiting calls first, then a share for later.
std::int64_t tokens_for(bucket const& b, grant_request const& r)
{
    std::int64_t const available = b.level_ / token_unit;
    std::int64_t const now =
        std::min(std::max<std::int64_t>(0, r.waiting_), available);
    auto const holders =
        static_cast<std::int64_t>(std::max<std::size_t>(1, b.askers_.size()));
    std::int64_t const later = std::min(
        std::max<std::int64_t>(0, r.wanted_),
        (available - now) / (2 * holders));
    return now + later;
}

duration time_to_next_token(
    bucket const& b, account_limits const& limits, std::int64_t reserve)
{
    if (b.outstanding_ >= limits.burst_ || limits.milli_rate_ == 0)
        return busy_retry;
    std::int64_t const missing = token_unit + reserve - b.level_;
    return duration{missing / limits.milli_rate_ + 1};
}

grant_response refuse(grant_request const& r, grant_result result)
{
    grant_response response;
    response.incarnation_ = r.incarnation_;
    response.account_ = r.account_;
    response.number_ = r.number_;
    response.result_ = result;
    return response;
}

grant_response give(
    allocation& state, bucket& b, account_limits const& limits,
    grant_request const& r, instant now)
{
    std::int64_t const tokens = tokens_for(b, r);
    grant_response response = refuse(r, grant_result::exhausted);
    if (tokens == 0)
    {
        response.retry_after_ = time_to_next_token(b, limits, 0);
        return response;
    }
    response.result_ = grant_result::granted;
    response.grant_ = ++state.last_grant_;
    response.tokens_ = tokens;
    response.length_ = grant_length;
    b.level_ -= tokens * token_unit;
    b.outstanding_ += tokens;
    b.grants_.emplace(
        response.grant_,
        live_grant{r.host_, tokens, now + with_drift_margin(grant_length)});
    return response;
}

// What calls of a rank leave in a part for those that matter more: so much of
// its burst for each rank before theirs.
constexpr std::int64_t reserve_divisor = 16;
constexpr std::int64_t most_reserved_ranks = 1;

std::int64_t reserve_for(account_limits const& part, rank r)
{
    std::int64_t const before =
        std::max(0, static_cast<int>(r) - highest_caller_rank);
    return part.burst_ * token_unit / reserve_divisor *
           std::min(before, most_reserved_ranks);
}

// Takes tokens for all that wait, the most important first.
std::int64_t take_tokens(
    bucket& b, account_limits const& part, std::vector<ranked_calls> waiting)
{
    std::sort(waiting.begin(), waiting.end());
    std::int64_t taken = 0;
    for (ranked_calls const& calls : waiting)
    {
        std::int64_t const free = std::max<std::int64_t>(
            0, b.level_ - reserve_for(part, calls.rank_));
        std::int64_t const given = std::min(
            std::max<std::int64_t>(0, calls.count_), free / token_unit);
        b.level_ -= given * token_unit;
        taken += given;
    }
    return taken;
}

// Parts of the tolerance that are used: the rest is for parts that change.
constexpr double used_share = 0.2;
constexpr double used_requests = 0.5;

} // namespace

account_limits part_of(
    account_limits const& whole, rate_tolerance const& tolerance,
    host_part const& part)
{
    double const window =
        std::chrono::duration<double>(tolerance.window_).count();
    double const rate = static_cast<double>(whole.milli_rate_);
    double const burst = static_cast<double>(whole.burst_);
    double const more = tolerance.share_ * (rate / 1000 * window + burst);
    double const even = tolerance.requests_ / part.hosts_;
    return {
        static_cast<std::int64_t>(rate * part.share_),
        std::max<std::int64_t>(
            1, static_cast<std::int64_t>(
                   (burst + used_share * more) * part.share_ +
                   used_requests * even))};
}

allocation tend_part(
    allocation state, account_name const& account, account_limits const& part,
    instant now)
{
    auto const [known, fresh] = state.parts_.try_emplace(account);
    bucket& b = known->second;
    // A host that has just started does not know what was given before.
    if (fresh)
        b.accrued_ = state.began_;
    else if (now - b.accrued_ > untended_part)
    {
        b.level_ = 0;
        b.accrued_ = now;
    }
    accrue(b, part, now);
    return state;
}

allocation_step allocate_part(
    allocation state, account_limits const& part, grant_request const& r,
    instant now)
{
    allocation_step step{
        tend_part(std::move(state), r.account_, part, now), std::nullopt};
    if (r.number_ == 0)
        return step;
    bucket& b = step.state_.parts_.at(r.account_);
    std::int64_t const tokens = take_tokens(b, part, r.ranked_);
    grant_response response = refuse(r, grant_result::exhausted);
    if (tokens == 0)
    {
        auto const first = std::min_element(r.ranked_.begin(), r.ranked_.end());
        rank const most_important =
            first == r.ranked_.end() ? lowest_rank : first->rank_;
        response.retry_after_ =
            time_to_next_token(b, part, reserve_for(part, most_important));
    }
    else
    {
        response.result_ = grant_result::granted;
        response.tokens_ = tokens;
        response.length_ = grant_length;
    }
    step.response_ = response;
    return step;
}

std::optional<account_limits>
limits_of(state_machine const& m, account_name const& account)
{
    auto const newer = m.records_.find({"account", account.str(), 2});
    if (newer != m.records_.end())
    {
        if (account_v2 const* a = std::get_if<account_v2>(&newer->second.body_))
            return account_limits{a->milli_rate_, a->burst_};
    }
    auto const older = m.records_.find({"account", account.str(), 1});
    if (older != m.records_.end())
    {
        if (account_v1 const* a = std::get_if<account_v1>(&older->second.body_))
            return account_limits{a->milli_rate_, a->burst_};
    }
    return std::nullopt;
}

allocation
start_allocation(allocation state, std::uint64_t first_grant, instant now)
{
    state.ready_ = now + with_drift_margin(grant_length);
    state.buckets_.clear();
    state.last_grant_ = first_grant;
    return state;
}

allocation stop_allocation(allocation state)
{
    state.ready_.reset();
    state.buckets_.clear();
    return state;
}

allocation_step allocate(
    allocation state, state_machine const& m, grant_request const& r,
    bool may_allocate, instant now)
{
    allocation_step step{std::move(state), std::nullopt};
    bool const asks = r.number_ != 0;
    std::optional<account_limits> const limits = limits_of(m, r.account_);
    if (!may_allocate || !step.state_.ready_ || now < *step.state_.ready_ ||
        !limits)
    {
        if (asks)
            step.response_ = refuse(r, grant_result::unavailable);
        return step;
    }
    bucket& b = bucket_of(step.state_, r.account_, *limits, now);
    end_grants(b, *limits, now);
    for (grant_report const& report : r.reports_)
        take_report(b, r.host_, report);
    if (!asks)
        return step;
    b.askers_[r.host_] = now;
    step.response_ = give(step.state_, b, *limits, r, now);
    return step;
}

} // namespace jackdawhall::control
