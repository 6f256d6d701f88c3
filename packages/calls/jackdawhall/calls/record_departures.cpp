// Departures of the backend servers on this host. A server that says that it
// leaves gets no more work at once, but is acknowledged only when the control
// hosts have recorded it: the acknowledgement binds the next daemon on this
// host too, which knows nothing else of before its start.
#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr duration report_interval = std::chrono::milliseconds(500);
// A server counts as acknowledged only if it hears so within a second.
constexpr duration max_wait = std::chrono::milliseconds(900);
// A departure that no control host records is given up after this time.
constexpr duration max_report_time = std::chrono::minutes(10);
// Servers on one host whose departures are reported, or whose announcements are
// held, at a time.
constexpr std::size_t max_kept_servers = 64;

enum class departure_status
{
    recorded,
    pending,
    unknown
};

departure_status status_of(state const& s, std::string const& server_id)
{
    if (s.pending_departures_.contains(server_id) ||
        s.held_announcements_.contains(server_id))
        return departure_status::pending;
    // It has said since that it is ready.
    if (takes_work(s, server_id))
        return departure_status::recorded;
    auto const known = s.local_servers_.find(server_id);
    bool const recorded =
        known != s.local_servers_.end()
            ? known->second.departure_recorded_
            : find_departure(s.configuration_, s.settings_.self_, server_id) !=
                  nullptr;
    return recorded ? departure_status::recorded : departure_status::unknown;
}

// Whether a record shows the departure: of the process, at the announcement
// before this one or a later one. Nothing was announced between two
// consecutive numbers.
bool shows(
    departure_v1 const& record, std::int64_t started, std::int64_t sequence)
{
    if (record.started_ != started)
        return record.started_ > started;
    return record.sequence_ >= sequence - 1;
}

bool is_recorded(
    state const& s, std::string const& server_id, std::int64_t started,
    std::int64_t sequence)
{
    departure_v1 const* record =
        find_departure(s.configuration_, s.settings_.self_, server_id);
    return record && shows(*record, started, sequence);
}

// Whether `a` was sent before the departure of its server, which is `age` old.
// Announcements of a process that don't state its start, or their number, may
// count as sent before only for as long as they may be on their way.
bool is_before(
    announcement const& a, std::int64_t started, std::int64_t sequence,
    duration age)
{
    if (a.started_ != 0 && a.started_ != started)
        return a.started_ < started;
    bool const numbered = a.started_ != 0 && a.sequence_ != 0;
    return a.sequence_ <= sequence && (numbered || age < late_message_time);
}

void send_report(
    working_state& w, std::string const& server_id, pending_departure& pending)
{
    pending.report_due_ = w.at_.now_ + report_interval;
    send_message(
        w, leader_host(*w.state_),
        departure_report{
            w.state_->settings_.self_, server_id, pending.started_,
            pending.sequence_});
}

// Whether another departure can be kept. That of a server which has a record
// always is: the record may be of a former process.
bool has_room(state const& s, std::string const& server_id)
{
    return s.pending_departures_.size() < max_kept_servers ||
           s.pending_departures_.contains(server_id) ||
           find_departure(s.configuration_, s.settings_.self_, server_id);
}

void log_departure(
    working_state& w, std::string text, std::string const& server_id,
    pending_departure const& pending)
{
    w.effects_.push_back(log_message{
        std::move(text),
        {{"server", server_id},
         {"started", std::to_string(pending.started_)},
         {"sequence", std::to_string(pending.sequence_)},
         {"after_ms", milliseconds_text(w.at_.now_ - pending.heard_at_)},
         {"leader", leader_host(*w.state_).str()}}});
}

// Notes at the server, if it is known, that its departure is recorded.
void mark_recorded(
    state& s, std::string const& server_id, std::int64_t started,
    std::int64_t sequence)
{
    auto const known = s.local_servers_.find(server_id);
    if (known == s.local_servers_.end())
        return;
    announcement const& last = known->second.announcement_;
    if (last.state_ == server_state::draining &&
        std::pair{last.started_, last.sequence_} <=
            std::pair{started, sequence})
        known->second.departure_recorded_ = true;
}

// Whether the departure needs no further report.
bool is_settled(
    working_state& w, std::string const& server_id,
    pending_departure const& pending)
{
    if (is_recorded(*w.state_, server_id, pending.started_, pending.sequence_))
    {
        log_departure(w, "departure recorded", server_id, pending);
        mark_recorded(
            *w.state_, server_id, pending.started_, pending.sequence_);
        return true;
    }
    if (w.at_.now_ - pending.heard_at_ < max_report_time)
        return false;
    log_departure(w, "departure not recorded; given up", server_id, pending);
    return true;
}

void drop_settled(working_state& w)
{
    std::map<std::string, pending_departure>& all =
        w.state_->pending_departures_;
    for (auto held = all.begin(); held != all.end();)
        held = is_settled(w, held->first, held->second) ? all.erase(held)
                                                        : std::next(held);
}

// The answer to a server that waits; nullopt: it waits on.
std::optional<departure_outcome>
find_outcome(state const& s, departure_waiter const& waiting, instant now)
{
    switch (status_of(s, waiting.server_id_))
    {
    case departure_status::recorded:
        return departure_outcome::recorded;
    case departure_status::unknown:
        return departure_outcome::unrecorded;
    case departure_status::pending:
        break;
    }
    if (now >= waiting.until_)
        return departure_outcome::unrecorded;
    return std::nullopt;
}

void log_unrecorded(working_state& w, departure_waiter const& waiting)
{
    state const& s = *w.state_;
    w.effects_.push_back(log_message{
        "departure not acknowledged: not recorded in time",
        {{"server", waiting.server_id_},
         {"departures_known", are_departures_known(s) ? "yes" : "no"},
         {"leader", leader_host(s).str()},
         {"control_silent_ms",
          milliseconds_text(w.at_.now_ - s.control_.last_answer_at_)}}});
}

void answer_waiters(working_state& w)
{
    std::deque<departure_waiter> waiting =
        std::exchange(w.state_->departure_waiters_, {});
    for (departure_waiter& one : waiting)
    {
        std::optional<departure_outcome> const outcome =
            find_outcome(*w.state_, one, w.at_.now_);
        if (!outcome)
        {
            w.state_->departure_waiters_.push_back(std::move(one));
            continue;
        }
        if (*outcome == departure_outcome::unrecorded)
            log_unrecorded(w, one);
        w.effects_.push_back(answer_departure{one.number_, *outcome});
    }
}

} // namespace

bool are_departures_known(state const& s)
{
    std::optional<instant> const& complete_at = s.configuration_.complete_at_;
    return complete_at && *complete_at >= s.started_at_;
}

bool is_departed(working_state const& w, announcement const& a)
{
    state const& s = *w.state_;
    // The announcements of a server that is known are told apart by its own.
    if (s.local_servers_.contains(a.id_))
        return false;
    auto const pending = s.pending_departures_.find(a.id_);
    if (pending != s.pending_departures_.end() &&
        is_before(
            a, pending->second.started_, pending->second.sequence_,
            w.at_.now_ - pending->second.heard_at_))
        return true;
    departure_v1 const* record =
        find_departure(s.configuration_, s.settings_.self_, a.id_);
    if (!record)
        return false;
    duration const age =
        w.at_.wall_ -
        wall_time(std::chrono::milliseconds(record->recorded_ms_));
    return is_before(a, record->started_, record->sequence_, age);
}

void hold_announcement(state& s, announcement const& a)
{
    auto const held = s.held_announcements_.find(a.id_);
    if (held == s.held_announcements_.end())
    {
        if (s.held_announcements_.size() < max_kept_servers)
            s.held_announcements_.emplace(a.id_, a);
        return;
    }
    announcement const& last = held->second;
    if (std::pair{last.started_, last.sequence_} <=
        std::pair{a.started_, a.sequence_})
        held->second = a;
}

working_state take_held_announcements(working_state w)
{
    if (w.state_->held_announcements_.empty() ||
        !are_departures_known(*w.state_))
        return w;
    std::map<std::string, announcement> const held =
        std::exchange(w.state_->held_announcements_, {});
    for (auto const& [id, a] : held)
        w = handle_announcement(std::move(w), a);
    return settle_departures(std::move(w));
}

void note_departure(
    working_state& w, std::string const& server_id, std::int64_t started,
    std::int64_t sequence)
{
    state& s = *w.state_;
    if (is_recorded(s, server_id, started, sequence))
        return mark_recorded(s, server_id, started, sequence);
    if (!has_room(s, server_id))
        return;
    auto const [known, inserted] = s.pending_departures_.try_emplace(server_id);
    pending_departure& pending = known->second;
    if (!inserted && std::pair{started, sequence} <=
                         std::pair{pending.started_, pending.sequence_})
        return;
    pending.started_ = started;
    pending.sequence_ = sequence;
    pending.heard_at_ = w.at_.now_;
    send_report(w, server_id, pending);
}

working_state await_departure(working_state w, departure_awaited const& awaited)
{
    w.state_->departure_waiters_.push_back(
        {awaited.number_, awaited.server_id_, w.at_.now_ + max_wait});
    answer_waiters(w);
    return w;
}

working_state settle_departures(working_state w)
{
    drop_settled(w);
    answer_waiters(w);
    return w;
}

working_state maintain_departures(working_state w)
{
    if (!next_departure_due(*w.state_))
        return w;
    w = settle_departures(std::move(w));
    for (auto& [id, pending] : w.state_->pending_departures_)
    {
        if (pending.report_due_ <= w.at_.now_)
            send_report(w, id, pending);
    }
    return w;
}

std::optional<instant> next_departure_due(state const& s)
{
    std::optional<instant> due;
    auto const note = [&](instant at) { due = due ? std::min(*due, at) : at; };
    for (auto const& [id, pending] : s.pending_departures_)
        note(pending.report_due_);
    for (departure_waiter const& waiting : s.departure_waiters_)
        note(waiting.until_);
    return due;
}

} // namespace jackdawhall::calls
