// A call that is tried elsewhere while an earlier forward of it is open, since
// the gate of that one doesn't report. Its server may be at work, so it is
// given up only for an answer: the first answer of the two wins, and when the
// other try ends without one the call waits for the earlier forward again.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>
#include <utility>

namespace jackdawhall::calls
{

namespace
{

// Whether `a` ends a call that has another forward open. A server that sheds
// the request refuses it.
bool is_final(forward_response const& a)
{
    return std::holds_alternative<ran>(a.verdict_) && !a.shed_;
}

// Counts a forward without a report as a failure of its server. It counts as in
// flight again when the call waits for it alone.
working_state record_no_report(working_state w, active_forward const& f)
{
    forward_response a;
    a.number_ = f.number_;
    a.verdict_ = may_have_run{indeterminate_reason::peer_lost};
    return record_server_outcome(std::move(w), f, a);
}

// A refusal says nothing of an earlier try that may have run.
verdict verdict_of_all_tries(entry_call const& c, verdict last)
{
    if (c.lost_tries_ > 0 && std::holds_alternative<not_run>(last))
        return may_have_run{indeterminate_reason::peer_lost};
    return last;
}

void log_waits_again(working_state& w, entry_call const& c)
{
    w.effects_.push_back(log_message{
        "other try ended; waiting for the earlier forward again",
        {{"request", c.context_.root_},
         {"gate", c.forward_->server_.host_.str()},
         {"server", c.forward_->server_.id_},
         {"left_ms", milliseconds_text(c.deadline_ - w.at_.now_)}}});
}

// Its gate is asked at once if it has not reported.
working_state wait_again(working_state w, entry_call c)
{
    state& s = *w.state_;
    c.forward_ = std::exchange(c.earlier_forward_, std::nullopt);
    ++s.server_stats_[key_of(c.forward_->server_)].in_flight_;
    c.tried_servers_.push_back(key_of(c.forward_->server_));
    c.wake_at_.reset();
    if (c.forward_->unreported_since_)
        c.wake_at_ = w.at_.now_;
    log_waits_again(w, c);
    schedule_timer(s, c);
    call_number const number = c.number_;
    s.calls_.insert_or_assign(number, std::move(c));
    return w;
}

// The other try of a call is abandoned, for the answer of the earlier one.
void cancel_other(working_state& w, entry_call& c)
{
    if (!c.forward_)
        return;
    active_forward const f = *std::exchange(c.forward_, std::nullopt);
    server_stats& e = w.state_->server_stats_[key_of(f.server_)];
    e.in_flight_ -= e.in_flight_ > 0 ? 1 : 0;
    w.state_->call_of_forward_.erase(f.number_);
    cancel_at_gate(w, f.server_.host_, f.number_);
}

} // namespace

working_state try_elsewhere(working_state w, call_number call)
{
    state& s = *w.state_;
    entry_call c = std::move(s.calls_.at(call));
    cancel_timer(s, c);
    s.calls_.erase(call);
    c.wake_at_.reset();
    c.earlier_forward_ = std::exchange(c.forward_, std::nullopt);
    w = record_no_report(std::move(w), *c.earlier_forward_);
    ++c.servers_reached_;
    return retry_call(
        std::move(w), std::move(c), retry_reason::repeatable_lost,
        may_have_run{indeterminate_reason::peer_lost});
}

void cancel_earlier(working_state& w, entry_call& c)
{
    if (!c.earlier_forward_)
        return;
    active_forward const f = *std::exchange(c.earlier_forward_, std::nullopt);
    w.state_->call_of_forward_.erase(f.number_);
    cancel_at_gate(w, f.server_.host_, f.number_);
}

working_state
finish_or_wait_again(working_state w, entry_call c, forward_response a)
{
    if (c.earlier_forward_ && !is_final(a))
        return wait_again(std::move(w), std::move(c));
    cancel_earlier(w, c);
    verdict v = verdict_of_all_tries(c, std::move(a.verdict_));
    return finish_call(std::move(w), std::move(c), std::move(v));
}

bool is_earlier(state const& s, call_number forward)
{
    auto const known = s.call_of_forward_.find(forward);
    if (known == s.call_of_forward_.end())
        return false;
    std::optional<active_forward> const& earlier =
        s.calls_.at(known->second).earlier_forward_;
    return earlier && earlier->number_ == forward;
}

working_state end_earlier(working_state w, forward_response a)
{
    state& s = *w.state_;
    auto const known = s.call_of_forward_.find(a.number_);
    entry_call& open = s.calls_.at(known->second);
    s.call_of_forward_.erase(known);
    active_forward const f =
        *std::exchange(open.earlier_forward_, std::nullopt);
    open.retries_left_ += std::min(a.retries_unused_, f.delegated_retries_);
    if (!is_final(a))
    {
        if (!may_have_reached_server(a.verdict_))
        {
            --open.servers_reached_;
            --open.lost_tries_;
        }
        return w;
    }
    entry_call c = std::move(open);
    cancel_timer(s, c);
    s.calls_.erase(c.number_);
    cancel_other(w, c);
    c.tried_servers_.push_back(key_of(f.server_));
    return finish_call(std::move(w), std::move(c), std::move(a.verdict_));
}

} // namespace jackdawhall::calls
