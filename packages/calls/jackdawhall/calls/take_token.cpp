// Rate limiting at a daemon. Control hosts grant tokens to daemons: the current
// control host for shared rates, the leader for other rates. Accounts with
// steady traffic at this daemon get tokens ahead of demand. Those with little
// traffic request a token for each call, so that no tokens sit idle here while
// other daemons need them. Unspent tokens are returned after
// idle_token_lifetime.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>
#include <map>

namespace jackdawhall::calls
{

namespace
{

// For accounts with a smaller burst, each token is reported as it is spent,
// because an unreported token still takes up room in the account's token
// bucket.
constexpr std::int64_t small_burst = 256;
// Tokens are prefetched only for accounts with at least this many calls per
// prefetch window.
constexpr std::int64_t min_prefetch_calls = 4;

void drop_ended_grants(token_pool& h, instant now)
{
    std::erase_if(
        h.grants_, [&](held_grant const& g) { return now >= g.ends_; });
}

std::int64_t tokens_left(token_pool const& h)
{
    std::int64_t left = 0;
    for (held_grant const& g : h.grants_)
        left += g.remaining_;
    return left;
}

void count_demand(token_pool& h, instant now)
{
    if (now >= h.window_ends_)
    {
        bool const idle = now >= h.window_ends_ + token_prefetch_window;
        h.last_window_calls_ = idle ? 0 : h.window_calls_;
        h.window_calls_ = 0;
        h.window_ends_ = now + token_prefetch_window;
    }
    ++h.window_calls_;
    h.last_call_at_ = now;
}

// Returns the number of tokens to hold for the next prefetch window; 0 if there
// are too few calls to prefetch.
std::int64_t demand(token_pool const& h)
{
    std::int64_t const calls = std::max(h.window_calls_, h.last_window_calls_);
    return calls < min_prefetch_calls ? 0 : calls;
}

// Returns the reports that are due on the grants of the pool, and removes the
// grants that end with them. With `close`, these are all grants.
std::vector<grant_report> collect_reports(token_pool& h, bool close)
{
    std::vector<grant_report> reports;
    for (held_grant& g : h.grants_)
    {
        if (g.grant_ == 0 || (!g.changed_ && !close))
            continue; // of a shared rate, or unchanged since the last report
        bool const ends = close || g.remaining_ == 0;
        reports.push_back({g.grant_, g.remaining_, ends});
        g.changed_ = false;
    }
    std::erase_if(
        h.grants_,
        [&](held_grant const& g) { return close || g.remaining_ == 0; });
    return reports;
}

// Returns the control host that grants tokens of the account: for a shared
// rate the current one, or one after it once that had none; otherwise the
// leader.
host_name
token_host(state const& s, account_name const& account, token_pool const& h)
{
    control_link const& link = s.control_;
    if (has_shared_rate(s, account) && !link.hosts_.empty())
        return link.hosts_.at(
            (link.current_ + h.others_asked_) % link.hosts_.size());
    return leader_host(s);
}

// Whether a control host that has no token of a shared rate leaves another one
// to ask.
//
// Load pattern: accounts of a few requests per second, whose tokens lie with
// one control host while their requests come by way of another.
bool may_ask_another(state const& s, token_pool const& h, instant now)
{
    return h.others_asked_ < max_other_token_hosts &&
           h.others_asked_ + 1 < s.control_.hosts_.size() &&
           now >= h.others_empty_until_;
}

std::vector<ranked_calls> waiting_by_rank(token_pool const& h)
{
    std::map<rank, std::int64_t> counts;
    for (token_waiter const& call : h.waiting_)
        ++counts[call.route_rank_];
    std::vector<ranked_calls> ranked;
    ranked.reserve(counts.size());
    for (auto const& [r, count] : counts)
        ranked.push_back({r, count});
    return ranked;
}

bool is_waiting(token_pool const& h, call_number number)
{
    return std::any_of(
        h.waiting_.begin(), h.waiting_.end(),
        [&](token_waiter const& call) { return call.number_ == number; });
}

// Reports spent tokens and, unless `report_only`, requests tokens for the
// waiting calls and the expected demand.
void send_grant_request(
    working_state& w, account_name const& account, token_pool& h,
    bool report_only)
{
    state& s = *w.state_;
    grant_request r;
    r.host_ = s.settings_.self_;
    r.incarnation_ = s.incarnation_;
    r.account_ = account;
    r.reports_ = collect_reports(h, false);
    if (!report_only)
    {
        if (h.pending_request_ != 0)
        {
            // The previous request was not answered.
            h.allocated_ = false;
            h.others_asked_ = 0;
        }
        r.number_ = next_number(s);
        r.waiting_ = static_cast<std::int64_t>(h.waiting_.size());
        r.waiting_by_rank_ = waiting_by_rank(h);
        h.requested_rank_ = r.waiting_by_rank_.empty()
                                ? lowest_rank
                                : r.waiting_by_rank_.front().rank_;
        r.wanted_ = std::max<std::int64_t>(0, demand(h) - tokens_left(h));
        h.pending_request_ = r.number_;
        h.requested_at_ = w.at_.now_;
        h.next_request_at_ = w.at_.now_ + control_resend_interval;
    }
    if (!report_only || !r.reports_.empty())
        send_message(w, token_host(s, account, h), std::move(r));
}

bool requested_recently(token_pool const& h, instant now)
{
    return h.pending_request_ != 0 &&
           now - h.requested_at_ < control_resend_interval;
}

bool has_small_burst(state const& s, account_name const& account)
{
    if (has_shared_rate(s, account))
        return false; // granted tokens of a shared rate count as spent
    auto const a = s.configuration_.accounts_.find(account);
    return a != s.configuration_.accounts_.end() &&
           a->second.burst_ < small_burst;
}

// Whether no control host answers requests for tokens of the account: the last
// request but one, or for `timeout` the last one.
bool is_unanswered(token_pool const& h, duration timeout, instant now)
{
    bool const overdue =
        h.pending_request_ != 0 && now - h.requested_at_ >= timeout;
    return !h.allocated_ || overdue;
}

// Returns how long after its start a call may wait for a token.
duration
max_wait(state const& s, entry_call const& c, token_pool const& h, instant now)
{
    if (has_shared_rate(s, c.context_.account_))
        return std::min(
            max_shared_token_wait,
            c.context_.objective_ / shared_token_wait_divisor);
    return is_unanswered(h, control_resend_interval, now) ? max_allocator_wait
                                                          : max_token_wait;
}

pipeline_context wait_for_token(pipeline_context p, token_pool& h)
{
    entry_call const& c = p.call_;
    instant const now = p.at_.now_;
    bool const waits = is_waiting(h, c.number_);
    instant const until = c.created_at_ + max_wait(*p.state_, c, h, now);
    if (now >= until || (!waits && h.waiting_.size() >= max_waiting_for_tokens))
    {
        bool const may_spend_local =
            has_shared_rate(*p.state_, c.context_.account_) &&
            is_unanswered(h, token_answer_timeout, now);
        if (may_spend_local && spend_local_share(p, c.context_.account_))
            return p;
        refusal_reason const why = h.allocated_
                                       ? refusal_reason::rate_exceeded
                                       : refusal_reason::rate_unavailable;
        return refuse(std::move(p), why, std::chrono::seconds(1));
    }
    if (!waits)
        h.waiting_.push_back({c.number_, c.context_.route_rank_});
    p.call_.wake_at_ = std::min(until, now + max_token_wait);
    p.progress_ = waiting{};
    return p;
}

// Refuses all calls that wait for a token of the account.
void refuse_waiting(
    working_state& w, account_name const& account, duration retry_after)
{
    std::vector<token_waiter> const refused =
        std::exchange(w.state_->token_pools_.at(account).waiting_, {});
    for (token_waiter const& call : refused)
    {
        auto const held = w.state_->calls_.find(call.number_);
        if (held == w.state_->calls_.end())
            continue;
        entry_call c = std::move(held->second);
        cancel_timer(*w.state_, c);
        w.state_->calls_.erase(held);
        w = finish_call(
            std::move(w), std::move(c),
            not_run{refusal_reason::rate_exceeded, retry_after});
    }
}

// Resumes the calls that wait for a token, the most important ones first so
// that they get the tokens.
void resume_waiting(working_state& w, account_name const& account)
{
    std::vector<token_waiter> resumed =
        std::exchange(w.state_->token_pools_.at(account).waiting_, {});
    std::stable_sort(
        resumed.begin(), resumed.end(),
        [](token_waiter const& left, token_waiter const& right)
        { return left.route_rank_ < right.route_rank_; });
    for (token_waiter const& call : resumed)
        w = resume_call(std::move(w), call.number_);
}

} // namespace

void remove_waiting_call(token_pool& h, call_number number)
{
    std::erase_if(
        h.waiting_,
        [&](token_waiter const& call) { return call.number_ == number; });
}

bool spend_token(working_state& w, account_name const& account)
{
    token_pool& h = w.state_->token_pools_[account];
    drop_ended_grants(h, w.at_.now_);
    auto const first = std::min_element(
        h.grants_.begin(), h.grants_.end(),
        [](held_grant const& left, held_grant const& right)
        { return left.ends_ < right.ends_; });
    if (first == h.grants_.end() || first->remaining_ == 0)
        return false;
    --first->remaining_;
    first->changed_ = true;
    std::int64_t const left = tokens_left(h);
    if (left * 2 < demand(h) && !requested_recently(h, w.at_.now_) &&
        w.at_.now_ >= h.next_request_at_)
        send_grant_request(w, account, h, false);
    else if (has_small_burst(*w.state_, account) || first->remaining_ == 0)
        send_grant_request(w, account, h, true);
    return true;
}

pipeline_context take_token(pipeline_context p)
{
    account_name const account = p.call_.context_.account_;
    if (p.call_.parent_ || account.empty())
        return p;
    if (has_shared_rate(*p.state_, account))
    {
        if (p.state_->configuration_.accounts_.at(account).milli_rate_ == 0)
            return p; // no limit
        if (!p.call_.wake_at_)
            count_shared_demand(*p.state_, account, p.at_.now_);
    }
    working_state w{std::move(p.state_), std::move(p.effects_), p.at_};
    token_pool& h = w.state_->token_pools_[account];
    bool const first_time = !p.call_.wake_at_ && p.call_.tries_ == 0;
    if (first_time)
        count_demand(h, w.at_.now_);
    bool const others_first =
        !h.waiting_.empty() && !is_waiting(h, p.call_.number_);
    bool const spent = !others_first && spend_token(w, account);
    if (spent)
    {
        remove_waiting_call(w.state_->token_pools_[account], p.call_.number_);
        if (has_shared_rate(*w.state_, account))
            count_token(*w.state_, token_source::granted);
    }
    else
    {
        token_pool& held = w.state_->token_pools_[account];
        p.state_ = std::move(w.state_);
        p = wait_for_token(std::move(p), held);
        w.state_ = std::move(p.state_);
        bool const waits = std::holds_alternative<waiting>(p.progress_);
        if (!waits)
            remove_waiting_call(held, p.call_.number_);
        bool const may_request =
            w.at_.now_ >= held.next_request_at_ ||
            p.call_.context_.route_rank_ < held.requested_rank_;
        if (waits && !requested_recently(held, w.at_.now_) && may_request)
            send_grant_request(w, account, held, false);
    }
    p.state_ = std::move(w.state_);
    p.effects_ = std::move(w.effects_);
    return p;
}

namespace
{

void take_grant(token_pool& h, grant_response const& r, instant now)
{
    duration const length = r.length_ - r.length_ / clock_drift_divisor;
    h.grants_.push_back({r.grant_, r.tokens_, h.requested_at_ + length, false});
    h.next_request_at_ = now;
    h.others_asked_ = 0;
}

// Asks the next control host for tokens of a shared rate that the last one did
// not have. Returns false if there is none to ask.
bool ask_another(working_state& w, token_pool& h, grant_response const& r)
{
    h.shortest_retry_after_ =
        h.others_asked_ == 0
            ? r.retry_after_
            : std::min(h.shortest_retry_after_, r.retry_after_);
    if (!may_ask_another(*w.state_, h, w.at_.now_) || h.waiting_.empty())
        return false;
    ++h.others_asked_;
    send_grant_request(w, r.account_, h, false);
    return true;
}

// No control host that was asked has a token. The waiting calls go on waiting
// if one will have in time, and are refused otherwise.
working_state
handle_exhausted(working_state w, token_pool& h, grant_response const& r)
{
    bool const shared = has_shared_rate(*w.state_, r.account_);
    duration const max_retry_after =
        shared ? max_shared_token_wait : max_token_wait;
    if (shared && ask_another(w, h, r))
        return w;
    duration const retry_after =
        shared ? h.shortest_retry_after_ : r.retry_after_;
    if (std::exchange(h.others_asked_, 0) > 0)
        h.others_empty_until_ = w.at_.now_ + other_token_hosts_pause;
    if (retry_after > max_retry_after)
    {
        h.next_request_at_ = w.at_.now_ + max_retry_after;
        refuse_waiting(w, r.account_, retry_after);
        return w;
    }
    h.next_request_at_ = w.at_.now_ + retry_after;
    std::vector<ranked_calls> const waiting = waiting_by_rank(h);
    if (!waiting.empty() && waiting.front().rank_ < h.requested_rank_)
        send_grant_request(w, r.account_, h, false);
    return w;
}

} // namespace

working_state handle_grant_response(working_state w, grant_response const& r)
{
    auto const known = w.state_->token_pools_.find(r.account_);
    if (known == w.state_->token_pools_.end() ||
        r.incarnation_ != w.state_->incarnation_ ||
        known->second.pending_request_ != r.number_)
        return w;
    token_pool& h = known->second;
    h.pending_request_ = 0;
    h.allocated_ = r.result_ != grant_result::unavailable;
    switch (r.result_)
    {
    case grant_result::granted:
        take_grant(h, r, w.at_.now_);
        resume_waiting(w, r.account_);
        return w;
    case grant_result::exhausted:
        return handle_exhausted(std::move(w), h, r);
    case grant_result::unavailable:
        h.next_request_at_ = w.at_.now_ + control_resend_interval;
        return w;
    }
    return w;
}

working_state maintain_tokens(working_state w)
{
    instant const now = w.at_.now_;
    for (auto& [account, h] : w.state_->token_pools_)
    {
        drop_ended_grants(h, now);
        bool const idle = now - h.last_call_at_ >= idle_token_lifetime;
        if (idle && !h.grants_.empty())
        {
            grant_request r;
            r.host_ = w.state_->settings_.self_;
            r.incarnation_ = w.state_->incarnation_;
            r.account_ = account;
            r.reports_ = collect_reports(h, true);
            send_message(w, leader_host(*w.state_), std::move(r));
        }
        bool const request_due =
            !h.waiting_.empty() && now >= h.next_request_at_;
        if (request_due)
            send_grant_request(w, account, h, false);
    }
    std::erase_if(
        w.state_->token_pools_,
        [&](auto const& held)
        {
            token_pool const& h = held.second;
            return h.grants_.empty() && h.waiting_.empty() &&
                   now - h.last_call_at_ > std::chrono::seconds(10);
        });
    return w;
}

} // namespace jackdawhall::calls
