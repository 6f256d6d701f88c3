#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// The local servers are reported as making no calls if they have had more runs
// than this per nested call since the daemon started.
constexpr std::uint64_t max_runs_per_call = 50;

// A queued run is refused this long before its deadline, or a fraction of its
// time limit if that is less, so that the refusal reaches the entry in time for
// it to report that the call has not run.
constexpr duration refusal_lead_time = std::chrono::milliseconds(50);
constexpr int refusal_lead_time_divisor = 8;

// Notes that a queued run for a call of a run in progress is refused for want
// of a slot.
void note_refusal(
    state& s, gate_run const& run, refusal_reason reason, instant now)
{
    auto const server = s.local_servers_.find(run.server_id_);
    bool const wanted_slot = reason == refusal_reason::shed_at_gate ||
                             reason == refusal_reason::deadline_passed;
    if (server == s.local_servers_.end() || !wanted_slot ||
        !serves_run_in_progress(run))
        return;
    local_server& at = server->second;
    at.new_work_share_ = record_call(at.new_work_share_, true, now);
}

} // namespace

bool serves_run_in_progress(gate_run const& run)
{
    return run.context_.depth_ > 0 || run.context_.account_.empty();
}

instant due_time(gate_run const& run)
{
    duration const time = run.deadline_ - run.created_at_;
    duration const lead =
        run.running_
            ? duration{0}
            : std::min(refusal_lead_time, time / refusal_lead_time_divisor);
    return std::min(
        run.deadline_ - lead, run.abandoned_at_.value_or(instant::max()));
}

void erase_run(state& s, gate_run const& run)
{
    s.queued_bytes_ -= run.request_.body_.size(); // empty once it has started
    s.run_due_.erase({due_time(run), run.number_});
    s.run_of_forward_.erase({run.entry_, run.forward_});
    if (!run.ticket_.empty())
        s.run_of_ticket_.erase(run.ticket_);
    auto const server = s.local_servers_.find(run.server_id_);
    if (server != s.local_servers_.end())
    {
        server->second.running_.erase(run.number_);
        std::erase(server->second.queued_, run.number_);
    }
    s.runs_.erase(run.number_);
}

void send_answer(working_state& w, gate_run const& run, verdict v, bool shed)
{
    forward_response a;
    a.number_ = run.forward_;
    a.verdict_ = std::move(v);
    a.retries_unused_ = run.retries_left_;
    a.shed_ = shed;
    a.time_at_gate_ = w.at_.now_ - run.created_at_;
    a.makes_calls_ = w.state_->local_server_calls_ * max_runs_per_call >=
                     w.state_->counters_.runs_;
    auto const known = w.state_->local_servers_.find(run.server_id_);
    if (known != w.state_->local_servers_.end())
    {
        local_server const& server = known->second;
        a.admitted_ = server.admitted_;
        a.in_use_ = static_cast<std::uint32_t>(
            server.running_.size() + server.queued_.size());
        a.limit_ =
            static_cast<std::uint32_t>(concurrency_limit(server.limiter_));
        a.failures_per_thousand_ =
            failures_per_thousand(server.run_statistics_);
        a.mean_run_time_ = mean_run_time(server.run_statistics_);
    }
    if (run.entry_ != w.state_->settings_.self_)
        w.state_->forward_memory_ = keep_answer(
            std::move(w.state_->forward_memory_), {run.entry_, run.forward_}, a,
            run.deadline_, w.at_.now_);
    send_message(w, run.entry_, std::move(a));
}

void log_refusal(working_state& w, gate_run const& run, refusal_reason reason)
{
    log_message line{
        "run refused",
        {{"request", run.context_.root_},
         {"server", run.server_id_},
         {"reason", std::string(to_text(reason))},
         {"entry", run.entry_.str()},
         {"rank", std::to_string(run.context_.rank_)},
         {"waited_ms", milliseconds_text(w.at_.now_ - run.created_at_)},
         {"left_ms", milliseconds_text(run.deadline_ - w.at_.now_)}}};
    auto const known = w.state_->local_servers_.find(run.server_id_);
    if (known != w.state_->local_servers_.end())
    {
        local_server const& server = known->second;
        line.fields_.emplace_back(
            "running", std::to_string(server.running_.size()));
        line.fields_.emplace_back(
            "queued", std::to_string(server.queued_.size()));
        std::size_t const limit = concurrency_limit(server.limiter_);
        line.fields_.emplace_back("limit", std::to_string(limit));
        line.fields_.emplace_back(
            "new_work_limit", std::to_string(max_new_runs(
                                  server.new_work_share_, limit, w.at_.now_)));
        line.fields_.emplace_back(
            "admitted_rank", std::to_string(server.admitted_));
    }
    w.effects_.push_back(std::move(line));
}

void refuse_run(working_state& w, call_number number, refusal_reason reason)
{
    log_refusal(w, w.state_->runs_.at(number), reason);
    note_refusal(*w.state_, w.state_->runs_.at(number), reason, w.at_.now_);
    gate_run const run = std::move(w.state_->runs_.at(number));
    erase_run(*w.state_, run);
    send_answer(w, run, not_run{reason, std::chrono::milliseconds(100)}, false);
}

void set_abandoned(state& s, gate_run& run, std::optional<instant> at)
{
    s.run_due_.erase({due_time(run), run.number_});
    run.abandoned_at_ = at;
    s.run_due_.emplace(due_time(run), run.number_);
}

} // namespace jackdawhall::calls
