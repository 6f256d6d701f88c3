#include <jackdawhall/calls/pipeline.hpp>

#include <algorithm>
#include <iterator>

#include <jackdawhall/calls/passage.hpp>

namespace jackdawhall::calls
{

namespace
{

struct filter
{
    char const* name_;
    passage (*apply_)(passage);
};

// The way of a call down through the entry, in order. A call that waits at a
// filter goes on at the same filter.
constexpr std::array<filter, 13> entry_filters{{
    {"bound_request", bound_request},
    {"accept_ticket", accept_ticket},
    {"find_call_route", find_call_route},
    {"check_freshness", check_freshness},
    {"authenticate", authenticate},
    {"set_deadline", set_deadline},
    {"check_idempotency_key", check_idempotency_key},
    {"join_duplicate", join_duplicate},
    {"check_suspect", check_suspect},
    {"take_token", take_token},
    {"take_claim", take_claim},
    {"choose_server", choose_server},
    {"send_forward", send_forward},
}};

// Where a call that is tried again goes on.
constexpr std::size_t first_filter_of_retry = 11; // choose_server

work enter(work w, caller_request r)
{
    entry_call c;
    c.number_ = next_number(*w.state_);
    c.waiters_.push_back(http_caller{r.number_});
    c.request_ = std::move(r.request_);
    c.since_ = w.at_.now_;
    c.deadline_ = w.at_.now_ + default_timeout;
    ++w.state_->counters_.requests_;
    w.state_->callers_[r.number_] = c.number_;
    return advance(std::move(w), std::move(c));
}

void note_retry(work& w, entry_call const& c, retry_reason why)
{
    w.effects_.push_back(log_message{
        "request tried again",
        {{"request", c.context_.root_},
         {"reason", std::string(to_text(why))},
         {"service", c.service_.str()},
         {"server", c.tried_.back().second},
         {"tries", std::to_string(c.attempts_)},
         {"reached", std::to_string(c.arrivals_)},
         {"left_ms", milliseconds_text(c.deadline_ - w.at_.now_)}}});
}

void note_caller_left(work& w, entry_call const& c)
{
    w.effects_.push_back(log_message{
        "caller left",
        {{"request", c.context_.root_},
         {"service", c.service_.str()},
         {"server", c.tried_.empty() ? std::string{} : c.tried_.back().second},
         {"tries", std::to_string(c.attempts_)},
         {"took_ms", milliseconds_text(w.at_.now_ - c.since_)}}});
}

// The way of an answer up through the entry.
work return_answer(work w, forward_response a)
{
    state& s = *w.state_;
    auto const known = s.forwards_.find(a.number_);
    if (known == s.forwards_.end())
        return w; // its call was answered before
    entry_call c = std::move(s.calls_.at(known->second));
    unwatch(s, c);
    s.calls_.erase(c.number_);
    s.forwards_.erase(known);
    forwarded const f = *c.forward_;
    c.forward_.reset();
    c.retries_left_ += std::min(a.retries_unused_, f.lent_retries_);
    w = learn(std::move(w), f, a);
    c.arrivals_ += reached_server(a.verdict_) ? 1 : 0;
    std::optional<retry_reason> const again =
        decide_retry(s, c, a.verdict_, a.shed_, w.at_.now_);
    if (!again)
        return finish_call(std::move(w), std::move(c), std::move(a.verdict_));
    ++s.counters_.retries_[static_cast<std::size_t>(*again)];
    note_retry(w, c, *again);
    c = pay_for_retry(s, std::move(c), a.verdict_);
    c.losses_ += std::holds_alternative<may_have_run>(a.verdict_) ? 1 : 0;
    c.next_filter_ = first_filter_of_retry;
    return advance(std::move(w), std::move(c));
}

// The answer that stands for a forward that will get none.
work lose_forward(work w, call_number forward_number, verdict v)
{
    forward_response a;
    a.number_ = forward_number;
    a.verdict_ = std::move(v);
    return return_answer(std::move(w), std::move(a));
}

// A verdict for a call whose time is over.
verdict verdict_when_late(entry_call const& c)
{
    bool const may_run = c.forward_.has_value() || c.asked_outcome_.has_value();
    if (may_run)
        return may_have_run{indeterminate_reason::deadline_passed};
    return not_run{refusal_reason::deadline_passed};
}

work expire_calls(work w)
{
    state& s = *w.state_;
    while (!s.call_due_.empty() && s.call_due_.begin()->first <= w.at_.now_)
    {
        call_number const number = s.call_due_.begin()->second;
        entry_call& c = s.calls_.at(number);
        if (w.at_.now_ < c.deadline_)
        {
            w = resume(std::move(w), number);
            continue;
        }
        entry_call late = std::move(c);
        unwatch(s, late);
        s.calls_.erase(number);
        verdict const v = verdict_when_late(late);
        if (late.forward_)
        {
            s.forwards_.erase(late.forward_->number_);
            forward_response a;
            a.verdict_ = v;
            w = learn(std::move(w), *late.forward_, a);
            tell(
                w, late.forward_->server_.host_,
                cancel_forward{late.forward_->number_});
            late.forward_.reset();
        }
        w = finish_call(std::move(w), std::move(late), v);
    }
    return w;
}

work leave(work w, caller_left const& left)
{
    state& s = *w.state_;
    auto const known = s.callers_.find(left.number_);
    if (known == s.callers_.end())
        return w;
    auto const held = s.calls_.find(known->second);
    s.callers_.erase(known);
    if (held == s.calls_.end())
        return w;
    std::erase(held->second.waiters_, waiter{http_caller{left.number_}});
    bool const needed =
        !held->second.waiters_.empty() ||
        (held->second.forward_ && !held->second.context_.repeatable_);
    if (needed)
        return w; // a resend may ask for its outcome
    entry_call c = std::move(held->second);
    unwatch(s, c);
    s.calls_.erase(held);
    verdict v = not_run{refusal_reason::cancelled};
    if (c.forward_)
    {
        v = may_have_run{indeterminate_reason::cancelled};
        s.forwards_.erase(c.forward_->number_);
        --s.evidence_[key_of(c.forward_->server_)].in_flight_;
        tell(w, c.forward_->server_.host_, cancel_forward{c.forward_->number_});
        c.forward_.reset();
    }
    note_caller_left(w, c);
    return finish_call(std::move(w), std::move(c), std::move(v));
}

work lose_peer(work w, peer_lost const& p)
{
    host_name const& host = p.host_;
    std::vector<call_number> lost;
    for (auto const& [number, call] : w.state_->forwards_)
    {
        bool const there =
            w.state_->calls_.at(call).forward_->server_.host_ == host;
        if (there && number <= p.newest_written_)
            lost.push_back(number);
    }
    for (call_number const number : lost)
        w = lose_forward(
            std::move(w), number,
            may_have_run{indeterminate_reason::peer_lost});
    std::vector<call_number> orphaned;
    auto run = w.state_->run_of_forward_.lower_bound({host, 0});
    for (; run != w.state_->run_of_forward_.end() && run->first.first == host;
         ++run)
        orphaned.push_back(run->first.second);
    for (call_number const forward : orphaned)
        w = cancel(std::move(w), host, forward);
    return w;
}

work take_outcome(work w, outcome_response const& r)
{
    state& s = *w.state_;
    auto const held = std::find_if(
        s.calls_.begin(), s.calls_.end(),
        [&](auto const& c) { return c.second.asked_outcome_ == r.number_; });
    if (held == s.calls_.end())
        return w;
    entry_call c = std::move(held->second);
    unwatch(s, c);
    s.calls_.erase(held);
    return finish_call(std::move(w), std::move(c), r.verdict_);
}

work take_undelivered(work w, undelivered const& u)
{
    if (outcome_request const* r =
            std::get_if<outcome_request>(&u.outgoing_.message_))
        return take_outcome(
            std::move(w),
            {r->number_, may_have_run{indeterminate_reason::already_claimed}});
    forward const* f = std::get_if<forward>(&u.outgoing_.message_);
    if (!f)
        return w; // whatever else matters is sent again when due
    auto const known = w.state_->forwards_.find(f->number_);
    if (known == w.state_->forwards_.end())
        return w;
    forward_response a;
    a.number_ = f->number_;
    a.verdict_ = not_run{refusal_reason::connect_failed};
    a.retries_unused_ = f->context_.retries_;
    return return_answer(std::move(w), std::move(a));
}

work take_message(work w, host_name const& from, message m)
{
    std::visit(
        overloaded{
            [&](forward& f) { w = admit(std::move(w), from, f); },
            [&](forward_response& a)
            { w = return_answer(std::move(w), std::move(a)); },
            [&](cancel_forward& c)
            { w = cancel(std::move(w), from, c.number_); },
            [&](renewal_response& a)
            { w = take_renewal_answer(std::move(w), from, std::move(a)); },
            [&](configuration_update& u) { w = take_update(std::move(w), u); },
            [&](grant_response& r) { w = take_grant(std::move(w), r); },
            [&](claim_response& r)
            { w = take_claim_response(std::move(w), r); },
            [&](claim_released& r)
            {
                auto const held = w.state_->releases_.find(r.id_);
                if (held != w.state_->releases_.end() &&
                    held->second.run_ == r.run_)
                    w.state_->releases_.erase(held);
            },
            [&](outcome_request& r)
            { w = answer_outcome(std::move(w), r, from); },
            [&](outcome_response& r) { w = take_outcome(std::move(w), r); },
            [](auto&) {},
        },
        m);
    return w;
}

work begin_stop(work w)
{
    if (w.state_->stopping_)
        return w;
    w.state_->stopping_ = w.at_.now_;
    w.state_->control_.renewal_due_ = w.at_.now_;
    w.effects_.push_back(log_message{
        "stop begins",
        {{"in_progress",
          std::to_string(w.state_->calls_.size() + w.state_->runs_.size())}}});
    return w;
}

bool has_work(state const& s)
{
    return !s.calls_.empty() || !s.runs_.empty();
}

work finish_stop(work w)
{
    state& s = *w.state_;
    if (!s.stopping_ || s.stopped_)
        return w;
    stop_times const& times = s.settings_.stop_times_;
    duration const since = w.at_.now_ - *s.stopping_;
    bool const late = since >= times.finish_;
    bool const announced =
        since >= std::max(s.settings_.renewal_interval_, times.accept_);
    if (!late && (!announced || has_work(s) || !s.releases_.empty()))
        return w;
    s.stopped_ = true;
    if (late && has_work(s))
        w.effects_.push_back(log_message{
            "stops with work still in progress",
            {{"calls", std::to_string(s.calls_.size())},
             {"runs", std::to_string(s.runs_.size())}}});
    w.effects_.push_back(stopped{});
    return w;
}

work tend(work w)
{
    w = expire_calls(std::move(w));
    w = expire_runs(std::move(w));
    w = expire_announcements(std::move(w));
    w = watch_lease(std::move(w));
    w = renew(std::move(w));
    w = tend_tokens(std::move(w));
    w = resend_claims(std::move(w));
    return finish_stop(std::move(w));
}

} // namespace

work advance(work w, entry_call c)
{
    passage p{
        std::move(w.state_), std::move(c), going{}, std::move(w.effects_),
        w.at_};
    while (std::holds_alternative<going>(p.flow_) &&
           p.call_.next_filter_ < entry_filters.size())
    {
        filter const& next = entry_filters.at(p.call_.next_filter_);
        p = next.apply_(std::move(p));
        if (std::holds_alternative<going>(p.flow_))
            ++p.call_.next_filter_;
    }
    w = {std::move(p.state_), std::move(p.effects_), p.at_};
    if (finished* end = std::get_if<finished>(&p.flow_))
        return finish_call(
            std::move(w), std::move(p.call_), std::move(end->verdict_));
    if (p.call_.number_ == 0)
        return w; // joined another call
    watch(*w.state_, p.call_);
    w.state_->calls_.insert_or_assign(p.call_.number_, std::move(p.call_));
    return w;
}

work resume(work w, call_number call)
{
    auto const held = w.state_->calls_.find(call);
    if (held == w.state_->calls_.end())
        return w;
    entry_call c = std::move(held->second);
    unwatch(*w.state_, c);
    w.state_->calls_.erase(held);
    c.wake_.reset();
    return advance(std::move(w), std::move(c));
}

node_step run(state s, input in, clock_reading at)
{
    work w{indirect<state>(std::move(s)), {}, at};
    std::visit(
        overloaded{
            [&](received& r)
            { w = take_message(std::move(w), r.from_, std::move(r.message_)); },
            [&](timer_expired&) { w = tend(std::move(w)); },
            [&](caller_request& r) { w = enter(std::move(w), std::move(r)); },
            [&](caller_left& l) { w = leave(std::move(w), l); },
            [&](undelivered& u) { w = take_undelivered(std::move(w), u); },
            [&](peer_lost& l) { w = lose_peer(std::move(w), l); },
            [&](backend_done& d) { w = finish_run(std::move(w), d); },
            [&](announcement& a) { w = take_announcement(std::move(w), a); },
            [&](server_gone& g) { w = end_server(std::move(w), g); },
            [&](probed& p) { w = take_probe(std::move(w), p); },
            [&](control_hosts_named& n)
            { w = name_control_hosts(std::move(w), n); },
            [&](stop_requested&) { w = begin_stop(std::move(w)); },
        },
        in);
    return {std::move(*w.state_), std::move(w.effects_)};
}

state make_state(settings s, random_source random, instant now)
{
    state made;
    made.settings_ = std::move(s);
    made.random_ = random;
    made.incarnation_ = made.random_.next();
    made.last_number_ = made.random_.next();
    made.configuration_.newest_schema_ = made.settings_.newest_schema_;
    made.control_.renewal_due_ = now;
    made.control_.answered_ = now;
    made.control_.hosts_ = made.settings_.control_hosts_;
    return made;
}

instant next_due(state const& s)
{
    instant due = s.control_.hosts_.empty()
                      ? s.control_.renewal_due_ + std::chrono::hours(1)
                      : s.control_.renewal_due_;
    if (s.stopping_ && !s.stopped_)
        due = std::min(due, *s.stopping_ + s.settings_.stop_times_.finish_);
    if (!s.call_due_.empty())
        due = std::min(due, s.call_due_.begin()->first);
    if (!s.run_due_.empty())
        due = std::min(due, s.run_due_.begin()->first);
    if (!s.releases_.empty())
        due = std::min(due, s.releases_due_);
    for (auto const& [account, held] : s.holdings_)
    {
        if (!held.grants_.empty())
            due = std::min(due, held.last_call_ + idle_token_lifetime);
        if (!held.waiting_.empty())
            due = std::min(due, held.ask_again_);
    }
    return due;
}

} // namespace jackdawhall::calls
