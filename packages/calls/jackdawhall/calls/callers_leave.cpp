// Callers that leave, or may have left, before they are answered. A connection
// that broke says that its caller left. A caller that only finished sending may
// have closed its connection or wait for its answer: work that may be repeated
// ends at once and the caller is told so, other work goes on for its answer.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

void log_caller_left(
    working_state& w, entry_call const& c, std::string_view sentence)
{
    w.effects_.push_back(log_message{
        std::string(sentence),
        {{"request", c.context_.root_},
         {"service", c.service_.str()},
         {"server", c.tried_servers_.empty() ? std::string{}
                                             : c.tried_servers_.back().second},
         {"tries", std::to_string(c.tries_)},
         {"took_ms", milliseconds_text(w.at_.now_ - c.created_at_)}}});
}

// Whether somebody waits for the call who has not finished sending.
bool is_awaited(entry_call const& c)
{
    return std::any_of(
        c.waiters_.begin(), c.waiters_.end(),
        [](waiter const& who)
        {
            http_caller const* caller = std::get_if<http_caller>(&who);
            return !caller || !caller->finished_;
        });
}

bool must_go_on(entry_call const& c)
{
    if (is_awaited(c))
        return true;
    // A resend may request the outcome later.
    if (c.forward_ && !c.context_.repeatable_)
        return true;
    // The work is that of another run; this call only asks for its outcome.
    return c.outcome_request_ && !c.waiters_.empty();
}

verdict verdict_when_left(entry_call const& c)
{
    if (possibly_ran(c))
        return may_have_run{indeterminate_reason::cancelled};
    return not_run{refusal_reason::cancelled};
}

void cancel_forward_of(working_state& w, entry_call& c)
{
    active_forward const f = *std::exchange(c.forward_, std::nullopt);
    w.state_->call_of_forward_.erase(f.number_);
    --w.state_->server_stats_[key_of(f.server_)].in_flight_;
    cancel_at_gate(w, f.server_.host_, f.number_);
}

working_state end_unless_needed(
    working_state w, call_number number, std::string_view sentence)
{
    state& s = *w.state_;
    auto const held = s.calls_.find(number);
    if (must_go_on(held->second))
        return w;
    entry_call c = std::move(held->second);
    cancel_timer(s, c);
    s.calls_.erase(held);
    verdict v = verdict_when_left(c);
    if (c.forward_)
        cancel_forward_of(w, c);
    cancel_earlier(w, c);
    log_caller_left(w, c, sentence);
    return finish_call(std::move(w), std::move(c), std::move(v));
}

// The call that a caller waits for, or nullptr.
entry_call* find_call_of(state& s, std::uint64_t caller)
{
    auto const known = s.call_of_caller_.find(caller);
    if (known == s.call_of_caller_.end())
        return nullptr;
    auto const held = s.calls_.find(known->second);
    return held == s.calls_.end() ? nullptr : &held->second;
}

bool is_caller(waiter const& who, std::uint64_t number)
{
    http_caller const* caller = std::get_if<http_caller>(&who);
    return caller && caller->number_ == number;
}

} // namespace

working_state
handle_caller_disconnected(working_state w, caller_disconnected const& left)
{
    state& s = *w.state_;
    entry_call* const c = find_call_of(s, left.number_);
    s.call_of_caller_.erase(left.number_);
    if (!c)
        return w;
    std::erase_if(
        c->waiters_,
        [&](waiter const& who) { return is_caller(who, left.number_); });
    call_number const call = c->number_;
    return end_unless_needed(std::move(w), call, "caller disconnected");
}

working_state
handle_caller_finished(working_state w, caller_finished const& done)
{
    entry_call* const c = find_call_of(*w.state_, done.number_);
    if (!c)
        return w;
    std::replace_if(
        c->waiters_.begin(), c->waiters_.end(),
        [&](waiter const& who) { return is_caller(who, done.number_); },
        waiter{http_caller{done.number_, true}});
    call_number const call = c->number_;
    return end_unless_needed(std::move(w), call, "caller finished sending");
}

} // namespace jackdawhall::calls
