// At-most-once execution. A request that may not be repeated is forwarded only
// under a claim that the ledger of the control hosts granted to this call of
// it. A claim is granted once, and released only when the request is proven not
// to have run. So a resend never runs a second time, whichever daemon it
// reaches.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// A holder that can't be reached for this long has ended.
constexpr duration holder_return_time = std::chrono::seconds(1);

// The call that asked for an outcome with this number.
std::map<call_number, entry_call>::iterator
find_outcome_request(state& s, call_number number)
{
    return std::find_if(
        s.calls_.begin(), s.calls_.end(),
        [&](auto const& c)
        {
            std::optional<open_outcome_request> const& asked =
                c.second.outcome_request_;
            return asked && asked->number_ == number;
        });
}

void send_claim(state const& s, effects& out, held_claim const& c)
{
    out.push_back(send{
        {leader_host(s),
         claim_request{c.id_, c.body_hash_, c.run_, s.settings_.self_}}});
}

void send_outcome_request(working_state& w, entry_call const& c)
{
    send_message(
        w, c.outcome_request_->holder_,
        outcome_request{c.outcome_request_->number_, c.claim_->id_});
}

// Another run holds the claim. Requests the outcome from the daemon that made
// it. If that is this daemon, the call that held the claim is gone, so the
// outcome is unknown.
working_state
request_outcome(working_state w, call_number number, host_name const& holder)
{
    entry_call& c = w.state_->calls_.at(number);
    if (holder == w.state_->settings_.self_)
    {
        entry_call held = std::move(c);
        cancel_timer(*w.state_, held);
        w.state_->calls_.erase(number);
        return finish_call(
            std::move(w), std::move(held),
            may_have_run{indeterminate_reason::already_claimed});
    }
    cancel_timer(*w.state_, c);
    c.wake_at_.reset();
    c.outcome_request_ = open_outcome_request{next_number(*w.state_), holder};
    schedule_timer(*w.state_, c);
    send_outcome_request(w, c);
    return w;
}

working_state
finish_waiting_call(working_state w, call_number number, verdict v)
{
    entry_call c = std::move(w.state_->calls_.at(number));
    cancel_timer(*w.state_, c);
    w.state_->calls_.erase(number);
    return finish_call(std::move(w), std::move(c), std::move(v));
}

working_state handle_claim_result(
    working_state w, call_number number, claim_response const& r)
{
    switch (r.result_)
    {
    case claim_result::granted:
        w.state_->calls_.at(number).claim_->granted_ = true;
        return resume_call(std::move(w), number);
    case claim_result::held:
        return request_outcome(std::move(w), number, r.holder_);
    case claim_result::body_mismatch:
        return finish_waiting_call(
            std::move(w), number,
            not_run{refusal_reason::idempotency_key_reused});
    case claim_result::expired:
        return finish_waiting_call(
            std::move(w), number,
            may_have_run{indeterminate_reason::idempotency_key_expired});
    case claim_result::too_new:
        return finish_waiting_call(
            std::move(w), number,
            not_run{refusal_reason::idempotency_key_too_new});
    case claim_result::unavailable:
        break; // requested again when the call wakes
    }
    return w;
}

} // namespace

pipeline_context take_claim(pipeline_context p)
{
    entry_call& c = p.call_;
    if (!c.claim_ || c.claim_->granted_)
        return p;
    if (c.outcome_request_)
    {
        p.effects_.push_back(send{
            {c.outcome_request_->holder_,
             outcome_request{c.outcome_request_->number_, c.claim_->id_}}});
        p.progress_ = waiting{};
        return p;
    }
    p.state_->claims_.insert_or_assign(c.claim_->id_, c.number_);
    send_claim(*p.state_, p.effects_, *c.claim_);
    c.wake_at_ = p.at_.now_ + control_resend_interval;
    p.progress_ = waiting{};
    return p;
}

working_state handle_claim_response(working_state w, claim_response const& r)
{
    auto const claimed = w.state_->claims_.find(r.id_);
    bool const still_waiting =
        claimed != w.state_->claims_.end() &&
        w.state_->calls_.at(claimed->second).claim_->run_ == r.run_;
    if (!still_waiting)
        return w; // the call has ended, and finish_call settled the claim
    entry_call const& c = w.state_->calls_.at(claimed->second);
    if (c.claim_->granted_ || c.outcome_request_)
        return w; // a resent claim_request was answered twice
    return handle_claim_result(std::move(w), claimed->second, r);
}

working_state resend_claim_releases(working_state w)
{
    if (w.state_->pending_releases_.empty() ||
        w.at_.now_ < w.state_->releases_due_)
        return w;
    w.state_->releases_due_ = w.at_.now_ + control_resend_interval;
    for (auto const& held : w.state_->pending_releases_)
        w.effects_.push_back(send{
            {leader_host(*w.state_),
             claim_release{
                 held.first, held.second.run_, w.state_->settings_.self_}}});
    return w;
}

working_state ask_outcomes_again(working_state w, host_name const& holder)
{
    for (auto& [number, c] : w.state_->calls_)
    {
        if (!c.outcome_request_ || c.outcome_request_->holder_ != holder)
            continue;
        c.outcome_request_->unsent_since_.reset(); // there was a link
        send_outcome_request(w, c);
    }
    return w;
}

working_state
handle_outcome_request_not_sent(working_state w, outcome_request const& r)
{
    auto const held = find_outcome_request(*w.state_, r.number_);
    if (held == w.state_->calls_.end())
        return w;
    entry_call& c = held->second;
    std::optional<instant>& since = c.outcome_request_->unsent_since_;
    since = since.value_or(w.at_.now_);
    if (w.at_.now_ - *since >= holder_return_time)
        return handle_outcome_response(
            std::move(w),
            {r.number_, may_have_run{indeterminate_reason::already_claimed}});
    cancel_timer(*w.state_, c);
    c.wake_at_ = w.at_.now_ + control_resend_interval;
    schedule_timer(*w.state_, c);
    return w;
}

working_state
handle_outcome_response(working_state w, outcome_response const& r)
{
    auto const held = find_outcome_request(*w.state_, r.number_);
    if (held == w.state_->calls_.end())
        return w;
    return finish_waiting_call(std::move(w), held->first, r.verdict_);
}

working_state
answer_outcome(working_state w, outcome_request const& r, host_name const& from)
{
    state& s = *w.state_;
    auto const running = s.claims_.find(r.id_);
    if (running != s.claims_.end())
    {
        std::vector<waiter>& waiters = s.calls_.at(running->second).waiters_;
        waiter const asker = outcome_requester{from, r.number_};
        if (std::find(waiters.begin(), waiters.end(), asker) == waiters.end())
            waiters.push_back(asker);
        return w;
    }
    verdict v = may_have_run{indeterminate_reason::already_claimed};
    auto const recent = s.recent_verdicts_.find(r.id_);
    if (recent != s.recent_verdicts_.end())
        v = recent->second.verdict_;
    else if (s.pending_releases_.contains(r.id_))
        v = not_run{refusal_reason::cancelled, control_resend_interval};
    send_message(w, from, outcome_response{r.number_, std::move(v)});
    return w;
}

} // namespace jackdawhall::calls
