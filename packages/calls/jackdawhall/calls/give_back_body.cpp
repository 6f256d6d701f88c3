// What a call does when its daemon holds too much for others: its body is given
// back. One that waits for a gate needs it only for another try, and goes on
// without; one that was not forwarded is refused.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <utility>

namespace jackdawhall::calls
{

namespace
{

bool needs_body(entry_call const& c)
{
    return !c.forward_ && !c.earlier_forward_ && !c.outcome_request_;
}

verdict verdict_without_body(entry_call const& c)
{
    if (possibly_ran(c))
        return may_have_run{indeterminate_reason::cancelled};
    return not_run{refusal_reason::overloaded};
}

void log_given_back(working_state& w, entry_call const& c)
{
    w.effects_.push_back(log_message{
        "body of a request given back",
        {{"request", c.context_.root_},
         {"service", c.service_.str()},
         {"bytes", std::to_string(c.request_.body_.size())},
         {"goes_on", needs_body(c) ? "no" : "yes"}}});
}

} // namespace

working_state give_back_body(working_state w, give_back_request const& asked)
{
    state& s = *w.state_;
    auto const known = s.call_of_caller_.find(asked.number_);
    if (known == s.call_of_caller_.end())
        return w;
    auto const held = s.calls_.find(known->second);
    if (held == s.calls_.end())
        return w;
    log_given_back(w, held->second);
    if (!needs_body(held->second))
    {
        held->second.request_.body_ = {};
        held->second.body_given_back_ = true;
        return w;
    }
    entry_call c = std::move(held->second);
    cancel_timer(s, c);
    s.calls_.erase(held);
    verdict const v = verdict_without_body(c);
    return finish_call(std::move(w), std::move(c), v);
}

} // namespace jackdawhall::calls
