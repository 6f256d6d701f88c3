// Ends runs: by their outcome, by cancellation, and when they are due.
#include <jackdawhall/calls/gate_run.hpp>

namespace jackdawhall::calls
{

namespace
{

bool is_abandoned(gate_run const& run, instant now)
{
    return run.abandoned_at_ && now >= *run.abandoned_at_;
}

// Latency of the server itself: the time of a run without that of its nested
// calls.
duration latency_without_calls(gate_run const& run, instant now)
{
    duration const called =
        run.time_in_calls_ +
        (run.calls_in_progress_ > 0 ? now - run.calling_since_ : duration{0});
    return std::max(duration{0}, now - run.started_at_ - called);
}

void probe(working_state& w, local_server& server)
{
    if (server.probing_)
        return;
    server.probing_ = true;
    w.effects_.push_back(
        probe_server{server.announcement_.id_, server.announcement_.address_});
}

// Called after `run` was erased, so the runs in progress do not include it.
void update_limit(
    working_state const& w, local_server& server, gate_run const& run)
{
    std::visit(
        overloaded{
            [&](adaptive_limit const&)
            {
                server.limiter_ = record_latency(
                    server.limiter_, latency_without_calls(run, w.at_.now_),
                    server.running_.size() + 1, w.at_.now_);
            },
            [](announced_slots const&) {},
        },
        w.state_->settings_.admission_);
}

// Whether a connection may have broken because the server crashed, before its
// answer or within it.
bool may_be_crash(indeterminate_reason reason)
{
    return reason == indeterminate_reason::connection_lost ||
           reason == indeterminate_reason::answer_incomplete;
}

// Whether a run ended by a fault of the server itself; nullopt if this cannot
// be told.
std::optional<bool>
failed_at_server(gate_run const& run, backend_outcome const& outcome)
{
    constexpr std::uint16_t first_server_error = 500;
    return std::visit(
        overloaded{
            [&](answered const& a) -> std::optional<bool>
            {
                bool const error = a.answer_.status_ >= first_server_error;
                if (error && run.call_failed_)
                    return std::nullopt;
                return error;
            },
            [](not_connected const&) -> std::optional<bool> { return true; },
            [](backend_refused const& r) -> std::optional<bool>
            {
                if (r.reason_ == refusal_reason::server_replaced)
                    return std::nullopt;
                return true;
            },
            [&](connection_broken const& b) -> std::optional<bool>
            {
                if (run.cancelled_ || !may_be_crash(b.reason_))
                    return std::nullopt;
                return true;
            },
        },
        outcome);
}

bool broke_off(gate_run const& run, backend_outcome const& outcome)
{
    connection_broken const* b = std::get_if<connection_broken>(&outcome);
    return b && !run.cancelled_ && may_be_crash(b->reason_);
}

// Whether the time of a run is over, as its entry saw it: its cancellation is
// under way for a moment.
bool is_overdue(gate_run const& run, instant now)
{
    constexpr duration cancellation_time = std::chrono::milliseconds(50);
    return now + cancellation_time >= run.deadline_;
}

void update_run_statistics(
    local_server& server, gate_run const& run, backend_outcome const& outcome,
    instant now)
{
    std::optional<bool> const failed = failed_at_server(run, outcome);
    if (!failed && !(run.cancelled_ && is_overdue(run, now)))
        return;
    server.run_statistics_ = record_run(
        server.run_statistics_,
        {failed.value_or(false), latency_without_calls(run, now)}, now);
}

// Cancels a run in progress if it is repeatable; others go on, since their
// outcome must become known.
void cancel_if_repeatable(
    working_state& w, gate_run& run, std::string_view reason)
{
    if (!run.context_.repeatable_ || run.cancelled_)
        return;
    run.cancelled_ = true;
    w.effects_.push_back(cancel_run{run.number_});
    w.effects_.push_back(log_message{
        "run cancelled",
        {{"request", run.context_.root_},
         {"server", run.server_id_},
         {"entry", run.entry_.str()},
         {"reason", std::string(reason)},
         {"took_ms", milliseconds_text(w.at_.now_ - run.created_at_)},
         {"left_ms", milliseconds_text(run.deadline_ - w.at_.now_)}}});
}

// Drops a queued run, which its entry does not wait for.
void drop_queued(working_state& w, gate_run& run)
{
    gate_run const dropped = std::move(run);
    erase_run(*w.state_, dropped);
}

void end_run(working_state& w, gate_run& run, std::string_view reason)
{
    if (run.running_)
        cancel_if_repeatable(w, run, reason);
    else
        drop_queued(w, run);
}

// A cancellation may arrive before its forward, over another link.
working_state refuse_cancelled(working_state w, forward_key const& key)
{
    forward_memory& m = w.state_->forward_memory_;
    if (!find_answer(m, key) && !is_forgotten(m, key))
        m = refuse_forward(std::move(m), key, w.at_.now_);
    return w;
}

} // namespace

working_state finish_run(working_state w, run_finished done)
{
    state& s = *w.state_;
    auto const known = s.runs_.find(done.run_);
    if (known == s.runs_.end())
        return w;
    gate_run const run = std::move(known->second);
    bool const at_ended_server =
        note_end_of_run(w, run, broke_off(run, done.outcome_));
    auto const server = s.local_servers_.find(run.server_id_);
    bool const still_known =
        !at_ended_server && server != s.local_servers_.end();
    erase_run(s, run);
    w.effects_.push_back(
        observe_duration{stage::server, w.at_.now_ - run.started_at_});
    if (still_known)
        update_run_statistics(server->second, run, done.outcome_, w.at_.now_);
    std::visit(
        overloaded{
            [&](answered& a)
            {
                if (still_known)
                    update_limit(w, server->second, run);
                note_completion(w, run, a.answer_);
                // A 503 of the server counts as shedding, unless a nested call
                // of the run failed, which may be its cause.
                bool const shed = a.answer_.status_ == 503 && !run.call_failed_;
                send_answer(w, run, ran{std::move(a.answer_)}, shed);
            },
            [&](not_connected const& n)
            {
                send_answer(
                    w, run, not_run{refusal_reason::connect_failed}, false);
                if (still_known && n.server_failed_)
                    probe(w, server->second);
            },
            [&](backend_refused const& t)
            {
                send_answer(w, run, not_run{t.reason_}, false);
                if (still_known &&
                    t.reason_ == refusal_reason::server_replaced &&
                    run.started_at_ >= server->second.first_heard_at_)
                    w = remove_server(
                        std::move(w), run.server_id_,
                        refusal_reason::server_replaced);
            },
            [&](connection_broken const& b)
            {
                indeterminate_reason const reason =
                    run.cancelled_ ? indeterminate_reason::cancelled
                                   : b.reason_;
                send_answer(w, run, may_have_run{reason}, false);
                if (!still_known || !broke_off(run, done.outcome_))
                    return;
                server->second.broken_requests_.emplace_back(
                    w.at_.now_, run.suspect_);
                // A server that cuts answers short mostly goes on: whether it
                // has ended, the next connection shows.
                if (b.reason_ == indeterminate_reason::connection_lost)
                    probe(w, server->second);
            },
        },
        done.outcome_);
    return start_runs(std::move(w), run.server_id_);
}

working_state handle_cancellation(
    working_state w, host_name const& entry, call_number forward)
{
    auto const known = w.state_->run_of_forward_.find({entry, forward});
    if (known == w.state_->run_of_forward_.end())
        return refuse_cancelled(std::move(w), {entry, forward});
    end_run(w, w.state_->runs_.at(known->second), "cancelled by the entry");
    return w;
}

working_state expire_runs(working_state w)
{
    state& s = *w.state_;
    while (!s.run_due_.empty() && s.run_due_.begin()->first <= w.at_.now_)
    {
        call_number const number = s.run_due_.begin()->second;
        gate_run& run = s.runs_.at(number);
        bool const abandoned = is_abandoned(run, w.at_.now_);
        if (!run.running_ && !abandoned)
        {
            refuse_run(w, number, refusal_reason::deadline_passed);
            continue;
        }
        s.run_due_.erase(s.run_due_.begin());
        end_run(w, run, abandoned ? "entry out of reach" : "deadline passed");
    }
    return w;
}

} // namespace jackdawhall::calls
