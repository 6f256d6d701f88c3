// What a gate does for entries whose links with it end: it goes on with their
// runs, keeps their answers, and reports on both.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <array>

namespace jackdawhall::calls
{

namespace
{

// An entry that can't be reached, and does not ask for its runs within this
// time, has ended.
constexpr duration entry_return_time = std::chrono::seconds(1);

// Of a forward that has no run and no kept answer here. `incarnation`: of the
// daemon that it was sent to.
reported_forward report_unknown(
    working_state& w, forward_key const& key, std::uint64_t incarnation)
{
    forward_memory& m = w.state_->forward_memory_;
    bool const would_know =
        incarnation == w.state_->incarnation_ && !is_forgotten(m, key);
    if (would_know)
        m = refuse_forward(std::move(m), key, w.at_.now_);
    bool const never_runs = would_know && is_refused(m, key);
    return {
        key.second,
        never_runs ? forward_status::not_received : forward_status::unknown};
}

// The forwards of an entry that are queued or running here.
std::vector<call_number>
forwards_in_progress(state const& s, host_name const& entry)
{
    std::vector<call_number> numbers;
    auto run = s.run_of_forward_.lower_bound({entry, 0});
    for (; run != s.run_of_forward_.end() && run->first.first == entry; ++run)
        numbers.push_back(run->first.second);
    return numbers;
}

void log_report(
    working_state& w, std::string_view text, host_name const& entry,
    forward_report const& r)
{
    std::array<std::size_t, static_cast<std::size_t>(forward_status::last_) + 1>
        counts{};
    for (reported_forward const& f : r.forwards_)
        ++counts.at(static_cast<std::size_t>(f.status_));
    auto const count = [&](forward_status status)
    { return std::to_string(counts.at(static_cast<std::size_t>(status))); };
    w.effects_.push_back(log_message{
        std::string(text),
        {{"entry", entry.str()},
         {"in_progress", count(forward_status::in_progress)},
         {"answered", count(forward_status::answered)},
         {"not_received", count(forward_status::not_received)},
         {"unknown", count(forward_status::unknown)}}});
}

// Sends the answers of an entry's forwards again.
void resend_answers(
    working_state& w, host_name const& entry,
    std::vector<call_number> const& numbers)
{
    for (call_number const number : numbers)
        send_message(
            w, entry, *find_answer(w.state_->forward_memory_, {entry, number}));
}

} // namespace

working_state report_after_link_loss(working_state w, host_name const& entry)
{
    state const& s = *w.state_;
    std::vector<call_number> const running = forwards_in_progress(s, entry);
    std::vector<call_number> const answered =
        answered_forwards(s.forward_memory_, entry);
    forward_report report;
    for (call_number const number : running)
        report.forwards_.push_back({number, forward_status::in_progress});
    // Soon nobody will be here to ask for them.
    if (s.stopping_since_)
        resend_answers(w, entry, answered);
    for (call_number const number : answered)
        report.forwards_.push_back({number, forward_status::answered});
    if (report.forwards_.empty())
        return w;
    log_report(
        w, "a link with an entry ended; reporting on its forwards", entry,
        report);
    send_message(w, entry, std::move(report));
    return w;
}

working_state answer_inquiry(
    working_state w, host_name const& entry, forward_inquiry const& asked)
{
    forward_report report;
    for (call_number const number : asked.forwards_)
    {
        state& s = *w.state_;
        forward_key const key{entry, number};
        auto const run = s.run_of_forward_.find(key);
        if (run != s.run_of_forward_.end())
        {
            set_abandoned(s, s.runs_.at(run->second), std::nullopt);
            report.forwards_.push_back({number, forward_status::in_progress});
            continue;
        }
        // A kept answer says all that a report on its forward would.
        if (forward_response const* kept = find_answer(s.forward_memory_, key))
            send_message(w, entry, *kept);
        else
            report.forwards_.push_back(
                report_unknown(w, key, asked.incarnation_));
    }
    if (report.forwards_.empty())
        return w;
    log_report(
        w, "an entry asked for forwards after its link ended", entry, report);
    send_message(w, entry, std::move(report));
    return w;
}

working_state handle_report_not_sent(
    working_state w, host_name const& entry, forward_report const& r)
{
    state& s = *w.state_;
    for (reported_forward const& f : r.forwards_)
    {
        auto const run = s.run_of_forward_.find({entry, f.number_});
        if (run != s.run_of_forward_.end())
            set_abandoned(
                s, s.runs_.at(run->second), w.at_.now_ + entry_return_time);
    }
    return w;
}

} // namespace jackdawhall::calls
