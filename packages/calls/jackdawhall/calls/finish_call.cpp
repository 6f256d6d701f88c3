// Completion of a call at its entry: settles its claim, returns the retries
// that it did not use, and sends its verdict to all who wait for it.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

void release_claim(working_state& w, held_claim const& c)
{
    w.state_->pending_releases_.insert_or_assign(c.id_, c);
    w.state_->releases_due_ = w.at_.now_ + control_resend_interval;
    send_message(
        w, leader_host(*w.state_),
        claim_release{c.id_, c.run_, w.state_->settings_.self_});
}

std::size_t answer_body_size(verdict const& v)
{
    ran const* r = std::get_if<ran>(&v);
    return r ? r->answer_.body_.size() : 0;
}

void evict_oldest_verdict(state& s)
{
    auto const oldest =
        s.recent_verdicts_.find(s.recent_verdict_order_.front());
    s.recent_verdict_order_.pop_front();
    if (oldest == s.recent_verdicts_.end())
        return;
    s.recent_verdict_bytes_ -= answer_body_size(oldest->second.verdict_);
    s.recent_verdicts_.erase(oldest);
}

void cache_verdict(state& s, held_claim const& c, verdict const& v, instant now)
{
    if (s.recent_verdicts_.contains(c.id_))
        return;
    s.recent_verdicts_.emplace(
        c.id_, recent_verdict{v, c.body_hash_, now + recent_verdict_lifetime});
    s.recent_verdict_order_.push_back(c.id_);
    s.recent_verdict_bytes_ += answer_body_size(v);
    while (
        s.recent_verdict_order_.size() > max_recent_verdicts ||
        s.recent_verdict_bytes_ > max_recent_verdict_bytes ||
        (!s.recent_verdict_order_.empty() &&
         s.recent_verdicts_.at(s.recent_verdict_order_.front()).until_ <= now))
        evict_oldest_verdict(s);
}

// Releases the claim if the request did not run; otherwise keeps the verdict
// for resends.
void settle_claim(working_state& w, entry_call const& c, verdict const& v)
{
    state& s = *w.state_;
    if (!c.claim_)
        return;
    auto const claimed = s.claims_.find(c.claim_->id_);
    if (claimed == s.claims_.end() || claimed->second != c.number_)
        return; // this call did not request the claim
    s.claims_.erase(claimed);
    if (std::holds_alternative<not_run>(v))
        release_claim(w, *c.claim_);
    else if (c.claim_->granted_)
        cache_verdict(s, *c.claim_, v, w.at_.now_);
}

bool is_failure(verdict const& v)
{
    ran const* r = std::get_if<ran>(&v);
    return !r || r->answer_.status_ >= 500;
}

// Lets no further resend join the call, and keeps the unused retries of a root
// call for its resends.
void save_root_budget(state& s, entry_call const& c, instant now)
{
    if (c.duplicate_key_.empty())
        return;
    s.call_of_duplicate_key_.erase(c.duplicate_key_);
    if (c.parent_)
        return; // its retries were returned to the run that made it
    instant const until = now + root_retry_budget_lifetime;
    s.root_budgets_.insert_or_assign(
        c.duplicate_key_, root_retry_budget{c.retries_left_, until});
    s.root_budget_order_.emplace_back(until, c.duplicate_key_);
}

void count_verdict(counters& n, verdict const& v)
{
    std::visit(
        overloaded{
            [&](not_run const& r)
            { ++n.refusals_.at(static_cast<std::size_t>(r.reason_)); },
            [&](may_have_run const& r)
            { ++n.doubts_.at(static_cast<std::size_t>(r.reason_)); },
            [&](ran const&) { ++n.ran_; },
        },
        v);
}

void answer_waiters(working_state& w, entry_call const& c, verdict const& v)
{
    for (waiter const& who : c.waiters_)
    {
        std::visit(
            overloaded{
                [&](http_caller const& caller)
                {
                    w.state_->call_of_caller_.erase(caller.number_);
                    w.effects_.push_back(answer_caller{
                        caller.number_, v, c.context_.root_,
                        c.context_.account_, c.service_,
                        c.tried_servers_.empty()
                            ? std::string{}
                            : c.tried_servers_.back().second,
                        c.tries_, w.at_.now_ - c.created_at_});
                },
                [&](outcome_requester const& requester) {
                    send_message(
                        w, requester.host_,
                        outcome_response{requester.number_, v});
                },
            },
            who);
    }
}

} // namespace

void return_unused_retries(
    state& s, entry_call const& c, bool failed, instant now)
{
    if (!c.parent_)
        return;
    auto const parent = s.runs_.find(*c.parent_);
    if (parent == s.runs_.end())
        return;
    gate_run& run = parent->second;
    run.retries_left_ += c.retries_left_;
    run.call_failed_ = run.call_failed_ || failed;
    if (--run.calls_in_progress_ == 0)
        run.time_in_calls_ += now - run.calling_since_;
}

working_state finish_call(working_state w, entry_call c, verdict v)
{
    settle_claim(w, c, v);
    auto const held = w.state_->token_pools_.find(c.context_.account_);
    if (held != w.state_->token_pools_.end())
        remove_waiting_call(held->second, c.number_);
    return_unused_retries(*w.state_, c, is_failure(v), w.at_.now_);
    save_root_budget(*w.state_, c, w.at_.now_);
    count_verdict(w.state_->counters_, v);
    answer_waiters(w, c, v);
    return w;
}

} // namespace jackdawhall::calls
