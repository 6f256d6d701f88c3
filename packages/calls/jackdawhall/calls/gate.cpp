// Gate of the local backend servers: admits or refuses forwarded calls, starts
// queued runs within the concurrency limit, and reports outcomes to the
// entries.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// Longest queue as a multiple of the concurrency limit, and its lower bound.
constexpr std::size_t queue_factor = 2;
constexpr std::size_t min_queue_length = 4;
// The local servers are reported as making no calls if they have had more runs
// than this per nested call since the daemon started.
constexpr std::uint64_t max_runs_per_call = 50;
constexpr duration threshold_window = std::chrono::milliseconds(100);
// A non-repeatable run may exceed its deadline by this long, so that its
// outcome becomes known.
constexpr duration outcome_grace_period = std::chrono::seconds(30);

// Longest time limit that a gate takes from a forward; longer ones are cut.
constexpr duration max_time_limit = std::chrono::hours(24);

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
    }
    if (run.entry_ != w.state_->settings_.self_)
        w.state_->forward_memory_ = keep_answer(
            std::move(w.state_->forward_memory_), {run.entry_, run.forward_}, a,
            run.deadline_, w.at_.now_);
    send_message(w, run.entry_, std::move(a));
}

// A queued run is refused this long before its deadline, or a fraction of its
// time limit if that is less, so that the refusal reaches the entry in time for
// it to report that the call has not run.
constexpr duration refusal_lead_time = std::chrono::milliseconds(50);
constexpr int refusal_lead_time_divisor = 8;

// When a queued run is refused, or a running one reaches its deadline, if it is
// not abandoned before.
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

bool is_abandoned(gate_run const& run, instant now)
{
    return run.abandoned_at_ && now >= *run.abandoned_at_;
}

void erase_run(state& s, gate_run const& run)
{
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
        line.fields_.emplace_back(
            "limit", std::to_string(concurrency_limit(server.limiter_)));
        line.fields_.emplace_back(
            "admitted_rank", std::to_string(server.admitted_));
    }
    w.effects_.push_back(std::move(line));
}

void refuse_run(working_state& w, call_number number, refusal_reason reason)
{
    log_refusal(w, w.state_->runs_.at(number), reason);
    gate_run const run = std::move(w.state_->runs_.at(number));
    erase_run(*w.state_, run);
    send_answer(w, run, not_run{reason, std::chrono::milliseconds(100)}, false);
}

gate_run make_run(
    state& s, host_name const& entry, forward_request const& f, instant now)
{
    gate_run run;
    run.number_ = next_number(s);
    run.entry_ = entry;
    run.forward_ = f.number_;
    run.server_id_ = f.server_id_;
    run.context_ = f.context_;
    run.suspect_ = f.suspect_;
    run.request_ = f.request_;
    run.created_at_ = now;
    run.deadline_ = now + std::min(f.context_.timeout_, max_time_limit);
    run.retries_left_ = f.context_.retries_;
    return run;
}

// Why a forward is refused at once; nullopt if it can be queued.
std::optional<refusal_reason>
find_refusal_reason(working_state const& w, forward_request const& f)
{
    state const& s = *w.state_;
    auto const known = s.local_servers_.find(f.server_id_);
    if (known == s.local_servers_.end() ||
        known->second.announcement_.service_ != f.service_)
        return refusal_reason::no_server;
    local_server const& server = known->second;
    if (s.stopping_since_ ||
        server.announcement_.state_ == server_state::draining)
        return refusal_reason::server_draining;
    if (crash_count(s.configuration_, f.suspect_, w.at_.wall_) >=
        quarantine_crash_threshold)
        return refusal_reason::quarantined;
    if (f.context_.timeout_ <= duration{0})
        return refusal_reason::deadline_passed;
    if (f.context_.rank_ > server.admitted_)
        return refusal_reason::shed_at_gate;
    return std::nullopt;
}

void start_run(working_state& w, local_server& server, call_number number)
{
    gate_run& run = w.state_->runs_.at(number);
    std::erase(server.queued_, number);
    server.running_.insert(number);
    w.state_->run_due_.erase({due_time(run), number});
    run.running_ = true;
    w.state_->run_due_.emplace(due_time(run), number);
    server.recent_runs_[run.context_.account_] += 1;
    run.started_at_ = w.at_.now_;
    w.effects_.push_back(
        observe_duration{stage::gate_queue, w.at_.now_ - run.created_at_});
    run.ticket_ = w.state_->random_.hex(16);
    w.state_->run_of_ticket_.emplace(run.ticket_, number);
    ++w.state_->counters_.runs_;
    duration const left = run.deadline_ - w.at_.now_;
    request sent = std::exchange(run.request_, {});
    sent.headers_ = remove_hop_by_hop_headers(sent.headers_);
    std::erase_if(
        sent.headers_,
        [](header const& field) { return field.name_ == request_id_header; });
    sent.headers_.push_back({request_id_header, run.context_.root_});
    sent.headers_.push_back({ticket_header, run.ticket_});
    sent.headers_.push_back(
        {timeout_header, std::to_string(left.count() / 1000)});
    w.effects_.push_back(run_on_backend{
        number, run.server_id_, server.announcement_.address_, std::move(sent),
        run.context_.repeatable_ ? left : left + outcome_grace_period,
        run.context_.account_, run.context_.caller_, run.context_.root_});
}

std::size_t max_queue_length(local_server const& server)
{
    return std::max(
        min_queue_length, concurrency_limit(server.limiter_) * queue_factor);
}

// Shedding lowers the admission threshold to the next more important rank than
// the one that was shed, at most once per window. Each window without shedding
// raises it by one rank.
void lower_threshold(local_server& server, rank shed, instant now)
{
    server.shed_ = true;
    if (now < server.window_ends_)
        return;
    rank const below = shed > 0 ? static_cast<rank>(shed - 1) : rank{0};
    server.admitted_ = std::min(server.admitted_, below);
    server.window_ends_ = now + threshold_window;
}

void raise_threshold(local_server& server, instant now)
{
    if (now < server.window_ends_)
        return;
    if (!server.shed_ && server.admitted_ < lowest_rank)
        ++server.admitted_;
    server.shed_ = false;
    server.window_ends_ = now + threshold_window;
}

void shed_excess(working_state& w, std::string const& server_id)
{
    local_server& server = w.state_->local_servers_.at(server_id);
    while (server.queued_.size() > max_queue_length(server))
    {
        call_number const number = select_run_to_shed(w, server);
        lower_threshold(
            server, w.state_->runs_.at(number).context_.rank_, w.at_.now_);
        refuse_run(w, number, refusal_reason::shed_at_gate);
    }
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

// Whether the forward was here before, or must not run: a frame may arrive late
// on a link that ended.
bool is_late_copy(state const& s, forward_key const& key)
{
    return s.run_of_forward_.contains(key) ||
           find_answer(s.forward_memory_, key) ||
           is_refused(s.forward_memory_, key);
}

// A cancellation may arrive before its forward, over another link.
working_state refuse_cancelled(working_state w, forward_key const& key)
{
    forward_memory& m = w.state_->forward_memory_;
    if (!find_answer(m, key) && !is_forgotten(m, key))
        m = refuse_forward(std::move(m), key, w.at_.now_);
    return w;
}

void log_late_copy(
    working_state& w, host_name const& entry, forward_request const& f)
{
    w.effects_.push_back(log_message{
        "late copy of a forward ignored",
        {{"request", f.context_.root_},
         {"server", f.server_id_},
         {"entry", entry.str()}}});
}

} // namespace

void set_abandoned(state& s, gate_run& run, std::optional<instant> at)
{
    s.run_due_.erase({due_time(run), run.number_});
    run.abandoned_at_ = at;
    s.run_due_.emplace(due_time(run), run.number_);
}

working_state
admit_forward(working_state w, host_name const& entry, forward_request const& f)
{
    if (is_late_copy(*w.state_, {entry, f.number_}))
    {
        log_late_copy(w, entry, f);
        return w;
    }
    if (is_forgotten(w.state_->forward_memory_, {entry, f.number_}))
    {
        log_late_copy(w, entry, f);
        forward_response a;
        a.number_ = f.number_;
        a.verdict_ = may_have_run{indeterminate_reason::peer_lost};
        send_message(w, entry, std::move(a));
        return w;
    }
    gate_run run = make_run(*w.state_, entry, f, w.at_.now_);
    if (std::optional<refusal_reason> const why = find_refusal_reason(w, f))
    {
        log_refusal(w, run, *why);
        send_answer(
            w, run, not_run{*why, std::chrono::milliseconds(100)}, false);
        return w;
    }
    state& s = *w.state_;
    s.local_servers_.at(f.server_id_).queued_.push_back(run.number_);
    s.run_due_.emplace(due_time(run), run.number_);
    s.run_of_forward_.emplace(std::pair{run.entry_, run.forward_}, run.number_);
    s.runs_.emplace(run.number_, std::move(run));
    w = start_runs(std::move(w), f.server_id_);
    shed_excess(w, f.server_id_);
    return w;
}

working_state start_runs(working_state w, std::string const& server_id)
{
    auto const known = w.state_->local_servers_.find(server_id);
    if (known == w.state_->local_servers_.end())
        return w;
    local_server& server = known->second;
    decay_recent_runs(server, w.at_.now_);
    raise_threshold(server, w.at_.now_);
    while (server.running_.size() < concurrency_limit(server.limiter_))
    {
        std::optional<call_number> const next = select_next_run(w, server);
        if (!next)
            break;
        if (w.at_.now_ >= due_time(w.state_->runs_.at(*next)))
            refuse_run(w, *next, refusal_reason::deadline_passed);
        else
            start_run(w, server, *next);
    }
    return w;
}

working_state finish_run(working_state w, run_finished const& done)
{
    state& s = *w.state_;
    auto const known = s.runs_.find(done.run_);
    if (known == s.runs_.end())
        return w;
    gate_run const run = std::move(known->second);
    auto const server = s.local_servers_.find(run.server_id_);
    bool const still_known = server != s.local_servers_.end();
    erase_run(s, run);
    w.effects_.push_back(
        observe_duration{stage::server, w.at_.now_ - run.started_at_});
    std::visit(
        overloaded{
            [&](answered const& a)
            {
                if (still_known)
                    update_limit(w, server->second, run);
                // A 503 of the server counts as shedding, unless a nested call
                // of the run failed, which may be its cause.
                bool const shed = a.answer_.status_ == 503 && !run.call_failed_;
                send_answer(w, run, ran{a.answer_}, shed);
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
                if (still_known && t.reason_ == refusal_reason::server_replaced)
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
                if (!still_known || run.cancelled_ ||
                    b.reason_ != indeterminate_reason::connection_lost)
                    return;
                server->second.broken_requests_.emplace_back(
                    w.at_.now_, run.suspect_);
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

working_state
remove_server(working_state w, std::string const& server_id, refusal_reason why)
{
    auto const known = w.state_->local_servers_.find(server_id);
    if (known == w.state_->local_servers_.end())
        return w;
    announcement const& last = known->second.announcement_;
    w.effects_.push_back(log_message{
        "backend server removed",
        {{"server", server_id},
         {"service", last.service_.str()},
         {"reason", std::string(to_text(why))},
         {"silent_ms",
          milliseconds_text(w.at_.now_ - known->second.last_heard_at_)},
         {"sequence", std::to_string(last.sequence_)},
         {"running", std::to_string(known->second.running_.size())},
         {"queued", std::to_string(known->second.queued_.size())}}});
    std::vector<call_number> const queued = known->second.queued_;
    for (call_number const number : queued)
        refuse_run(w, number, why);
    w.state_->local_servers_.erase(server_id);
    w.state_->control_.renewal_due_ = w.at_.now_;
    return w;
}

working_state handle_probe_result(working_state w, probe_result const& p)
{
    auto const known = w.state_->local_servers_.find(p.server_id_);
    if (known == w.state_->local_servers_.end())
        return w;
    local_server& server = known->second;
    server.probing_ = false;
    std::set<std::string> recent_suspects;
    for (auto const& [when, suspect] : server.broken_requests_)
    {
        if (w.at_.now_ - when <= crash_window)
            recent_suspects.insert(suspect);
    }
    server.broken_requests_.clear();
    if (p.alive_)
        return w;
    // If crashes are attributed to some of them already, only these are
    // reported.
    std::set<std::string> suspects;
    for (std::string const& suspect : recent_suspects)
    {
        if (crash_count(w.state_->configuration_, suspect, w.at_.wall_) > 0)
            suspects.insert(suspect);
    }
    if (suspects.empty())
        suspects = std::move(recent_suspects);
    if (!suspects.empty())
        send_message(
            w, leader_host(*w.state_),
            crash_report{
                w.state_->settings_.self_,
                p.server_id_,
                {suspects.begin(), suspects.end()}});
    return remove_server(
        std::move(w), p.server_id_, refusal_reason::connect_failed);
}

} // namespace jackdawhall::calls
