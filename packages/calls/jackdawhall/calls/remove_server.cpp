// Removes local backend servers that have ended, with a report on the requests
// that may have crashed them, and drains those that say that they leave.
#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>
#include <limits>

namespace jackdawhall::calls
{

namespace
{

// The fingerprints of the requests that broke off shortly before the server
// ended, but for those that it completed before.
std::set<std::string>
find_suspects(working_state const& w, local_server const& server)
{
    std::set<std::string> recent;
    for (auto const& [when, suspect] : server.broken_requests_)
    {
        if (w.at_.now_ - when <= crash_window &&
            !completed_lately(server, suspect, w.at_.now_))
            recent.insert(suspect);
    }
    return recent;
}

// A deregistration that names no process may be that of an earlier one for as
// long as its messages may arrive.
bool is_of_earlier_process(
    local_server const& server, server_deregistered const& gone, instant now)
{
    if (gone.started_ != 0)
        return gone.started_ < server.announcement_.started_;
    return server.restarted_ &&
           now - server.first_heard_at_ < late_message_time;
}

// Sequence number of a deregistration: announcements of its process that arrive
// later are outdated.
constexpr std::int64_t final_sequence =
    std::numeric_limits<std::int64_t>::max();

// A deregistration of an unknown server that names no process is that of one
// that has started by now.
std::int64_t
last_possible_start(server_deregistered const& gone, wall_time wall)
{
    return gone.started_ != 0 ? gone.started_ : wall.time_since_epoch().count();
}

void log_late_deregistration(
    working_state& w, local_server const& server,
    server_deregistered const& gone)
{
    w.effects_.push_back(log_message{
        "deregistration of an earlier process ignored",
        {{"server", gone.server_id_},
         {"started", std::to_string(gone.started_)},
         {"known_started", std::to_string(server.announcement_.started_)},
         {"known_for_ms",
          milliseconds_text(w.at_.now_ - server.first_heard_at_)}}});
}

} // namespace

bool takes_work(state const& s, std::string const& server_id)
{
    auto const known = s.local_servers_.find(server_id);
    return known != s.local_servers_.end() &&
           known->second.announcement_.state_ != server_state::draining;
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

working_state remove_ended_server(
    working_state w, std::string const& server_id, refusal_reason why)
{
    local_server const& server = w.state_->local_servers_.at(server_id);
    note_ended_server(w, server, find_suspects(w, server));
    return remove_server(std::move(w), server_id, why);
}

working_state
handle_server_deregistered(working_state w, server_deregistered const& gone)
{
    auto const known = w.state_->local_servers_.find(gone.server_id_);
    if (known == w.state_->local_servers_.end())
    {
        note_departure(
            w, gone.server_id_, last_possible_start(gone, w.at_.wall_),
            final_sequence);
        return w;
    }
    if (is_of_earlier_process(known->second, gone, w.at_.now_))
    {
        log_late_deregistration(w, known->second, gone);
        if (gone.started_ != 0)
            note_departure(w, gone.server_id_, gone.started_, final_sequence);
        return w;
    }
    announcement last = known->second.announcement_;
    last.started_ = std::max(last.started_, gone.started_);
    last.sequence_ = final_sequence;
    last.state_ = server_state::draining;
    return handle_announcement(std::move(w), last);
}

working_state handle_probe_result(working_state w, probe_result const& p)
{
    auto const known = w.state_->local_servers_.find(p.server_id_);
    // A server that is not being probed has begun again since: the result is of
    // its former process.
    if (known == w.state_->local_servers_.end() || !known->second.probing_)
        return w;
    known->second.probing_ = false;
    if (!p.alive_)
        return remove_ended_server(
            std::move(w), p.server_id_, refusal_reason::connect_failed);
    known->second.broken_requests_.clear();
    return w;
}

} // namespace jackdawhall::calls
