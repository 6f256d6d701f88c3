// The end of a forward at its entry: by its answer, or without one. Retries the
// call or finishes it.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// Index of the first filter of a retry.
constexpr std::size_t retry_filter_index = 12; // choose_server

void log_retry(working_state& w, entry_call const& c, retry_reason why)
{
    w.effects_.push_back(log_message{
        "request retried",
        {{"request", c.context_.root_},
         {"reason", std::string(to_text(why))},
         {"service", c.service_.str()},
         {"server", c.tried_servers_.back().second},
         {"tries", std::to_string(c.tries_)},
         {"reached", std::to_string(c.servers_reached_)},
         {"left_ms", milliseconds_text(c.deadline_ - w.at_.now_)}}});
}

// A call whose forward has ended.
struct ended_forward
{
    entry_call call_;
    active_forward forward_;
};

// Takes the call out of the state; nullopt if it is finished already.
std::optional<ended_forward> take_forward(state& s, call_number forward)
{
    auto const known = s.call_of_forward_.find(forward);
    if (known == s.call_of_forward_.end())
        return std::nullopt;
    entry_call c = std::move(s.calls_.at(known->second));
    cancel_timer(s, c);
    s.calls_.erase(c.number_);
    s.call_of_forward_.erase(known);
    c.wake_at_.reset();
    active_forward f = *std::exchange(c.forward_, std::nullopt);
    return ended_forward{std::move(c), std::move(f)};
}

working_state
retry_or_finish(working_state w, ended_forward ended, forward_response a)
{
    state& s = *w.state_;
    entry_call c = std::move(ended.call_);
    c.retries_left_ +=
        std::min(a.retries_unused_, ended.forward_.delegated_retries_);
    c.servers_reached_ += may_have_reached_server(a.verdict_) ? 1 : 0;
    std::optional<retry_reason> const again =
        decide_retry(s, c, a.verdict_, a.shed_, w.at_.now_);
    if (!again)
        return finish_or_wait_again(std::move(w), std::move(c), std::move(a));
    return retry_call(std::move(w), std::move(c), *again, a.verdict_);
}

} // namespace

working_state
retry_call(working_state w, entry_call c, retry_reason why, verdict const& v)
{
    state& s = *w.state_;
    ++s.counters_.retries_[static_cast<std::size_t>(why)];
    log_retry(w, c, why);
    c = charge_retry(s, std::move(c), v);
    c.lost_tries_ += std::holds_alternative<may_have_run>(v) ? 1 : 0;
    c.next_filter_ = retry_filter_index;
    return run_filters(std::move(w), std::move(c));
}

working_state handle_forward_response(working_state w, forward_response a)
{
    if (is_earlier(*w.state_, a.number_))
        return end_earlier(std::move(w), std::move(a));
    std::optional<ended_forward> ended = take_forward(*w.state_, a.number_);
    if (!ended)
        return w;
    w = record_server_outcome(std::move(w), ended->forward_, a);
    return retry_or_finish(std::move(w), std::move(*ended), std::move(a));
}

working_state lose_forward(working_state w, call_number forward)
{
    forward_response a;
    a.number_ = forward;
    a.verdict_ = may_have_run{indeterminate_reason::peer_lost};
    return handle_forward_response(std::move(w), std::move(a));
}

working_state withdraw_forward(working_state w, call_number forward)
{
    forward_response a;
    a.number_ = forward;
    a.verdict_ = not_run{refusal_reason::connect_failed};
    if (is_earlier(*w.state_, forward))
        return end_earlier(std::move(w), std::move(a));
    std::optional<ended_forward> ended = take_forward(*w.state_, forward);
    if (!ended)
        return w;
    server_stats& e = w.state_->server_stats_[key_of(ended->forward_.server_)];
    e.in_flight_ -= e.in_flight_ > 0 ? 1 : 0;
    a.retries_unused_ = ended->forward_.delegated_retries_;
    return retry_or_finish(std::move(w), std::move(*ended), std::move(a));
}

} // namespace jackdawhall::calls
