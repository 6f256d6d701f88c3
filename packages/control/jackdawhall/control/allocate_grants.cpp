#include <jackdawhall/control/allocate_grants.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

constexpr std::int64_t milli_token_unit = token_unit / 1000;

bucket_limits whole_bucket(account_limits const& a)
{
    return {a.milli_rate_, a.burst_ * 1000};
}

void refill(bucket& b, bucket_limits const& limits, instant now)
{
    std::int64_t const capacity = std::max<std::int64_t>(
        0,
        limits.milli_burst_ * milli_token_unit - b.outstanding_ * token_unit);
    std::int64_t const elapsed =
        std::max<std::int64_t>(0, (now - b.refilled_at_).count());
    std::int64_t const missing = capacity - b.level_;
    // The division avoids an overflow of elapsed * milli_rate_.
    bool const fills = limits.milli_rate_ > 0 && missing > 0 &&
                       elapsed > missing / limits.milli_rate_;
    if (fills || missing <= 0)
        b.level_ = capacity;
    else
        b.level_ += elapsed * limits.milli_rate_;
    b.refilled_at_ = std::max(b.refilled_at_, now);
}

// Removes expired grants. Their remaining tokens count as spent, since the
// holder may have spent them without reporting it.
void expire_grants(bucket& b, bucket_limits const& limits, instant now)
{
    refill(b, limits, now);
    if (now < b.last_expiry_check_ + expiry_check_interval)
        return;
    b.last_expiry_check_ = now;
    std::erase_if(
        b.grants_,
        [&](auto const& held)
        {
            if (now < held.second.expires_at_)
                return false;
            b.outstanding_ -= held.second.remaining_;
            return true;
        });
    std::erase_if(
        b.requesters_, [&](auto const& requester)
        { return now - requester.second > requester_lifetime; });
}

void apply_grant_report(
    bucket& b, host_name const& holder, grant_report const& r)
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

bucket& find_or_create_bucket(
    grant_allocator& state, account_name const& account,
    bucket_limits const& limits, instant now)
{
    auto const known = state.leader_buckets_.find(account);
    if (known != state.leader_buckets_.end())
        return known->second;
    bucket fresh;
    fresh.refilled_at_ = *state.ready_at_;
    refill(fresh, limits, now);
    return state.leader_buckets_.emplace(account, std::move(fresh))
        .first->second;
}

// Number of tokens to grant: one for each waiting call, as far as available,
// then, for later calls, up to half of an even share of the rest per requester.
std::int64_t compute_grant_size(bucket const& b, grant_request const& r)
{
    std::int64_t const available = b.level_ / token_unit;
    std::int64_t const for_waiting =
        std::min(std::max<std::int64_t>(0, r.waiting_), available);
    auto const holders = static_cast<std::int64_t>(
        std::max<std::size_t>(1, b.requesters_.size()));
    std::int64_t const for_expected = std::min(
        std::max<std::int64_t>(0, r.wanted_),
        (available - for_waiting) / (2 * holders));
    return for_waiting + for_expected;
}

// `reserve` is the level, in token_unit, that the request has to leave.
duration time_to_next_token(
    bucket const& b, bucket_limits const& limits, std::int64_t reserve)
{
    if (b.outstanding_ * 1000 >= limits.milli_burst_ || limits.milli_rate_ == 0)
        return contended_retry_delay;
    std::int64_t const missing = token_unit + reserve - b.level_;
    return duration{missing / limits.milli_rate_ + 1};
}

grant_response make_response(grant_request const& r, grant_result result)
{
    grant_response response;
    response.incarnation_ = r.incarnation_;
    response.account_ = r.account_;
    response.number_ = r.number_;
    response.result_ = result;
    return response;
}

grant_response issue_grant(
    grant_allocator& state, bucket& b, bucket_limits const& limits,
    grant_request const& r, instant now)
{
    std::int64_t const tokens = compute_grant_size(b, r);
    grant_response response = make_response(r, grant_result::exhausted);
    if (tokens == 0)
    {
        response.retry_after_ = time_to_next_token(b, limits, 0);
        return response;
    }
    response.result_ = grant_result::granted;
    response.grant_ = ++state.last_grant_number_;
    response.tokens_ = tokens;
    response.length_ = grant_lifetime;
    b.level_ -= tokens * token_unit;
    b.outstanding_ += tokens;
    b.grants_.emplace(
        response.grant_,
        live_grant{r.host_, tokens, now + with_drift_margin(grant_lifetime)});
    return response;
}

// Calls leave 1/reserve_divisor of the burst in a local bucket for each rank
// that is more important than theirs, counting at most max_reserved_ranks. Rank
// 0 is not counted, since it is reserved for work that has already begun.
constexpr std::int64_t reserve_divisor = 16;
constexpr std::int64_t max_reserved_ranks = 1;

std::int64_t compute_reserve(bucket_limits const& limits, rank r)
{
    std::int64_t const more_important =
        std::max(0, static_cast<int>(r) - highest_caller_rank);
    return limits.milli_burst_ * milli_token_unit / reserve_divisor *
           std::min(more_important, max_reserved_ranks);
}

// Takes tokens for the waiting calls, most important rank first.
std::int64_t take_tokens(
    bucket& b, bucket_limits const& limits, std::vector<ranked_calls> waiting)
{
    std::sort(waiting.begin(), waiting.end());
    std::int64_t taken = 0;
    for (ranked_calls const& calls : waiting)
    {
        std::int64_t const free = std::max<std::int64_t>(
            0, b.level_ - compute_reserve(limits, calls.rank_));
        std::int64_t const given = std::min(
            std::max<std::int64_t>(0, calls.count_), free / token_unit);
        b.level_ -= given * token_unit;
        taken += given;
    }
    return taken;
}

// Fractions of the tolerance that are handed out, as rate and as burst. The
// daemons' standby uses a part of the rest, which otherwise covers the excess
// while the shares of hosts change.
struct used_fractions
{
    double rate_ = 0;
    double burst_ = 0;
};
constexpr used_fractions used_relative_tolerance{0.1, 0.2};
constexpr used_fractions used_absolute_tolerance{0.1, 0.7};
constexpr double min_part_burst = 1; // requests

} // namespace

bucket_limits limits_for_share(
    account_limits const& whole, rate_tolerance const& tolerance,
    host_share const& share)
{
    double const window =
        std::chrono::duration<double>(tolerance.window_).count();
    double const rate = static_cast<double>(whole.milli_rate_) / 1000;
    double const burst = static_cast<double>(whole.burst_);
    double const relative =
        tolerance.share_ * (rate * window + burst) * share.fraction_;
    double const absolute = tolerance.requests_ / share.hosts_;
    double const more_rate = (relative * used_relative_tolerance.rate_ +
                              absolute * used_absolute_tolerance.rate_) /
                             window;
    double const more_burst = relative * used_relative_tolerance.burst_ +
                              absolute * used_absolute_tolerance.burst_;
    double const part_rate = rate * share.fraction_ + more_rate;
    double const part_burst = burst * share.fraction_ + more_burst;
    return {
        static_cast<std::int64_t>(part_rate * 1000),
        static_cast<std::int64_t>(std::max(min_part_burst, part_burst) * 1000)};
}

grant_allocator refill_local_bucket(
    grant_allocator state, account_name const& account,
    bucket_limits const& limits, instant now)
{
    auto const [known, fresh] = state.local_buckets_.try_emplace(account);
    bucket& b = known->second;
    // A host that has just started does not know which tokens were granted
    // before, so a new bucket counts as empty at the start.
    if (fresh)
        b.refilled_at_ = state.started_at_;
    else if (now - b.refilled_at_ > local_bucket_max_idle)
    {
        b.level_ = 0;
        b.refilled_at_ = now;
    }
    refill(b, limits, now);
    return state;
}

allocator_step allocate_from_local_bucket(
    grant_allocator state, bucket_limits const& limits, grant_request const& r,
    instant now)
{
    allocator_step step{
        refill_local_bucket(std::move(state), r.account_, limits, now),
        std::nullopt};
    if (r.number_ == 0)
        return step;
    bucket& b = step.state_.local_buckets_.at(r.account_);
    std::int64_t const tokens = take_tokens(b, limits, r.waiting_by_rank_);
    grant_response response = make_response(r, grant_result::exhausted);
    if (tokens == 0)
    {
        auto const first = std::min_element(
            r.waiting_by_rank_.begin(), r.waiting_by_rank_.end());
        rank const most_important =
            first == r.waiting_by_rank_.end() ? lowest_rank : first->rank_;
        response.retry_after_ = time_to_next_token(
            b, limits, compute_reserve(limits, most_important));
    }
    else
    {
        response.result_ = grant_result::granted;
        response.tokens_ = tokens;
        response.length_ = grant_lifetime;
    }
    step.response_ = response;
    return step;
}

std::optional<account_limits>
find_account_limits(state_machine const& m, account_name const& account)
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

grant_allocator
start_allocator(grant_allocator state, std::uint64_t first_grant, instant now)
{
    state.ready_at_ = now + with_drift_margin(grant_lifetime);
    state.leader_buckets_.clear();
    state.last_grant_number_ = first_grant;
    return state;
}

grant_allocator stop_allocator(grant_allocator state)
{
    state.ready_at_.reset();
    state.leader_buckets_.clear();
    return state;
}

grant_response no_tokens(grant_request const& r)
{
    constexpr duration retry_after = std::chrono::seconds(1);
    grant_response response = make_response(r, grant_result::exhausted);
    response.retry_after_ = retry_after;
    return response;
}

allocator_step allocate_from_leader_bucket(
    grant_allocator state, state_machine const& m, grant_request const& r,
    bool may_allocate, instant now)
{
    allocator_step step{std::move(state), std::nullopt};
    bool const wants_tokens = r.number_ != 0;
    std::optional<account_limits> const account =
        find_account_limits(m, r.account_);
    if (!may_allocate || !step.state_.ready_at_ ||
        now < *step.state_.ready_at_ || !account)
    {
        if (wants_tokens)
            step.response_ = make_response(r, grant_result::unavailable);
        return step;
    }
    bucket_limits const limits = whole_bucket(*account);
    bucket& b = find_or_create_bucket(step.state_, r.account_, limits, now);
    expire_grants(b, limits, now);
    for (grant_report const& report : r.reports_)
        apply_grant_report(b, r.host_, report);
    if (!wants_tokens)
        return step;
    b.requesters_[r.host_] = now;
    step.response_ = issue_grant(step.state_, b, limits, r, now);
    return step;
}

} // namespace jackdawhall::control
