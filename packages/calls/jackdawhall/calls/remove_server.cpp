// Removes local backend servers that have ended, and reports the requests that
// may have crashed them.
#include <jackdawhall/calls/gate_run.hpp>

namespace jackdawhall::calls
{

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
