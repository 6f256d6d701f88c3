// The gate beside a backend server: what it admits, in which order it runs it,
// and what it tells the entries.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// Calls queued beyond the limit, as a share of it; and at least so many.
constexpr std::size_t queue_factor = 2;
constexpr std::size_t least_queue = 4;
// A server that makes fewer calls than one in so many runs is said to make
// none.
constexpr std::uint64_t least_runs_a_call = 50;
constexpr duration threshold_window = std::chrono::milliseconds(100);
// What may not be repeated is left running for its outcome past its deadline.
constexpr duration outcome_wait = std::chrono::seconds(30);

void reply(working_state& w, gate_run const& run, verdict v, bool shed)
{
    forward_response a;
    a.number_ = run.forward_;
    a.verdict_ = std::move(v);
    a.retries_unused_ = run.retries_left_;
    a.shed_ = shed;
    a.held_ = w.at_.now_ - run.since_;
    a.makes_calls_ =
        w.state_->own_calls_ * least_runs_a_call >= w.state_->counters_.runs_;
    auto const known = w.state_->locals_.find(run.server_id_);
    if (known != w.state_->locals_.end())
    {
        local_server const& server = known->second;
        a.admitted_ = server.admitted_;
        a.in_use_ = static_cast<std::uint32_t>(
            server.running_.size() + server.queued_.size());
        a.limit_ = static_cast<std::uint32_t>(allowed(server.limiter_));
    }
    send_message(w, run.entry_, std::move(a));
}

// A queued run is refused so long before its deadline that its entry hears of
// it in time, and can say that it has not run.
constexpr duration refusal_way = std::chrono::milliseconds(50);
constexpr int refusal_way_divisor = 8; // of the time that the run had

instant due_of(gate_run const& run)
{
    if (run.running_)
        return run.deadline_;
    duration const time = run.deadline_ - run.since_;
    return run.deadline_ - std::min(refusal_way, time / refusal_way_divisor);
}

void forget_run(state& s, gate_run const& run)
{
    s.run_due_.erase({due_of(run), run.number_});
    s.run_of_forward_.erase({run.entry_, run.forward_});
    if (!run.ticket_.empty())
        s.tickets_.erase(run.ticket_);
    auto const server = s.locals_.find(run.server_id_);
    if (server != s.locals_.end())
    {
        server->second.running_.erase(run.number_);
        std::erase(server->second.queued_, run.number_);
    }
    s.runs_.erase(run.number_);
}

void note_refusal(working_state& w, gate_run const& run, refusal_reason reason)
{
    log_message line{
        "run refused",
        {{"request", run.context_.root_},
         {"server", run.server_id_},
         {"reason", std::string(to_text(reason))},
         {"entry", run.entry_.str()},
         {"rank", std::to_string(run.context_.rank_)},
         {"waited_ms", milliseconds_text(w.at_.now_ - run.since_)},
         {"left_ms", milliseconds_text(run.deadline_ - w.at_.now_)}}};
    auto const known = w.state_->locals_.find(run.server_id_);
    if (known != w.state_->locals_.end())
    {
        local_server const& server = known->second;
        line.fields_.emplace_back(
            "running", std::to_string(server.running_.size()));
        line.fields_.emplace_back(
            "queued", std::to_string(server.queued_.size()));
        line.fields_.emplace_back(
            "limit", std::to_string(allowed(server.limiter_)));
        line.fields_.emplace_back(
            "admitted_rank", std::to_string(server.admitted_));
    }
    w.effects_.push_back(std::move(line));
}

void refuse_run(working_state& w, call_number number, refusal_reason reason)
{
    note_refusal(w, w.state_->runs_.at(number), reason);
    gate_run const run = std::move(w.state_->runs_.at(number));
    forget_run(*w.state_, run);
    reply(w, run, not_run{reason, std::chrono::milliseconds(100)}, false);
}

gate_run
make_run(state& s, host_name const& entry, forward const& f, instant now)
{
    gate_run run;
    run.number_ = next_number(s);
    run.entry_ = entry;
    run.forward_ = f.number_;
    run.server_id_ = f.server_id_;
    run.context_ = f.context_;
    run.suspect_ = f.suspect_;
    run.request_ = f.request_;
    run.since_ = now;
    run.deadline_ = now + f.context_.timeout_;
    run.retries_left_ = f.context_.retries_;
    return run;
}

// Why a forward cannot even be queued; nothing if it can.
std::optional<refusal_reason>
find_refusal(working_state const& w, forward const& f)
{
    state const& s = *w.state_;
    auto const known = s.locals_.find(f.server_id_);
    if (known == s.locals_.end() ||
        known->second.announcement_.service_ != f.service_)
        return refusal_reason::no_server;
    local_server const& server = known->second;
    if (s.stopping_ || server.announcement_.state_ == server_state::draining)
        return refusal_reason::server_draining;
    if (crashes_of(s.configuration_, f.suspect_, w.at_.wall_) >=
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
    w.state_->run_due_.erase({due_of(run), number});
    w.state_->run_due_.emplace(run.deadline_, number);
    server.served_[run.context_.account_] += 1;
    run.running_ = true;
    run.started_ = w.at_.now_;
    w.effects_.push_back(
        observe_duration{stage::gate_queue, w.at_.now_ - run.since_});
    run.ticket_ = w.state_->random_.hex(16);
    w.state_->tickets_.emplace(run.ticket_, number);
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
        {deadline_header, std::to_string(left.count() / 1000)});
    w.effects_.push_back(run_on_backend{
        number, run.server_id_, server.announcement_.address_, std::move(sent),
        run.context_.repeatable_ ? left : left + outcome_wait,
        run.context_.account_, run.context_.caller_, run.context_.root_});
}

std::size_t longest_queue(local_server const& server)
{
    return std::max(least_queue, allowed(server.limiter_) * queue_factor);
}

// The threshold falls below the rank that was shed, and climbs back by one rank
// in each window without shedding.
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

void shed_worst(working_state& w, std::string const& server_id)
{
    local_server& server = w.state_->locals_.at(server_id);
    while (server.queued_.size() > longest_queue(server))
    {
        call_number const number = last_to_run(w, server);
        lower_threshold(
            server, w.state_->runs_.at(number).context_.rank_, w.at_.now_);
        refuse_run(w, number, refusal_reason::shed_at_gate);
    }
}

duration own_latency(gate_run const& run, instant now)
{
    duration const called =
        run.called_ +
        (run.calls_in_progress_ > 0 ? now - run.calling_since_ : duration{0});
    return std::max(duration{0}, now - run.started_ - called);
}

void probe(working_state& w, local_server& server)
{
    if (server.probing_)
        return;
    server.probing_ = true;
    w.effects_.push_back(
        probe_server{server.announcement_.id_, server.announcement_.address_});
}

void learn_limit(
    working_state const& w, local_server& server, gate_run const& run)
{
    std::visit(
        overloaded{
            [&](learnt_limit const&)
            {
                server.limiter_ = take_latency(
                    server.limiter_, own_latency(run, w.at_.now_),
                    server.running_.size() + 1, w.at_.now_);
            },
            [](announced_slots const&) {},
        },
        w.state_->settings_.admission_);
}

} // namespace

working_state admit(working_state w, host_name const& entry, forward const& f)
{
    gate_run run = make_run(*w.state_, entry, f, w.at_.now_);
    if (std::optional<refusal_reason> const why = find_refusal(w, f))
    {
        note_refusal(w, run, *why);
        reply(w, run, not_run{*why, std::chrono::milliseconds(100)}, false);
        return w;
    }
    state& s = *w.state_;
    s.locals_.at(f.server_id_).queued_.push_back(run.number_);
    s.run_due_.emplace(due_of(run), run.number_);
    s.run_of_forward_.emplace(std::pair{run.entry_, run.forward_}, run.number_);
    s.runs_.emplace(run.number_, std::move(run));
    w = start_runs(std::move(w), f.server_id_);
    shed_worst(w, f.server_id_);
    return w;
}

working_state start_runs(working_state w, std::string const& server_id)
{
    auto const known = w.state_->locals_.find(server_id);
    if (known == w.state_->locals_.end())
        return w;
    local_server& server = known->second;
    decay_served(server, w.at_.now_);
    raise_threshold(server, w.at_.now_);
    while (server.running_.size() < allowed(server.limiter_))
    {
        std::optional<call_number> const next = next_to_run(w, server);
        if (!next)
            break;
        if (w.at_.now_ >= due_of(w.state_->runs_.at(*next)))
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
    auto const server = s.locals_.find(run.server_id_);
    bool const here = server != s.locals_.end();
    forget_run(s, run);
    w.effects_.push_back(
        observe_duration{stage::server, w.at_.now_ - run.started_});
    std::visit(
        overloaded{
            [&](answered const& a)
            {
                if (here)
                    learn_limit(w, server->second, run);
                bool const shed = a.answer_.status_ == 503 && !run.call_failed_;
                reply(w, run, ran{a.answer_}, shed);
            },
            [&](not_connected const& n)
            {
                reply(w, run, not_run{refusal_reason::connect_failed}, false);
                if (here && n.server_failed_)
                    probe(w, server->second);
            },
            [&](backend_refused const& t)
            {
                reply(w, run, not_run{t.reason_}, false);
                if (here && t.reason_ == refusal_reason::server_replaced)
                    w = drop_server(
                        std::move(w), run.server_id_,
                        refusal_reason::server_replaced);
            },
            [&](connection_broken const& b)
            {
                indeterminate_reason const reason =
                    run.cancelled_ ? indeterminate_reason::cancelled
                                   : b.reason_;
                reply(w, run, may_have_run{reason}, false);
                if (!here || run.cancelled_ ||
                    b.reason_ != indeterminate_reason::connection_lost)
                    return;
                server->second.broken_.emplace_back(w.at_.now_, run.suspect_);
                probe(w, server->second);
            },
        },
        done.outcome_);
    return start_runs(std::move(w), run.server_id_);
}

working_state
cancel(working_state w, host_name const& entry, call_number forward)
{
    auto const known = w.state_->run_of_forward_.find({entry, forward});
    if (known == w.state_->run_of_forward_.end())
        return w;
    gate_run& run = w.state_->runs_.at(known->second);
    if (!run.running_)
    {
        gate_run const dropped = std::move(run);
        forget_run(*w.state_, dropped);
    }
    else if (run.context_.repeatable_ && !run.cancelled_)
    {
        run.cancelled_ = true;
        w.effects_.push_back(cancel_run{run.number_});
    }
    return w;
}

working_state expire_runs(working_state w)
{
    state& s = *w.state_;
    while (!s.run_due_.empty() && s.run_due_.begin()->first <= w.at_.now_)
    {
        call_number const number = s.run_due_.begin()->second;
        gate_run& run = s.runs_.at(number);
        if (!run.running_)
        {
            refuse_run(w, number, refusal_reason::deadline_passed);
            continue;
        }
        s.run_due_.erase(s.run_due_.begin());
        if (run.context_.repeatable_ && !run.cancelled_)
        {
            run.cancelled_ = true;
            w.effects_.push_back(cancel_run{number});
        }
    }
    return w;
}

working_state
drop_server(working_state w, std::string const& server_id, refusal_reason why)
{
    auto const known = w.state_->locals_.find(server_id);
    if (known == w.state_->locals_.end())
        return w;
    announcement const& last = known->second.announcement_;
    w.effects_.push_back(log_message{
        "backend server dropped",
        {{"server", server_id},
         {"service", last.service_.str()},
         {"reason", std::string(to_text(why))},
         {"silent_ms", milliseconds_text(w.at_.now_ - known->second.heard_)},
         {"sequence", std::to_string(last.sequence_)},
         {"running", std::to_string(known->second.running_.size())},
         {"queued", std::to_string(known->second.queued_.size())}}});
    std::vector<call_number> const queued = known->second.queued_;
    for (call_number const number : queued)
        refuse_run(w, number, why);
    w.state_->locals_.erase(server_id);
    w.state_->control_.renewal_due_ = w.at_.now_;
    return w;
}

working_state take_probe(working_state w, probe_result const& p)
{
    auto const known = w.state_->locals_.find(p.server_id_);
    if (known == w.state_->locals_.end())
        return w;
    local_server& server = known->second;
    server.probing_ = false;
    std::set<std::string> lately;
    for (auto const& [when, suspect] : server.broken_)
    {
        if (w.at_.now_ - when <= crash_window)
            lately.insert(suspect);
    }
    server.broken_.clear();
    if (p.alive_)
        return w;
    std::set<std::string> suspects;
    for (std::string const& suspect : lately)
    {
        if (crashes_of(w.state_->configuration_, suspect, w.at_.wall_) > 0)
            suspects.insert(suspect);
    }
    if (suspects.empty())
        suspects = std::move(lately);
    if (!suspects.empty())
        send_message(
            w, leader_host(*w.state_),
            crash_report{
                w.state_->settings_.self_,
                p.server_id_,
                {suspects.begin(), suspects.end()}});
    return drop_server(
        std::move(w), p.server_id_, refusal_reason::connect_failed);
}

} // namespace jackdawhall::calls
