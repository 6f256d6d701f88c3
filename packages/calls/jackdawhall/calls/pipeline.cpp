// The call node: dispatches each input to its handler and runs requests through
// the filters of the entry.
#include <jackdawhall/calls/pipeline.hpp>

#include <algorithm>
#include <iterator>

#include <jackdawhall/calls/pipeline_context.hpp>

namespace jackdawhall::calls
{

namespace
{

struct filter
{
    char const* name_;
    pipeline_context (*apply_)(pipeline_context);
};

// Filters that a request passes at the entry, in order. A call that had to wait
// in a filter resumes at that filter, which is then applied again.
constexpr std::array<filter, 14> entry_filters{{
    {"validate_request", validate_request},
    {"accept_ticket", accept_ticket},
    {"find_call_route", find_call_route},
    {"check_configuration_freshness", check_configuration_freshness},
    {"authenticate", authenticate},
    {"set_deadline", set_deadline},
    {"check_shutdown", check_shutdown},
    {"check_idempotency_key", check_idempotency_key},
    {"join_duplicate", join_duplicate},
    {"check_quarantine", check_quarantine},
    {"take_token", take_token},
    {"take_claim", take_claim},
    {"choose_server", choose_server},
    {"send_forward", send_forward},
}};

working_state start_call(working_state w, caller_request r)
{
    entry_call c;
    c.number_ = next_number(*w.state_);
    c.waiters_.push_back(http_caller{r.number_});
    c.request_ = std::move(r.request_);
    c.created_at_ = w.at_.now_;
    c.deadline_ = w.at_.now_ + default_timeout;
    ++w.state_->counters_.requests_;
    w.state_->call_of_caller_[r.number_] = c.number_;
    return run_filters(std::move(w), std::move(c));
}

verdict deadline_verdict(entry_call const& c)
{
    if (possibly_ran(c))
        return may_have_run{indeterminate_reason::deadline_passed};
    return not_run{refusal_reason::deadline_passed};
}

// Resumes the calls whose wake-up is due, asks again for forwards whose gate
// has not reported, and finishes the calls past their deadline.
working_state expire_calls(working_state w)
{
    state& s = *w.state_;
    while (!s.call_due_.empty() && s.call_due_.begin()->first <= w.at_.now_)
    {
        call_number const number = s.call_due_.begin()->second;
        entry_call& c = s.calls_.at(number);
        if (w.at_.now_ < c.deadline_)
        {
            w = c.forward_ ? repeat_inquiry(std::move(w), number)
                           : resume_call(std::move(w), number);
            continue;
        }
        entry_call late = std::move(c);
        cancel_timer(s, late);
        s.calls_.erase(number);
        verdict const v = deadline_verdict(late);
        cancel_earlier(w, late);
        if (late.forward_)
        {
            s.call_of_forward_.erase(late.forward_->number_);
            forward_response a;
            a.verdict_ = v;
            w = record_server_outcome(std::move(w), *late.forward_, a);
            send_message(
                w, late.forward_->server_.host_,
                cancel_forward{late.forward_->number_});
            late.forward_.reset();
        }
        w = finish_call(std::move(w), std::move(late), v);
    }
    return w;
}

// An answer that took too much memory here was not sent, and its entry has no
// reason to ask for it: it is told at once.
void replace_withdrawn_answer(working_state& w, outgoing const& unsent)
{
    verdict const v = may_have_run{indeterminate_reason::answer_too_large};
    if (forward_response const* a =
            std::get_if<forward_response>(&unsent.message_))
    {
        forward_response told = *a;
        told.verdict_ = v;
        send_message(w, unsent.to_, std::move(told));
    }
    if (outcome_response const* o =
            std::get_if<outcome_response>(&unsent.message_))
        send_message(w, unsent.to_, outcome_response{o->number_, v});
}

working_state
handle_message_not_sent(working_state w, message_not_sent const& u)
{
    if (outcome_request const* r =
            std::get_if<outcome_request>(&u.outgoing_.message_))
        return handle_outcome_request_not_sent(std::move(w), *r);
    host_name const& to = u.outgoing_.to_;
    if (forward_inquiry const* asked =
            std::get_if<forward_inquiry>(&u.outgoing_.message_))
        return handle_inquiry_not_sent(std::move(w), to, *asked);
    if (forward_report const* r =
            std::get_if<forward_report>(&u.outgoing_.message_))
        return handle_report_not_sent(std::move(w), to, *r);
    if (u.withdrawn_)
        replace_withdrawn_answer(w, u.outgoing_);
    forward_request const* f =
        std::get_if<forward_request>(&u.outgoing_.message_);
    if (!f)
        return w; // other messages that need delivery are resent when due
    if (u.withdrawn_)
        return withdraw_forward(std::move(w), f->number_);
    auto const known = w.state_->call_of_forward_.find(f->number_);
    if (known == w.state_->call_of_forward_.end())
        return w;
    forward_response a;
    a.number_ = f->number_;
    a.verdict_ = not_run{refusal_reason::connect_failed};
    a.retries_unused_ = f->context_.retries_;
    return handle_forward_response(std::move(w), std::move(a));
}

working_state handle_message(working_state w, host_name const& from, message m)
{
    std::visit(
        overloaded{
            [&](forward_request& f)
            { w = admit_forward(std::move(w), from, f); },
            [&](forward_response& a)
            { w = handle_forward_response(std::move(w), std::move(a)); },
            [&](cancel_forward& c)
            { w = handle_cancellation(std::move(w), from, c.number_); },
            [&](forward_inquiry& i)
            { w = answer_inquiry(std::move(w), from, i); },
            [&](forward_report& r)
            { w = handle_forward_report(std::move(w), from, r); },
            [&](renewal_response& a)
            { w = handle_renewal_response(std::move(w), from, std::move(a)); },
            [&](confirmation_response& a) {
                w = handle_confirmation_response(
                    std::move(w), from, std::move(a));
            },
            [&](configuration_update& u)
            { w = handle_configuration_update(std::move(w), u); },
            [&](grant_response& r)
            { w = handle_grant_response(std::move(w), r); },
            [&](claim_response& r)
            { w = handle_claim_response(std::move(w), r); },
            [&](claim_released& r)
            {
                auto const held = w.state_->pending_releases_.find(r.id_);
                if (held != w.state_->pending_releases_.end() &&
                    held->second.run_ == r.run_)
                    w.state_->pending_releases_.erase(held);
            },
            [&](outcome_request& r)
            { w = answer_outcome(std::move(w), r, from); },
            [&](outcome_response& r)
            { w = handle_outcome_response(std::move(w), r); },
            [](auto&) {},
        },
        m);
    return w;
}

working_state handle_timer_expired(working_state w)
{
    w = expire_calls(std::move(w));
    w = expire_runs(std::move(w));
    w.state_->forward_memory_ =
        expire_memory(std::move(w.state_->forward_memory_), w.at_.now_);
    w = expire_announcements(std::move(w));
    w = track_lease(std::move(w));
    w = send_renewal(std::move(w));
    w = maintain_tokens(std::move(w));
    w = report_due_crashes(std::move(w));
    w = maintain_departures(std::move(w));
    return resend_claim_releases(std::move(w));
}

} // namespace

working_state run_filters(working_state w, entry_call c)
{
    pipeline_context p{
        std::move(w.state_), std::move(c), advancing{}, std::move(w.effects_),
        w.at_};
    while (std::holds_alternative<advancing>(p.progress_) &&
           p.call_.next_filter_ < entry_filters.size())
    {
        filter const& next = entry_filters.at(p.call_.next_filter_);
        p = next.apply_(std::move(p));
        if (std::holds_alternative<advancing>(p.progress_))
            ++p.call_.next_filter_;
    }
    w = {std::move(p.state_), std::move(p.effects_), p.at_};
    if (finished* end = std::get_if<finished>(&p.progress_))
    {
        forward_response a;
        a.verdict_ = std::move(end->verdict_);
        return finish_or_wait_again(
            std::move(w), std::move(p.call_), std::move(a));
    }
    if (p.call_.number_ == 0)
        return w; // joined another call
    schedule_timer(*w.state_, p.call_);
    w.state_->calls_.insert_or_assign(p.call_.number_, std::move(p.call_));
    return w;
}

working_state resume_call(working_state w, call_number call)
{
    auto const held = w.state_->calls_.find(call);
    if (held == w.state_->calls_.end())
        return w;
    entry_call c = std::move(held->second);
    cancel_timer(*w.state_, c);
    w.state_->calls_.erase(held);
    c.wake_at_.reset();
    return run_filters(std::move(w), std::move(c));
}

node_step run(state s, input in, clock_reading at)
{
    working_state w{indirect<state>(std::move(s)), {}, at};
    std::visit(
        overloaded{
            [&](received& r) {
                w = handle_message(
                    std::move(w), r.from_, std::move(r.message_));
            },
            [&](timer_expired&) { w = handle_timer_expired(std::move(w)); },
            [&](caller_request& r)
            { w = start_call(std::move(w), std::move(r)); },
            [&](caller_disconnected& l)
            { w = handle_caller_disconnected(std::move(w), l); },
            [&](caller_finished& f)
            { w = handle_caller_finished(std::move(w), f); },
            [&](message_not_sent& u)
            { w = handle_message_not_sent(std::move(w), u); },
            [&](link_lost& l)
            {
                w = inquire_after_link_loss(std::move(w), l);
                w = report_after_link_loss(std::move(w), l.host_);
                w = ask_outcomes_again(std::move(w), l.host_);
                w = cancel_again(std::move(w), l.host_);
            },
            [&](run_finished& d)
            { w = finish_run(std::move(w), std::move(d)); },
            [&](announcement& a) { w = handle_announcement(std::move(w), a); },
            [&](server_deregistered& g)
            { w = handle_server_deregistered(std::move(w), g); },
            [&](departure_awaited& d) { w = await_departure(std::move(w), d); },
            [&](probe_result& p) { w = handle_probe_result(std::move(w), p); },
            [&](control_hosts_changed& n)
            { w = set_control_hosts(std::move(w), n); },
            [&](reduce_held_bytes& r)
            { w = reduce_held(std::move(w), r.bytes_); },
            [&](give_back_request& r) { w = give_back_body(std::move(w), r); },
            [&](stop_requested&) { w = begin_stop(std::move(w)); },
        },
        in);
    w = finish_stop(std::move(w));
    return {std::move(*w.state_), std::move(w.effects_)};
}

state make_state(settings s, random_source random, instant now)
{
    state made;
    made.settings_ = std::move(s);
    made.random_ = random;
    made.incarnation_ = made.random_.next();
    made.started_at_ = now;
    made.last_number_ = made.random_.next();
    made.configuration_.newest_schema_ = made.settings_.newest_schema_;
    made.control_.renewal_due_ = now;
    made.control_.last_answer_at_ = now;
    made.control_.last_heard_at_ = now;
    made.control_.hosts_ = made.settings_.control_hosts_;
    return made;
}

instant next_due(state const& s)
{
    instant due = s.control_.hosts_.empty()
                      ? s.control_.renewal_due_ + std::chrono::hours(1)
                      : s.control_.renewal_due_;
    if (s.stopping_since_ && !s.stopped_)
        due = std::min(due, stop_due(s));
    if (!s.call_due_.empty())
        due = std::min(due, s.call_due_.begin()->first);
    if (!s.run_due_.empty())
        due = std::min(due, s.run_due_.begin()->first);
    if (!s.pending_releases_.empty())
        due = std::min(due, s.releases_due_);
    if (std::optional<instant> const report = next_crash_report(s))
        due = std::min(due, *report);
    if (std::optional<instant> const departures = next_departure_due(s))
        due = std::min(due, *departures);
    for (auto const& [account, held] : s.token_pools_)
    {
        if (!held.grants_.empty())
            due = std::min(due, held.last_call_at_ + idle_token_lifetime);
        if (!held.waiting_.empty())
            due = std::min(due, held.next_request_at_);
    }
    return due;
}

} // namespace jackdawhall::calls
