// Reports of crashes to the leader of the control hosts. The connections of a
// process that ends break one after the other, some only after a probe has
// shown its end: a report waits for all runs at it. A link that ends may lose
// one, so each is repeated until the configuration shows its suspects. The
// leader counts processes, not reports, so that a copy does no harm, also at a
// daemon of an earlier build.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>
#include <iterator>

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
// Within which the connections of a process on this host that has ended break.
constexpr duration max_break_time = std::chrono::milliseconds(500);

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

// Those of the suspects against which crashes are held already, or all if there
// are none.
std::vector<std::string>
narrowed(working_state const& w, std::set<std::string> const& suspects)
{
    std::vector<std::string> known;
    std::copy_if(
        suspects.begin(), suspects.end(), std::back_inserter(known),
        [&](std::string const& suspect) { return crashes_of(w, suspect) > 0; });
    return known.empty()
               ? std::vector<std::string>(suspects.begin(), suspects.end())
               : known;
}

void report_crash(working_state& w, ended_server const& ended)
{
    if (ended.suspects_.empty())
        return;
    crash_report const report{
        w.state_->settings_.self_, ended.server_id_,
        narrowed(w, ended.suspects_), ended.started_};
    w.effects_.push_back(log_message{
        "backend server crashed; requests reported as suspects",
        {{"server", report.server_id_},
         {"started", std::to_string(report.started_)},
         {"suspects", std::to_string(report.suspects_.size())},
         {"unfinished", std::to_string(ended.unfinished_.size())},
         {"to", leader_host(*w.state_).str()}}});
    send_message(w, leader_host(*w.state_), report);
    keep_report(w, report);
}

// Repeats, when due, the reports that may be lost: those whose suspects the
// configuration doesn't hold yet.
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

} // namespace

void note_ended_server(
    working_state& w, local_server const& server,
    std::set<std::string> suspects)
{
    std::deque<ended_server>& all = w.state_->ended_servers_;
    if (all.size() >= max_kept_reports)
    {
        report_crash(w, all.front());
        all.pop_front();
    }
    ended_server ended{
        server.announcement_.id_, start_of(w, server), server.running_,
        std::move(suspects), w.at_.now_ + max_break_time};
    if (ended.unfinished_.empty())
        return report_crash(w, ended);
    all.push_back(std::move(ended));
}

bool note_end_of_run(working_state& w, gate_run const& run, bool broke)
{
    std::deque<ended_server>& all = w.state_->ended_servers_;
    auto const ended = std::find_if(
        all.begin(), all.end(),
        [&](ended_server const& e)
        { return e.unfinished_.contains(run.number_); });
    if (ended == all.end())
        return false;
    ended->unfinished_.erase(run.number_);
    if (broke)
        ended->suspects_.insert(run.suspect_);
    if (ended->unfinished_.empty())
    {
        report_crash(w, *ended);
        all.erase(ended);
    }
    return true;
}

working_state report_due_crashes(working_state w)
{
    std::deque<ended_server>& all = w.state_->ended_servers_;
    while (!all.empty() && all.front().report_due_ <= w.at_.now_)
    {
        report_crash(w, all.front());
        all.pop_front();
    }
    return repeat_crash_reports(std::move(w));
}

std::optional<instant> next_crash_report(state const& s)
{
    std::optional<instant> due;
    if (!s.ended_servers_.empty())
        due = s.ended_servers_.front().report_due_;
    if (!s.crash_reports_.empty())
        due =
            std::min(due.value_or(s.crash_reports_due_), s.crash_reports_due_);
    return due;
}

} // namespace jackdawhall::calls
