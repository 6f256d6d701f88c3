// Requests that a server ran to a good end. Such a request is no suspect of a
// crash that it was only beside: it is left out of the next report, and the
// crashes held against it are given up.
#include <jackdawhall/calls/gate_run.hpp>

namespace jackdawhall::calls
{

namespace
{

// What a request did longer ago doesn't tell what it does now.
constexpr duration completion_lifetime = std::chrono::seconds(10);
constexpr std::size_t max_completed_requests = 2048;
// Least time between two reports of one suspect.
constexpr duration report_interval = std::chrono::seconds(1);

void drop_old(
    std::map<std::string, instant>& times, duration lifetime, instant now)
{
    std::erase_if(
        times,
        [&](auto const& noted) { return now - noted.second > lifetime; });
}

void keep_completion(
    local_server& server, std::string const& suspect, instant now)
{
    std::map<std::string, instant>& completed = server.completed_requests_;
    if (completed.size() >= max_completed_requests)
        drop_old(completed, completion_lifetime, now);
    if (completed.size() >= max_completed_requests)
        completed.clear();
    completed.insert_or_assign(suspect, now);
}

void report_completion(working_state& w, std::string const& suspect)
{
    state& s = *w.state_;
    drop_old(s.reported_completions_, report_interval, w.at_.now_);
    if (!s.reported_completions_.emplace(suspect, w.at_.now_).second)
        return;
    send_message(
        w, leader_host(s), suspect_completed{s.settings_.self_, suspect});
}

} // namespace

void note_completion(working_state& w, gate_run const& run, answer const& a)
{
    constexpr std::uint16_t first_server_error = 500;
    if (a.status_ >= first_server_error || run.suspect_.empty())
        return;
    state& s = *w.state_;
    auto const server = s.local_servers_.find(run.server_id_);
    if (server != s.local_servers_.end())
        keep_completion(server->second, run.suspect_, w.at_.now_);
    if (crash_count(s.configuration_, run.suspect_, w.at_.wall_) > 0)
        report_completion(w, run.suspect_);
}

bool completed_lately(
    local_server const& server, std::string const& suspect, instant now)
{
    auto const completed = server.completed_requests_.find(suspect);
    return completed != server.completed_requests_.end() &&
           now - completed->second <= completion_lifetime;
}

} // namespace jackdawhall::calls
