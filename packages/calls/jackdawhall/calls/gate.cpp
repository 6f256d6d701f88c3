// Gate of the local backend servers: admits or refuses forwarded calls, and
// starts queued runs within the concurrency limit.
#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// Longest queue as a multiple of the concurrency limit, and its lower bound.
constexpr std::size_t queue_factor = 2;
constexpr std::size_t min_queue_length = 4;
constexpr duration threshold_window = std::chrono::milliseconds(100);
// A non-repeatable run may exceed its deadline by this long, so that its
// outcome becomes known.
constexpr duration outcome_grace_period = std::chrono::seconds(30);

// Longest time limit that a gate takes from a forward; longer ones are cut.
constexpr duration max_time_limit = std::chrono::hours(24);

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

// Notes how long a call of a run in progress waited for its slot.
void note_wait(local_server& server, gate_run const& run, instant now)
{
    if (!serves_run_in_progress(run))
        return;
    bool const waited_long =
        is_long_wait(now - run.created_at_, run.deadline_ - run.created_at_);
    server.new_work_share_ =
        record_call(server.new_work_share_, waited_long, now);
}

void start_run(working_state& w, local_server& server, call_number number)
{
    gate_run& run = w.state_->runs_.at(number);
    note_wait(server, run, w.at_.now_);
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
    w.state_->queued_bytes_ -= run.request_.body_.size();
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
        run.context_.account_, run.context_.caller_, run.context_.root_,
        run.context_.repeatable_});
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

// Whether the forward was here before, or must not run: a frame may arrive late
// on a link that ended.
bool is_late_copy(state const& s, forward_key const& key)
{
    return s.run_of_forward_.contains(key) ||
           find_answer(s.forward_memory_, key) ||
           is_refused(s.forward_memory_, key);
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
    s.queued_bytes_ += run.request_.body_.size();
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
    server.new_work_share_ = advance_share(server.new_work_share_, w.at_.now_);
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
    if (server.running_.size() >= concurrency_limit(server.limiter_))
        server.new_work_share_ = record_full(server.new_work_share_);
    return w;
}

} // namespace jackdawhall::calls
