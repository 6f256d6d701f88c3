// After a link with a gate ended, the entry asks the gate over another one what
// became of the forwards that have no answer. The end of a link alone says
// nothing of them.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr duration inquiry_interval = std::chrono::milliseconds(250);
// A call that can be retried is retried elsewhere if the gate does not report
// within this time. Others wait for their answer.
constexpr duration report_timeout = std::chrono::milliseconds(400);
// A gate that can't be reached for this long has ended.
constexpr duration gate_return_time = std::chrono::seconds(1);

// The open forward of a call by its number.
active_forward& open_forward(entry_call& c, call_number forward)
{
    bool const earlier =
        c.earlier_forward_ && c.earlier_forward_->number_ == forward;
    return earlier ? *c.earlier_forward_ : *c.forward_;
}

// A call that waits for a forward, and that forward in it.
struct awaited_forward
{
    entry_call* call_ = nullptr;
    active_forward* forward_ = nullptr;

    // Whether the call waits for no other forward.
    bool is_current() const
    {
        return call_->forward_ && &*call_->forward_ == forward_;
    }
};

std::optional<awaited_forward> find_forward(state& s, call_number forward)
{
    auto const known = s.call_of_forward_.find(forward);
    if (known == s.call_of_forward_.end())
        return std::nullopt;
    entry_call& c = s.calls_.at(known->second);
    return awaited_forward{&c, &open_forward(c, forward)};
}

// The same for a forward to the gate on `host`.
std::optional<awaited_forward>
find_forward_at(state& s, host_name const& host, call_number forward)
{
    std::optional<awaited_forward> const found = find_forward(s, forward);
    bool const there = found && found->forward_->server_.host_ == host;
    return there ? found : std::nullopt;
}

void set_wake_up(state& s, entry_call& c, std::optional<instant> at)
{
    cancel_timer(s, c);
    c.wake_at_ = at;
    schedule_timer(s, c);
}

// A call that has no current forward waits for a server, and keeps its time.
void set_next_inquiry(state& s, entry_call& c, instant now)
{
    if (c.forward_)
        set_wake_up(s, c, next_inquiry(c, now));
}

void await_report(state& s, awaited_forward const& f, instant now)
{
    std::optional<instant>& since = f.forward_->unreported_since_;
    since = since.value_or(now);
    set_next_inquiry(s, *f.call_, now);
}

void take_report(state& s, awaited_forward const& f, instant now)
{
    f.forward_->unreported_since_.reset();
    set_next_inquiry(s, *f.call_, now);
}

bool is_unreported(std::optional<active_forward> const& f)
{
    return f && f->unreported_since_;
}

// Whether the call would be retried at another gate if its forward were lost.
bool can_try_elsewhere(state const& s, entry_call const& c, instant now)
{
    if (!has_other_gate(s, c))
        return false;
    entry_call after = c;
    ++after.servers_reached_;
    return decide_retry(
               s, after, may_have_run{indeterminate_reason::peer_lost}, false,
               now)
        .has_value();
}

// The forwards to a host that have no answer, in the order of their numbers.
std::vector<active_forward>
unanswered_forwards(state& s, host_name const& host, instant now)
{
    std::vector<active_forward> found;
    for (auto const& [number, call] : s.call_of_forward_)
    {
        entry_call& c = s.calls_.at(call);
        active_forward const& f = open_forward(c, number);
        if (f.server_.host_ == host && now < c.deadline_)
            found.push_back(f);
    }
    return found;
}

void log_inquiry(
    working_state& w, host_name const& host, forward_inquiry const& asked)
{
    w.effects_.push_back(log_message{
        "a link with a gate ended; asking it for forwards without an answer",
        {{"gate", host.str()},
         {"forwards", std::to_string(asked.forwards_.size())}}});
}

void send_inquiry(
    working_state& w, host_name const& host, std::uint64_t incarnation,
    std::vector<active_forward> const& forwards)
{
    forward_inquiry asked{incarnation, {}};
    for (active_forward const& f : forwards)
    {
        if (f.server_.incarnation_ != incarnation)
            continue;
        asked.forwards_.push_back(f.number_);
        await_report(
            *w.state_, *find_forward(*w.state_, f.number_), w.at_.now_);
    }
    log_inquiry(w, host, asked);
    send_message(w, host, std::move(asked));
}

void ask_again(working_state& w, active_forward const& f)
{
    send_inquiry(w, f.server_.host_, f.server_.incarnation_, {f});
}

// A gate of an earlier build reports nothing, and may have cancelled the runs
// of forwards that were written to the link.
working_state lose_unreported(
    working_state w, std::vector<active_forward> const& forwards,
    call_number newest_written)
{
    for (active_forward const& f : forwards)
    {
        if (f.server_.incarnation_ == 0 && f.number_ <= newest_written)
            w = lose_forward(std::move(w), f.number_);
    }
    return w;
}

void log_outcome(
    working_state& w, awaited_forward const& awaited, std::string_view outcome)
{
    entry_call const& c = *awaited.call_;
    active_forward const& f = *awaited.forward_;
    w.effects_.push_back(log_message{
        "outcome of a forward after its link ended",
        {{"request", c.context_.root_},
         {"gate", f.server_.host_.str()},
         {"server", f.server_.id_},
         {"outcome", std::string(outcome)},
         {"age_ms", milliseconds_text(w.at_.now_ - f.created_at_)},
         {"left_ms", milliseconds_text(c.deadline_ - w.at_.now_)}}});
}

working_state handle_reported(
    working_state w, host_name const& gate, reported_forward const& f)
{
    std::optional<awaited_forward> const found =
        find_forward_at(*w.state_, gate, f.number_);
    bool const awaited = found && w.at_.now_ < found->call_->deadline_;
    switch (f.status_)
    {
    case forward_status::in_progress:
        if (awaited)
            take_report(*w.state_, *found, w.at_.now_);
        else
            send_message(w, gate, cancel_forward{f.number_});
        return w;
    case forward_status::answered:
        if (awaited)
            send_inquiry(
                w, gate, found->forward_->server_.incarnation_,
                {*found->forward_});
        return w;
    case forward_status::not_received:
        // Past the deadline the gate may have forgotten its answer.
        if (!awaited)
            return w;
        log_outcome(w, *found, "not received");
        return withdraw_forward(std::move(w), f.number_);
    case forward_status::unknown:
        if (!awaited)
            return w;
        log_outcome(w, *found, "unknown");
        return lose_forward(std::move(w), f.number_);
    }
    return w;
}

} // namespace

std::optional<instant> next_inquiry(entry_call const& c, instant now)
{
    instant const again_at = now + inquiry_interval;
    if (!is_unreported(c.forward_))
        return is_unreported(c.earlier_forward_) ? std::optional(again_at)
                                                 : std::nullopt;
    instant const overdue_at = *c.forward_->unreported_since_ + report_timeout;
    return now < overdue_at ? std::min(again_at, overdue_at) : again_at;
}

working_state inquire_after_link_loss(working_state w, link_lost const& l)
{
    std::vector<active_forward> const forwards =
        unanswered_forwards(*w.state_, l.host_, w.at_.now_);
    std::set<std::uint64_t> incarnations;
    for (active_forward const& f : forwards)
        incarnations.insert(f.server_.incarnation_);
    incarnations.erase(0);
    for (std::uint64_t const incarnation : incarnations)
        send_inquiry(w, l.host_, incarnation, forwards);
    return lose_unreported(std::move(w), forwards, l.newest_written_);
}

working_state handle_forward_report(
    working_state w, host_name const& gate, forward_report const& r)
{
    for (reported_forward const& f : r.forwards_)
        w = handle_reported(std::move(w), gate, f);
    return w;
}

working_state handle_inquiry_not_sent(
    working_state w, host_name const& gate, forward_inquiry const& asked)
{
    instant const now = w.at_.now_;
    for (call_number const number : asked.forwards_)
    {
        std::optional<awaited_forward> const found =
            find_forward_at(*w.state_, gate, number);
        if (!found || !found->forward_->unreported_since_)
            continue;
        bool const ended =
            now - *found->forward_->unreported_since_ >= gate_return_time;
        bool const elsewhere = found->is_current() &&
                               can_try_elsewhere(*w.state_, *found->call_, now);
        if (!ended && !elsewhere)
            continue; // asked again at its wake-up
        log_outcome(w, *found, "gate out of reach");
        w = ended ? lose_forward(std::move(w), number)
                  : try_elsewhere(std::move(w), found->call_->number_);
    }
    return w;
}

working_state repeat_inquiry(working_state w, call_number call)
{
    entry_call& c = w.state_->calls_.at(call);
    instant const now = w.at_.now_;
    set_next_inquiry(*w.state_, c, now);
    if (is_unreported(c.earlier_forward_))
        ask_again(w, *c.earlier_forward_);
    if (!is_unreported(c.forward_))
        return w;
    active_forward const f = *c.forward_;
    bool const overdue = now - *f.unreported_since_ >= report_timeout;
    if (!overdue || !can_try_elsewhere(*w.state_, c, now))
    {
        ask_again(w, f);
        return w;
    }
    log_outcome(w, {&c, &*c.forward_}, "no report");
    return try_elsewhere(std::move(w), call);
}

} // namespace jackdawhall::calls
