// Graceful shutdown of a call node: its begin, and when its work is done.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

bool has_work(state const& s)
{
    return !s.calls_.empty() || !s.runs_.empty() ||
           !s.pending_releases_.empty();
}

void log_calls_given_up(working_state& w)
{
    for (auto const& [number, call] : w.state_->calls_)
        w.effects_.push_back(log_message{
            "call given up at the end of the drain period",
            {{"request", call.context_.root_},
             {"service", call.service_.str()},
             {"server",
              call.forward_ ? call.forward_->server_.id_ : std::string{}},
             {"took_ms", milliseconds_text(w.at_.now_ - call.created_at_)},
             {"left_ms", milliseconds_text(call.deadline_ - w.at_.now_)}}});
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

working_state finish_stop(working_state w)
{
    state& s = *w.state_;
    if (!s.stopping_since_ || s.stopped_)
        return w;
    shutdown_periods const& times = s.settings_.shutdown_periods_;
    duration const since = w.at_.now_ - *s.stopping_since_;
    bool const late = since >= times.drain_period_;
    bool const announced =
        since >= std::max(s.settings_.renewal_interval_, times.accept_period_);
    if (!late && (!announced || has_work(s)))
        return w;
    s.stopped_ = true;
    w.effects_.push_back(log_message{
        late ? "drain period over" : "all work finished",
        {{"calls", std::to_string(s.calls_.size())},
         {"runs", std::to_string(s.runs_.size())},
         {"after_ms", milliseconds_text(since)}}});
    log_calls_given_up(w);
    log_runs_given_up(w);
    w.effects_.push_back(stopped{*s.stopping_since_ + times.drain_period_});
    return w;
}

} // namespace jackdawhall::calls
