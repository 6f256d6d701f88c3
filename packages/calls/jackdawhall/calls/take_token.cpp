// Rate tokens at a daemon. Tokens come in grants from the leader of the control
// hosts. An account with steady traffic here gets them ahead of demand; one
// with thin traffic asks for each call, so that its tokens never lie idle at
// another host. Unspent tokens go back soon.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>
#include <map>

namespace jackdawhall::calls
{

namespace
{

// An account with a smaller burst reports each token as it is spent, since
// every unreported one occupies its bucket.
constexpr std::int64_t small_burst = 256;
// Fewer calls in a prefetch window than this are not prefetched for.
constexpr std::int64_t least_prefetched = 4;

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

std::int64_t demand(token_pool const& h)
{
    std::int64_t const calls = std::max(h.window_calls_, h.last_window_calls_);
    return calls < least_prefetched ? 0 : calls;
}

std::vector<grant_report> take_reports(token_pool& h, bool close)
{
    std::vector<grant_report> reports;
    for (held_grant& g : h.grants_)
    {
        if (g.grant_ == 0 || (!g.changed_ && !close))
            continue; // nothing to report
        bool const ends = close || g.remaining_ == 0;
        reports.push_back({g.grant_, g.remaining_, ends});
        g.changed_ = false;
    }
    std::erase_if(
        h.grants_,
        [&](held_grant const& g) { return close || g.remaining_ == 0; });
    return reports;
}

// Shared rates are given out by every control host, others by the leader.
host_name token_host(state const& s, account_name const& account)
{
    control_link const& link = s.control_;
    if (has_shared_rate(s, account) && !link.hosts_.empty())
        return link.hosts_.at(link.current_);
    return leader_host(s);
}

std::vector<ranked_calls> by_rank(token_pool const& h)
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

bool waits_in(token_pool const& h, call_number number)
{
    return std::any_of(
        h.waiting_.begin(), h.waiting_.end(),
        [&](token_waiter const& call) { return call.number_ == number; });
}

void ask(work& w, account_name const& account, token_pool& h, bool report_only)
{
    state& s = *w.state_;
    grant_request r;
    r.host_ = s.settings_.self_;
    r.incarnation_ = s.incarnation_;
    r.account_ = account;
    r.reports_ = take_reports(h, false);
    if (!report_only)
    {
        if (h.pending_request_ != 0)
            h.allocated_ = false; // the request before got no answer
        r.number_ = next_number(s);
        r.waiting_ = static_cast<std::int64_t>(h.waiting_.size());
        r.ranked_ = by_rank(h);
        h.requested_rank_ =
            r.ranked_.empty() ? lowest_rank : r.ranked_.front().rank_;
        r.wanted_ = std::max<std::int64_t>(0, demand(h) - tokens_left(h));
        h.pending_request_ = r.number_;
        h.requested_at_ = w.at_.now_;
        h.next_request_at_ = w.at_.now_ + control_resend_interval;
    }
    if (!report_only || !r.reports_.empty())
        tell(w, token_host(s, account), std::move(r));
}

bool asked_lately(token_pool const& h, instant now)
{
    return h.pending_request_ != 0 &&
           now - h.requested_at_ < control_resend_interval;
}

bool is_small(state const& s, account_name const& account)
{
    if (has_shared_rate(s, account))
        return false; // its tokens count as spent
    auto const a = s.configuration_.accounts_.find(account);
    return a != s.configuration_.accounts_.end() &&
           a->second.burst_ < small_burst;
}

// How long a call may wait for a token, from its start.
duration longest_wait(state const& s, entry_call const& c, token_pool const& h)
{
    if (has_shared_rate(s, c.context_.account_))
        return std::min(
            max_shared_token_wait,
            c.context_.objective_ / shared_token_wait_divisor);
    return h.allocated_ ? max_token_wait : max_allocator_wait;
}

passage wait_for_token(passage p, token_pool& h)
{
    entry_call const& c = p.call_;
    instant const now = p.at_.now_;
    bool const waits = waits_in(h, c.number_);
    instant const until = c.created_at_ + longest_wait(*p.state_, c, h);
    if (now >= until || (!waits && h.waiting_.size() >= max_waiting_for_tokens))
    {
        if (!h.allocated_ && has_shared_rate(*p.state_, c.context_.account_) &&
            spend_own_part(*p.state_, c.context_.account_, now))
            return p;
        refusal_reason const why = h.allocated_
                                       ? refusal_reason::rate_exceeded
                                       : refusal_reason::rate_unavailable;
        return refuse(std::move(p), why, std::chrono::seconds(1));
    }
    if (!waits)
        h.waiting_.push_back({c.number_, c.context_.route_rank_});
    p.call_.wake_at_ = std::min(until, now + max_token_wait);
    p.flow_ = waiting{};
    return p;
}

void refuse_waiting(work& w, account_name const& account, duration retry_after)
{
    std::vector<token_waiter> const late =
        std::exchange(w.state_->token_pools_.at(account).waiting_, {});
    for (token_waiter const& call : late)
    {
        auto const held = w.state_->calls_.find(call.number_);
        if (held == w.state_->calls_.end())
            continue;
        entry_call c = std::move(held->second);
        unwatch(*w.state_, c);
        w.state_->calls_.erase(held);
        w = finish_call(
            std::move(w), std::move(c),
            not_run{refusal_reason::rate_exceeded, retry_after});
    }
}

// The most important first: they spend what there is.
void resume_waiting(work& w, account_name const& account)
{
    std::vector<token_waiter> served =
        std::exchange(w.state_->token_pools_.at(account).waiting_, {});
    std::stable_sort(
        served.begin(), served.end(),
        [](token_waiter const& left, token_waiter const& right)
        { return left.route_rank_ < right.route_rank_; });
    for (token_waiter const& call : served)
        w = resume(std::move(w), call.number_);
}

} // namespace

void stop_waiting(token_pool& h, call_number number)
{
    std::erase_if(
        h.waiting_,
        [&](token_waiter const& call) { return call.number_ == number; });
}

bool spend_token(work& w, account_name const& account)
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
    if (left * 2 < demand(h) && !asked_lately(h, w.at_.now_) &&
        w.at_.now_ >= h.next_request_at_)
        ask(w, account, h, false);
    else if (is_small(*w.state_, account) || first->remaining_ == 0)
        ask(w, account, h, true);
    return true;
}

passage take_token(passage p)
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
    work w{std::move(p.state_), std::move(p.effects_), p.at_};
    token_pool& h = w.state_->token_pools_[account];
    bool const first_time = !p.call_.wake_at_ && p.call_.tries_ == 0;
    if (first_time)
        count_demand(h, w.at_.now_);
    bool const others_first =
        !h.waiting_.empty() && !waits_in(h, p.call_.number_);
    bool const spent = !others_first && spend_token(w, account);
    if (spent)
    {
        stop_waiting(w.state_->token_pools_[account], p.call_.number_);
    }
    else
    {
        token_pool& held = w.state_->token_pools_[account];
        p.state_ = std::move(w.state_);
        p = wait_for_token(std::move(p), held);
        w.state_ = std::move(p.state_);
        bool const waits = std::holds_alternative<waiting>(p.flow_);
        if (!waits)
            stop_waiting(held, p.call_.number_);
        bool const may_ask =
            w.at_.now_ >= held.next_request_at_ ||
            p.call_.context_.route_rank_ < held.requested_rank_;
        if (waits && !asked_lately(held, w.at_.now_) && may_ask)
            ask(w, account, held, false);
    }
    p.state_ = std::move(w.state_);
    p.effects_ = std::move(w.effects_);
    return p;
}

work take_grant(work w, grant_response const& r)
{
    auto const known = w.state_->token_pools_.find(r.account_);
    if (known == w.state_->token_pools_.end() ||
        r.incarnation_ != w.state_->incarnation_ ||
        known->second.pending_request_ != r.number_)
        return w;
    token_pool& h = known->second;
    h.pending_request_ = 0;
    bool const exhausted = r.result_ == grant_result::exhausted;
    h.allocated_ = r.result_ != grant_result::unavailable;
    if (r.result_ == grant_result::granted)
    {
        duration const length = r.length_ - r.length_ / clock_drift_divisor;
        h.grants_.push_back(
            {r.grant_, r.tokens_, h.requested_at_ + length, false});
        h.next_request_at_ = w.at_.now_;
        resume_waiting(w, r.account_);
        return w;
    }
    duration const most = has_shared_rate(*w.state_, r.account_)
                              ? max_shared_token_wait
                              : max_token_wait;
    if (exhausted && r.retry_after_ > most)
    {
        h.next_request_at_ = w.at_.now_ + most;
        refuse_waiting(w, r.account_, r.retry_after_);
        return w;
    }
    h.next_request_at_ =
        w.at_.now_ + (exhausted ? r.retry_after_ : control_resend_interval);
    std::vector<ranked_calls> const waiting = by_rank(h);
    if (exhausted && !waiting.empty() &&
        waiting.front().rank_ < h.requested_rank_)
        ask(w, r.account_, h, false);
    return w;
}

work tend_tokens(work w)
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
            r.reports_ = take_reports(h, true);
            tell(w, leader_host(*w.state_), std::move(r));
        }
        bool const asks = !h.waiting_.empty() && now >= h.next_request_at_;
        if (asks)
            ask(w, account, h, false);
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
