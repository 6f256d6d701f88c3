// Deduplication of resent requests. A resend of a request that is in progress
// at this daemon joins it and gets the same answer. A resend of a finished
// request under a claim gets the stored verdict, or is refused if its body
// differs. Any other resend of a root call is charged to the retry budget that
// the original left.
#include <jackdawhall/calls/pipeline_context.hpp>

namespace jackdawhall::calls
{

namespace
{

// Returns the key that a request and its resends have in common, or an empty
// string if resends cannot be recognised.
std::string duplicate_key(entry_call const& c)
{
    headers const& fields = c.request_.headers_;
    std::string id = find_header(fields, idempotency_header);
    if (id.empty())
        id = find_header(fields, request_id_header);
    if (id.empty() || (c.parent_ && !c.claim_))
        return {};
    return c.context_.account_.str() + "|" + c.request_.method_ + "|" +
           c.request_.path_ + "|" + id + "|" + fingerprint(c.request_.body_);
}

// Moves the waiters of the call in `p` to the call `first`. Sets the number of
// the call in `p` to 0, so that run_filters drops it.
pipeline_context join_call(pipeline_context p, call_number first)
{
    state& s = *p.state_;
    entry_call& joined = s.calls_.at(first);
    for (waiter const& w : p.call_.waiters_)
    {
        joined.waiters_.push_back(w);
        if (http_caller const* caller = std::get_if<http_caller>(&w))
            s.call_of_caller_[caller->number_] = first;
    }
    return_unused_retries(s, p.call_, false, p.at_.now_);
    ++s.counters_.joined_;
    p.call_.number_ = 0;
    p.progress_ = waiting{};
    return p;
}

void expire_root_budgets(state& s, instant now)
{
    while (!s.root_budget_order_.empty() &&
           s.root_budget_order_.front().first <= now)
    {
        auto const known =
            s.root_budgets_.find(s.root_budget_order_.front().second);
        if (known != s.root_budgets_.end() && known->second.until_ <= now)
            s.root_budgets_.erase(known);
        s.root_budget_order_.pop_front();
    }
}

pipeline_context charge_resend(pipeline_context p)
{
    state& s = *p.state_;
    expire_root_budgets(s, p.at_.now_);
    auto const known = s.root_budgets_.find(p.call_.duplicate_key_);
    if (known == s.root_budgets_.end())
        return p;
    if (known->second.retries_left_ == 0)
        return refuse(std::move(p), refusal_reason::retries_spent);
    p.call_.retries_left_ = known->second.retries_left_ - 1;
    return p;
}

} // namespace

pipeline_context join_duplicate(pipeline_context p)
{
    entry_call& c = p.call_;
    state& s = *p.state_;
    if (c.claim_)
    {
        auto const recent = s.recent_verdicts_.find(c.claim_->id_);
        if (recent != s.recent_verdicts_.end())
        {
            if (recent->second.body_hash_ != c.claim_->body_hash_)
                return refuse(
                    std::move(p), refusal_reason::idempotency_key_reused);
            p.progress_ = finished{recent->second.verdict_};
            return p;
        }
        auto const claimed = s.claims_.find(c.claim_->id_);
        if (claimed != s.claims_.end() &&
            s.calls_.at(claimed->second).claim_->body_hash_ !=
                c.claim_->body_hash_)
            return refuse(std::move(p), refusal_reason::idempotency_key_reused);
    }
    c.duplicate_key_ = duplicate_key(c);
    if (c.duplicate_key_.empty())
        return p;
    auto const first = s.call_of_duplicate_key_.find(c.duplicate_key_);
    if (first != s.call_of_duplicate_key_.end())
        return join_call(std::move(p), first->second);
    if (!c.parent_)
        p = charge_resend(std::move(p));
    if (std::holds_alternative<advancing>(p.progress_))
        p.state_->call_of_duplicate_key_.emplace(
            p.call_.duplicate_key_, p.call_.number_);
    else
        p.call_.duplicate_key_.clear();
    return p;
}

} // namespace jackdawhall::calls
