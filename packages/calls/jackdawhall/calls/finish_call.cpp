// The end of a call at its entry: its claim is settled, the retries that it did
// not use go back, and all who wait for it get its verdict.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

void release(work& w, held_claim const& c)
{
    w.state_->pending_releases_.insert_or_assign(c.id_, c);
    w.state_->releases_due_ = w.at_.now_ + control_resend_interval;
    tell(
        w, leader_host(*w.state_),
        claim_release{c.id_, c.run_, w.state_->settings_.self_});
}

std::size_t size_of(verdict const& v)
{
    ran const* r = std::get_if<ran>(&v);
    return r ? r->answer_.body_.size() : 0;
}

void forget_oldest(state& s)
{
    auto const oldest =
        s.recent_verdicts_.find(s.recent_verdict_order_.front());
    s.recent_verdict_order_.pop_front();
    if (oldest == s.recent_verdicts_.end())
        return;
    s.recent_verdict_bytes_ -= size_of(oldest->second.verdict_);
    s.recent_verdicts_.erase(oldest);
}

void remember(state& s, held_claim const& c, verdict const& v, instant now)
{
    if (s.recent_verdicts_.contains(c.id_))
        return;
    s.recent_verdicts_.emplace(
        c.id_, recent_verdict{v, c.body_hash_, now + recent_verdict_lifetime});
    s.recent_verdict_order_.push_back(c.id_);
    s.recent_verdict_bytes_ += size_of(v);
    while (
        s.recent_verdict_order_.size() > max_recent_verdicts ||
        s.recent_verdict_bytes_ > max_recent_verdict_bytes ||
        (!s.recent_verdict_order_.empty() &&
         s.recent_verdicts_.at(s.recent_verdict_order_.front()).until_ <= now))
        forget_oldest(s);
}

void settle_claim(work& w, entry_call const& c, verdict const& v)
{
    state& s = *w.state_;
    if (!c.claim_)
        return;
    auto const claimed = s.claims_.find(c.claim_->id_);
    if (claimed == s.claims_.end() || claimed->second != c.number_)
        return; // never asked for it
    s.claims_.erase(claimed);
    if (std::holds_alternative<not_run>(v))
        release(w, *c.claim_);
    else if (c.claim_->granted_)
        remember(s, *c.claim_, v, w.at_.now_);
}

bool is_failure(verdict const& v)
{
    ran const* r = std::get_if<ran>(&v);
    return !r || r->answer_.status_ >= 500;
}

void keep_root_budget(state& s, entry_call const& c, instant now)
{
    if (c.duplicate_key_.empty())
        return;
    s.call_of_duplicate_key_.erase(c.duplicate_key_);
    if (c.parent_)
        return; // its retries went back to the run that made it
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

void answer_waiters(work& w, entry_call const& c, verdict const& v)
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
                [&](outcome_requester const& asker) {
                    tell(w, asker.host_, outcome_response{asker.number_, v});
                },
            },
            who);
    }
}

} // namespace

void give_back_retries(state& s, entry_call const& c, bool failed, instant now)
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

work finish_call(work w, entry_call c, verdict v)
{
    settle_claim(w, c, v);
    auto const held = w.state_->token_pools_.find(c.context_.account_);
    if (held != w.state_->token_pools_.end())
        stop_waiting(held->second, c.number_);
    give_back_retries(*w.state_, c, is_failure(v), w.at_.now_);
    keep_root_budget(*w.state_, c, w.at_.now_);
    count_verdict(w.state_->counters_, v);
    answer_waiters(w, c, v);
    return w;
}

} // namespace jackdawhall::calls
