// Reports of crashes to the leader of the control hosts. A link that ends may
// lose one, so each is repeated until the configuration shows its suspects. The
// leader counts processes, not reports, so that a copy does no harm, also at a
// daemon of an earlier build.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr duration crash_report_interval = std::chrono::seconds(1);
// A report is repeated for this long also if its suspects are seen to be
// counted: the count may be that of another server's crash.
constexpr duration min_repeat_time = std::chrono::seconds(5);
// Later, each new crash by the same request makes a report of its own.
constexpr duration max_repeat_time = std::chrono::minutes(1);
constexpr std::size_t max_kept_reports = 64;

std::int64_t crashes_of(working_state const& w, std::string const& suspect)
{
    return crash_count(w.state_->configuration_, suspect, w.at_.wall_);
}

bool is_counted(working_state const& w, repeated_crash_report const& r)
{
    return std::all_of(
        r.crashes_before_.begin(), r.crashes_before_.end(),
        [&](auto const& before)
        { return crashes_of(w, before.first) > before.second; });
}

bool is_over(working_state const& w, repeated_crash_report const& r)
{
    duration const age = w.at_.now_ - r.made_at_;
    return age >= max_repeat_time ||
           (age >= min_repeat_time && is_counted(w, r));
}

void keep_report(working_state& w, crash_report const& report)
{
    repeated_crash_report kept{report, {}, w.at_.now_};
    for (std::string const& suspect : report.suspects_)
        kept.crashes_before_.emplace(suspect, crashes_of(w, suspect));
    std::deque<repeated_crash_report>& all = w.state_->crash_reports_;
    if (all.empty())
        w.state_->crash_reports_due_ = w.at_.now_ + crash_report_interval;
    all.push_back(std::move(kept));
    if (all.size() > max_kept_reports)
        all.pop_front();
}

// Start of the server's process in milliseconds since the Unix epoch: as
// announced, or else when it was first heard of.
std::int64_t start_of(working_state const& w, local_server const& server)
{
    if (server.announcement_.started_ != 0)
        return server.announcement_.started_;
    wall_time const first_heard =
        w.at_.wall_ - std::chrono::duration_cast<std::chrono::milliseconds>(
                          w.at_.now_ - server.first_heard_at_);
    return first_heard.time_since_epoch().count();
}

} // namespace

void report_crash(
    working_state& w, local_server const& server,
    std::vector<std::string> suspects)
{
    std::string const& server_id = server.announcement_.id_;
    crash_report const report{
        w.state_->settings_.self_, server_id, std::move(suspects),
        start_of(w, server)};
    w.effects_.push_back(log_message{
        "backend server crashed; requests reported as suspects",
        {{"server", server_id},
         {"started", std::to_string(report.started_)},
         {"suspects", std::to_string(report.suspects_.size())},
         {"to", leader_host(*w.state_).str()}}});
    send_message(w, leader_host(*w.state_), report);
    keep_report(w, report);
}

working_state repeat_crash_reports(working_state w)
{
    state& s = *w.state_;
    if (s.crash_reports_.empty() || w.at_.now_ < s.crash_reports_due_)
        return w;
    std::erase_if(
        s.crash_reports_,
        [&](repeated_crash_report const& r) { return is_over(w, r); });
    for (repeated_crash_report const& r : s.crash_reports_)
        send_message(w, leader_host(s), r.report_);
    s.crash_reports_due_ = w.at_.now_ + crash_report_interval;
    return w;
}

} // namespace jackdawhall::calls
