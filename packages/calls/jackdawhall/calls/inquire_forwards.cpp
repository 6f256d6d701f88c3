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

entry_call* find_call(state& s, call_number forward)
{
    auto const known = s.call_of_forward_.find(forward);
    return known == s.call_of_forward_.end() ? nullptr
                                             : &s.calls_.at(known->second);
}

// The call that waits for a forward to the gate on `host`, or nullptr.
entry_call* find_call_at(state& s, host_name const& host, call_number forward)
{
    entry_call* c = find_call(s, forward);
    return c && c->forward_->server_.host_ == host ? c : nullptr;
}

void set_wake_up(state& s, entry_call& c, std::optional<instant> at)
{
    cancel_timer(s, c);
    c.wake_at_ = at;
    schedule_timer(s, c);
}

void await_report(state& s, entry_call& c, instant now)
{
    std::optional<instant>& since = c.forward_->unreported_since_;
    since = since.value_or(now);
    instant const overdue_at = *since + report_timeout;
    instant const again_at = now + inquiry_interval;
    set_wake_up(
        s, c, now < overdue_at ? std::min(again_at, overdue_at) : again_at);
}

void take_report(state& s, entry_call& c)
{
    c.forward_->unreported_since_.reset();
    set_wake_up(s, c, std::nullopt);
}

// Whether the call would be retried if its forward were lost.
bool can_retry(state const& s, entry_call const& c, instant now)
{
    entry_call after = c;
    ++after.servers_reached_;
    return decide_retry(
               s, after, may_have_run{indeterminate_reason::peer_lost}, false,
               now)
        .has_value();
}

// The forwards to a host that have no answer, in the order of their numbers.
std::vector<active_forward>
unanswered_forwards(state const& s, host_name const& host, instant now)
{
    std::vector<active_forward> found;
    for (auto const& [number, call] : s.call_of_forward_)
    {
        entry_call const& c = s.calls_.at(call);
        if (c.forward_->server_.host_ == host && now < c.deadline_)
            found.push_back(*c.forward_);
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
        await_report(*w.state_, *find_call(*w.state_, f.number_), w.at_.now_);
    }
    log_inquiry(w, host, asked);
    send_message(w, host, std::move(asked));
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
    working_state& w, entry_call const& c, std::string_view outcome)
{
    w.effects_.push_back(log_message{
        "outcome of a forward after its link ended",
        {{"request", c.context_.root_},
         {"gate", c.forward_->server_.host_.str()},
         {"server", c.forward_->server_.id_},
         {"outcome", std::string(outcome)},
         {"age_ms", milliseconds_text(w.at_.now_ - c.forward_->created_at_)},
         {"left_ms", milliseconds_text(c.deadline_ - w.at_.now_)}}});
}

working_state handle_reported(
    working_state w, host_name const& gate, reported_forward const& f)
{
    entry_call* c = find_call_at(*w.state_, gate, f.number_);
    bool const awaited = c && w.at_.now_ < c->deadline_;
    switch (f.status_)
    {
    case forward_status::in_progress:
        if (awaited)
            take_report(*w.state_, *c);
        else
            send_message(w, gate, cancel_forward{f.number_});
        return w;
    case forward_status::answered:
        if (awaited)
            send_inquiry(
                w, gate, c->forward_->server_.incarnation_, {*c->forward_});
        return w;
    case forward_status::not_received:
        // Past the deadline the gate may have forgotten its answer.
        if (!awaited)
            return w;
        log_outcome(w, *c, "not received");
        return withdraw_forward(std::move(w), f.number_);
    case forward_status::unknown:
        if (!awaited)
            return w;
        log_outcome(w, *c, "unknown");
        return lose_forward(std::move(w), f.number_);
    }
    return w;
}

} // namespace

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
        entry_call const* c = find_call_at(*w.state_, gate, number);
        if (!c || !c->forward_->unreported_since_)
            continue;
        bool const ended =
            now - *c->forward_->unreported_since_ >= gate_return_time;
        if (!ended && !can_retry(*w.state_, *c, now))
            continue; // asked again at its wake-up
        log_outcome(w, *c, "gate out of reach");
        w = lose_forward(std::move(w), number);
    }
    return w;
}

working_state repeat_inquiry(working_state w, call_number call)
{
    entry_call const& c = w.state_->calls_.at(call);
    active_forward const f = *c.forward_;
    instant const now = w.at_.now_;
    bool const overdue = now - *f.unreported_since_ >= report_timeout;
    if (!overdue || !can_retry(*w.state_, c, now))
    {
        send_inquiry(w, f.server_.host_, f.server_.incarnation_, {f});
        return w;
    }
    log_outcome(w, c, "no report");
    cancel_at_gate(w, f.server_.host_, f.number_);
    return lose_forward(std::move(w), f.number_);
}

} // namespace jackdawhall::calls
