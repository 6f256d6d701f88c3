#include <jackdawhall/control/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::control
{

effect tell_outcome(
    std::string const& operation, operation_waiter const& to,
    change_outcome const& outcome)
{
    if (to.host_)
        return send{
            {*to.host_, change_response{to.number_, outcome, operation}}};
    return answer_operator{to.number_, outcome};
}

void send_outcome(
    pipeline_context& p, std::string const& operation,
    operation_waiter const& to, change_outcome const& outcome)
{
    if (to.host_)
        p.state_.answered_ = remember_answer(
            std::move(p.state_.answered_), {*to.host_, to.number_},
            {to.number_, outcome, operation}, p.at_.now_);
    p.effects_.push_back(tell_outcome(operation, to, outcome));
}

namespace
{

// Forwards a request to the leader under a number of its own.
template <class Request>
void forward_to(
    pipeline_context& p, host_name const& leader, std::string const& operation,
    operation_waiter from, Request request)
{
    state& s = p.state_;
    request.number_ = ++s.last_forward_;
    from.forwarded_ = forwarded_request{
        leader, request.number_, s.consensus_.hard_state_.term_, request};
    s.waiters_.emplace(operation, std::move(from));
    p.effects_.push_back(send{{leader, std::move(request)}});
}

// Proposes a command if this host leads, else forwards the request of its own
// operator to the leader. Stores the waiter under the operation id. A request
// that another host forwarded is not forwarded again.
template <class Command, class Request>
void propose_or_forward(
    pipeline_context& p, operation_waiter from, std::string const& operation,
    Command command, Request request)
{
    state& s = p.state_;
    std::optional<host_name> const leader = leader_of(s.consensus_);
    if (is_leader(s.consensus_))
    {
        s.waiters_.emplace(operation, std::move(from));
        propose_commands(p, {std::move(command)});
    }
    else if (leader && !from.host_)
    {
        forward_to(p, *leader, operation, std::move(from), std::move(request));
    }
    else
    {
        send_outcome(
            p, operation, from,
            unknown_outcome{"no leader among the control hosts"});
    }
}

void handle_change(
    pipeline_context& p, operation_waiter const& from, change const& wanted)
{
    propose_or_forward(
        p, from, wanted.operation_id_, change_command{wanted, p.at_.wall_},
        change_request{0, p.state_.consensus_.settings_.self_, wanted});
}

void handle_document(
    pipeline_context& p, operation_waiter const& from, document const& wanted)
{
    std::string const operation = document_operation_id(wanted);
    if (std::optional<rejected> const wrong = check_document(wanted))
        return send_outcome(p, operation, from, *wrong);
    propose_or_forward(
        p, from, operation, document_command{wanted, p.at_.wall_},
        document_request{0, p.state_.consensus_.settings_.self_, wanted});
}

bool is_in_progress(
    state const& s, std::string const& operation, request_key const& key)
{
    auto const range = s.waiters_.equal_range(operation);
    return std::any_of(
        range.first, range.second,
        [&](auto const& waiting)
        {
            return waiting.second.host_ == key.first &&
                   waiting.second.number_ == key.second;
        });
}

// True if the request of another host arrived before. It is answered again, or
// is in progress.
bool is_repeated(
    pipeline_context& p, std::string const& operation, request_key const& key)
{
    change_response const* answer = find_answer(p.state_.answered_, key);
    bool const answered = answer && answer->operation_ == operation;
    if (answered)
        p.effects_.push_back(send{{key.first, *answer}});
    return answered || is_in_progress(p.state_, operation, key);
}

void handle_request(pipeline_context& p, change_request const& r)
{
    std::string const& operation = r.change_.operation_id_;
    if (!is_repeated(p, operation, {r.requester_, r.number_}))
        handle_change(p, {r.requester_, r.number_, p.at_.now_}, r.change_);
}

void handle_request(pipeline_context& p, document_request const& r)
{
    std::string const operation = document_operation_id(r.document_);
    if (!is_repeated(p, operation, {r.requester_, r.number_}))
        handle_document(p, {r.requester_, r.number_, p.at_.now_}, r.document_);
}

// A leader of another term cannot tell whether the document is in the log
// already: refused there, it could be accepted the second time.
void handle_request(pipeline_context& p, resent_document const& r)
{
    document_request const& first = r.request_;
    if (r.first_sent_in_ == p.state_.consensus_.hard_state_.term_)
        return handle_request(p, first);
    std::string const operation = document_operation_id(first.document_);
    if (!is_repeated(p, operation, {first.requester_, first.number_}))
        send_outcome(
            p, operation, {first.requester_, first.number_, p.at_.now_},
            unknown_outcome{"the leader has changed"});
}

// Tells the waiters that are `lost` that their outcome is unknown.
template <class Predicate>
void give_up_waiters(
    pipeline_context& p, std::string const& why, Predicate lost)
{
    std::multimap<std::string, operation_waiter>& waiters = p.state_.waiters_;
    for (auto found = waiters.begin(); found != waiters.end();)
    {
        if (!lost(found->second))
        {
            ++found;
            continue;
        }
        send_outcome(p, found->first, found->second, unknown_outcome{why});
        found = waiters.erase(found);
    }
}

void expire_waiters(pipeline_context& p)
{
    give_up_waiters(
        p, "no majority of control hosts answered in time",
        [&](operation_waiter const& w)
        { return p.at_.now_ - w.since_ >= operation_timeout; });
}

void reject_claim(pipeline_context& p, claim_request const& r)
{
    p.effects_.push_back(send{
        {r.holder_,
         claim_response{
             r.id_, r.run_, claim_result::unavailable, {}, r.holder_}}});
}

} // namespace

pipeline_context propose_operator_changes(pipeline_context p)
{
    if (operator_change const* o = std::get_if<operator_change>(&p.input_))
        handle_change(p, {std::nullopt, o->number_, p.at_.now_}, o->change_);
    if (operator_document const* o = std::get_if<operator_document>(&p.input_))
        handle_document(
            p, {std::nullopt, o->number_, p.at_.now_}, o->document_);
    if (change_request const* r = received_message<change_request>(p))
        handle_request(p, *r);
    if (document_request const* r = received_message<document_request>(p))
        handle_request(p, *r);
    if (resent_document const* r = received_message<resent_document>(p))
        handle_request(p, *r);
    if (std::holds_alternative<timer_expired>(p.input_))
        expire_waiters(p);
    return p;
}

pipeline_context propose_claims(pipeline_context p)
{
    bool const leads = is_leader(p.state_.consensus_);
    if (claim_request const* r = received_message<claim_request>(p))
    {
        if (leads)
            propose_commands(
                p,
                {claim_command{
                    r->id_, r->body_hash_, r->run_, r->holder_, p.at_.wall_}});
        else
            reject_claim(p, *r);
    }
    if (claim_release const* r = received_message<claim_release>(p); r && leads)
        propose_commands(p, {release_command{r->id_, r->run_, r->holder_}});
    return p;
}

pipeline_context notify_waiters(pipeline_context p)
{
    bool const leads = is_leader(p.state_.consensus_);
    for (apply_result const& outcome : p.applied_)
    {
        if (change_applied const* c = std::get_if<change_applied>(&outcome))
        {
            auto const range = p.state_.waiters_.equal_range(c->operation_id_);
            for (auto found = range.first; found != range.second; ++found)
                send_outcome(p, found->first, found->second, c->outcome_);
            p.state_.waiters_.erase(range.first, range.second);
        }
        if (claim_response const* c = std::get_if<claim_response>(&outcome))
        {
            if (leads)
                p.effects_.push_back(send{{c->requester_, *c}});
        }
        if (claim_released const* c = std::get_if<claim_released>(&outcome))
        {
            if (leads)
                p.effects_.push_back(send{{c->holder_, *c}});
        }
    }
    return p;
}

pipeline_context start_or_stop_allocator(pipeline_context p)
{
    state& s = p.state_;
    if (p.became_leader_)
        s.allocator_ = start_allocator(
            std::move(s.allocator_), s.consensus_.random_.next() >> 1,
            p.at_.now_);
    else if (s.allocator_.ready_at_ && !is_leader(s.consensus_))
        s.allocator_ = stop_allocator(std::move(s.allocator_));
    if (!is_leader(s.consensus_))
        s.crashes_.clear();
    return p;
}

} // namespace jackdawhall::control
