// Graceful shutdown of a call node: its begin, which calls it still takes, and
// when its work is done.
#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr duration stopping_retry_after = std::chrono::seconds(1);
// A nested call may seem to end this much later than its run, by the time that
// both were on their way.
constexpr duration nested_call_slack = std::chrono::milliseconds(100);
// After the drain period, for what was answered at its end.
constexpr duration delivery_period = std::chrono::milliseconds(200);

// The shutdown is announced to the control hosts within one renewal interval.
duration min_length(state const& s)
{
    return std::max(
        s.settings_.renewal_interval_,
        s.settings_.shutdown_periods_.accept_period_);
}

bool accepts_new_calls(state const& s, instant now)
{
    return !s.stopping_since_ ||
           now < *s.stopping_since_ +
                     s.settings_.shutdown_periods_.accept_period_;
}

// Backend servers make the calls of a run with its ticket, or on open routes,
// which callers may use too: such a call must end with a run in progress, and
// within the drain period.
bool may_be_nested(state const& s, entry_call const& c)
{
    if (c.parent_)
        return true;
    return c.open_ && c.deadline_ <= drained_by(s) &&
           std::any_of(
               s.runs_.begin(), s.runs_.end(),
               [&](auto const& run)
               {
                   return run.second.running_ &&
                          c.deadline_ <=
                              run.second.deadline_ + nested_call_slack;
               });
}

bool has_work(state const& s)
{
    return !s.calls_.empty() || !s.runs_.empty() ||
           !s.pending_releases_.empty();
}

verdict verdict_when_given_up(entry_call const& c)
{
    if (possibly_ran(c))
        return may_have_run{indeterminate_reason::cancelled};
    return not_run{refusal_reason::stopping, stopping_retry_after};
}

void log_given_up(working_state& w, entry_call const& c)
{
    w.effects_.push_back(log_message{
        "call given up at the end of the drain period",
        {{"request", c.context_.root_},
         {"service", c.service_.str()},
         {"server", c.forward_ ? c.forward_->server_.id_ : std::string{}},
         {"took_ms", milliseconds_text(w.at_.now_ - c.created_at_)},
         {"left_ms", milliseconds_text(c.deadline_ - w.at_.now_)}}});
}

working_state give_up_calls(working_state w)
{
    while (!w.state_->calls_.empty())
    {
        state& s = *w.state_;
        entry_call c = std::move(s.calls_.begin()->second);
        cancel_timer(s, c);
        s.calls_.erase(s.calls_.begin());
        if (c.forward_)
            s.call_of_forward_.erase(c.forward_->number_);
        if (c.earlier_forward_)
            s.call_of_forward_.erase(c.earlier_forward_->number_);
        log_given_up(w, c);
        verdict v = verdict_when_given_up(c);
        w = finish_call(std::move(w), std::move(c), std::move(v));
    }
    return w;
}

// Queued runs have not run: their entries may try elsewhere.
void refuse_queued_runs(working_state& w)
{
    std::vector<call_number> queued;
    for (auto const& [number, run] : w.state_->runs_)
    {
        if (!run.running_)
            queued.push_back(number);
    }
    for (call_number const number : queued)
        refuse_run(w, number, refusal_reason::stopping);
}

void log_runs_given_up(working_state& w)
{
    for (auto const& [number, run] : w.state_->runs_)
        w.effects_.push_back(log_message{
            "run given up at the end of the drain period",
            {{"request", run.context_.root_},
             {"server", run.server_id_},
             {"entry", run.entry_.str()},
             {"running", run.running_ ? "yes" : "no"},
             {"took_ms", milliseconds_text(w.at_.now_ - run.created_at_)},
             {"left_ms", milliseconds_text(run.deadline_ - w.at_.now_)}}});
}

} // namespace

pipeline_context check_shutdown(pipeline_context p)
{
    if (accepts_new_calls(*p.state_, p.at_.now_) ||
        may_be_nested(*p.state_, p.call_))
        return p;
    return refuse(std::move(p), refusal_reason::stopping, stopping_retry_after);
}

working_state begin_stop(working_state w)
{
    if (w.state_->stopping_since_)
        return w;
    w.state_->stopping_since_ = w.at_.now_;
    w.state_->control_.renewal_due_ = w.at_.now_;
    w.effects_.push_back(log_message{
        "shutdown started",
        {{"calls", std::to_string(w.state_->calls_.size())},
         {"runs", std::to_string(w.state_->runs_.size())}}});
    return w;
}

instant drained_by(state const& s)
{
    return *s.stopping_since_ + s.settings_.shutdown_periods_.drain_period_;
}

instant stop_due(state const& s)
{
    return *s.stopping_since_ +
           (has_work(s) ? s.settings_.shutdown_periods_.drain_period_
                        : min_length(s));
}

working_state finish_stop(working_state w)
{
    state& s = *w.state_;
    if (!s.stopping_since_ || s.stopped_)
        return w;
    shutdown_periods const& times = s.settings_.shutdown_periods_;
    instant const deliver_by =
        *s.stopping_since_ + times.drain_period_ + delivery_period;
    duration const since = w.at_.now_ - *s.stopping_since_;
    bool const late = since >= times.drain_period_;
    if (!late && (since < min_length(s) || has_work(s)))
        return w;
    s.stopped_ = true;
    w.effects_.push_back(log_message{
        late ? "drain period over" : "all work finished",
        {{"calls", std::to_string(s.calls_.size())},
         {"runs", std::to_string(s.runs_.size())},
         {"after_ms", milliseconds_text(since)}}});
    refuse_queued_runs(w);
    log_runs_given_up(w);
    w = give_up_calls(std::move(w));
    w.effects_.push_back(stopped{deliver_by});
    return w;
}

} // namespace jackdawhall::calls
