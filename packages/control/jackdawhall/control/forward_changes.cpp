// The changes and documents of this host's operator that it forwarded to the
// leader, and the answers to those that other hosts forwarded here. The end of
// a link says only that messages may be lost: both are sent again over another.
#include <jackdawhall/control/pipeline_context.hpp>

namespace jackdawhall::control
{

namespace
{

using waiter_map = std::multimap<std::string, operation_waiter>;

// The waiter whose request was forwarded under a number.
waiter_map::iterator find_forwarded(waiter_map& waiters, std::uint64_t number)
{
    auto found = waiters.begin();
    while (found != waiters.end() &&
           !(found->second.forwarded_ &&
             found->second.forwarded_->number_ == number))
        ++found;
    return found;
}

// Number of a request that was forwarded; 0 for other messages.
std::uint64_t number_of(message const& m)
{
    return std::visit(
        overloaded{
            [](change_request const& r) { return r.number_; },
            [](document_request const& r) { return r.number_; },
            [](resent_document const& r) { return r.request_.number_; },
            [](auto const&) { return std::uint64_t{0}; },
        },
        m);
}

// A change is recognized by its operation id, also by another leader.
message make_copy(forwarded_request const& f)
{
    return std::visit(
        overloaded{
            [](change_request const& r) { return message{r}; },
            [&](document_request const& r) {
                return message{resent_document{f.term_, r}};
            },
        },
        f.request_);
}

void log_forwarded(
    pipeline_context& p, std::string const& what, std::string const& operation,
    operation_waiter const& w)
{
    duration const age = p.at_.now_ - w.since_;
    auto const age_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(age);
    p.effects_.push_back(log_message{
        what,
        {{"operation", operation},
         {"leader", w.forwarded_->leader_.str()},
         {"age_ms", std::to_string(age_ms.count())}}});
}

void send_again(
    pipeline_context& p, std::string const& operation, operation_waiter& w)
{
    forwarded_request& f = *w.forwarded_;
    f.sent_again_ = true;
    log_forwarded(p, "change sent to the leader again", operation, w);
    p.effects_.push_back(send{{f.leader_, make_copy(f)}});
}

void repeat_answers(pipeline_context& p, host_name const& peer)
{
    std::vector<change_response> const answers =
        answers_since(p.state_.answered_, peer, p.at_.now_ - operation_timeout);
    if (answers.empty())
        return;
    p.effects_.push_back(log_message{
        "a link ended; repeating the latest answers to changes",
        {{"to", peer.str()}, {"answers", std::to_string(answers.size())}}});
    for (change_response const& answer : answers)
        p.effects_.push_back(send{{peer, answer}});
}

void handle_change_response(pipeline_context& p, change_response const& r)
{
    waiter_map& waiters = p.state_.waiters_;
    auto const found = find_forwarded(waiters, r.number_);
    if (found == waiters.end() ||
        !(r.operation_.empty() || r.operation_ == found->first))
        return;
    send_outcome(p, found->first, found->second, r.outcome_);
    waiters.erase(found);
}

// Sends again what the end of a link with `peer` may have lost: the requests
// that it has not answered, and the answers that it may still wait for.
void repeat_after_link_loss(pipeline_context& p, host_name const& peer)
{
    for (auto& waiting : p.state_.waiters_)
    {
        std::optional<forwarded_request> const& f = waiting.second.forwarded_;
        if (f && f->leader_ == peer)
            send_again(p, waiting.first, waiting.second);
    }
    repeat_answers(p, peer);
}

// A request that waited for a link may go over another one. If that is not
// possible either, the leader cannot be reached.
void handle_not_sent(pipeline_context& p, message const& m)
{
    if (!is_operator_request(m))
        return;
    waiter_map& waiters = p.state_.waiters_;
    auto const found = find_forwarded(waiters, number_of(m));
    if (found == waiters.end())
        return;
    if (!found->second.forwarded_->sent_again_)
        return send_again(p, found->first, found->second);
    log_forwarded(
        p, "the leader cannot be reached; outcome of a change unknown",
        found->first, found->second);
    send_outcome(
        p, found->first, found->second,
        unknown_outcome{"the leader cannot be reached"});
    waiters.erase(found);
}

} // namespace

bool is_operator_request(message const& m)
{
    return std::holds_alternative<change_request>(m) ||
           std::holds_alternative<document_request>(m) ||
           std::holds_alternative<resent_document>(m);
}

pipeline_context follow_forwarded_changes(pipeline_context p)
{
    if (change_response const* r = received_message<change_response>(p))
        handle_change_response(p, *r);
    if (link_lost const* l = std::get_if<link_lost>(&p.input_))
        repeat_after_link_loss(p, l->host_);
    if (message_not_sent const* u = std::get_if<message_not_sent>(&p.input_))
        handle_not_sent(p, u->outgoing_.message_);
    return p;
}

} // namespace jackdawhall::control
