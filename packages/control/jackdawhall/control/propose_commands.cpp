#include <jackdawhall/control/passage.hpp>

namespace jackdawhall::control
{

namespace
{

void answer(passage& p, asker const& to, change_outcome const& outcome)
{
    if (to.host_)
        p.effects_.push_back(
            send{{*to.host_, change_response{to.number_, outcome}}});
    else
        p.effects_.push_back(answer_operator{to.number_, outcome});
}

// Proposes a command here, or hands what was asked for on to the leader; who
// asked is remembered by the operation.
template <class Command, class Request>
void propose_or_pass_on(
    passage& p, asker const& from, std::string const& operation,
    Command command, Request request)
{
    state& s = p.state_;
    std::optional<host_name> const leader = leader_of(s.consensus_);
    if (is_leader(s.consensus_))
    {
        s.askers_.emplace(operation, from);
        propose_commands(p, {std::move(command)});
    }
    else if (leader && !from.host_)
    {
        s.askers_.emplace(operation, from);
        p.effects_.push_back(send{{*leader, std::move(request)}});
    }
    else
    {
        answer(p, from, unknown_outcome{"no leader among the control hosts"});
    }
}

void take_change(passage& p, asker const& from, change const& wanted)
{
    propose_or_pass_on(
        p, from, wanted.operation_id_, change_command{wanted, p.at_.wall_},
        change_request{
            from.number_, p.state_.consensus_.settings_.self_, wanted});
}

void take_document(passage& p, asker const& from, document const& wanted)
{
    if (std::optional<rejected> const wrong = check_document(wanted))
        return answer(p, from, *wrong);
    propose_or_pass_on(
        p, from, document_operation_id(wanted),
        document_command{wanted, p.at_.wall_},
        document_request{
            from.number_, p.state_.consensus_.settings_.self_, wanted});
}

// The leader's answer to a change that this host handed on.
void take_change_response(passage& p, change_response const& r)
{
    std::multimap<std::string, asker>& askers = p.state_.askers_;
    for (auto found = askers.begin(); found != askers.end(); ++found)
    {
        if (found->second.host_ || found->second.number_ != r.number_)
            continue;
        answer(p, found->second, r.outcome_);
        askers.erase(found);
        return;
    }
}

void give_up_late_askers(passage& p)
{
    std::multimap<std::string, asker>& askers = p.state_.askers_;
    for (auto found = askers.begin(); found != askers.end();)
    {
        if (p.at_.now_ - found->second.since_ < operation_timeout)
        {
            ++found;
            continue;
        }
        answer(
            p, found->second,
            unknown_outcome{"no majority of control hosts answered in time"});
        found = askers.erase(found);
    }
}

void refuse_claim(passage& p, claim_request const& r)
{
    p.effects_.push_back(send{
        {r.holder_,
         claim_response{
             r.id_, r.run_, claim_result::unavailable, {}, r.holder_}}});
}

std::int64_t
recorded_crashes(state_machine const& m, std::string const& suspect)
{
    auto const held = m.records_.find({"suspect", suspect, 1});
    if (held == m.records_.end())
        return 0;
    return std::get<suspect_v1>(held->second.body_).crashes_;
}

change_command record_suspect(
    state_machine const& m, std::string const& suspect,
    crash_count const& count, wall_time wall)
{
    record_key const key{"suspect", suspect, 1};
    auto const held = m.records_.find(key);
    revision const expected =
        held == m.records_.end() ? 0 : held->second.revision_;
    suspect_v1 const body{
        static_cast<std::int64_t>(count.servers_.size()),
        (wall + suspect_lifetime).time_since_epoch().count()};
    std::string const operation = "suspect-" + suspect + "-" +
                                  std::to_string(body.crashes_) + "-" +
                                  std::to_string(expected);
    return {{operation, "crash reports", {{key, expected, body}}}, wall};
}

} // namespace

passage propose_operator_changes(passage p)
{
    if (operator_change const* o = std::get_if<operator_change>(&p.input_))
        take_change(p, {std::nullopt, o->number_, p.at_.now_}, o->change_);
    if (change_request const* r = received_as<change_request>(p))
        take_change(p, {r->requester_, r->number_, p.at_.now_}, r->change_);
    if (operator_document const* o = std::get_if<operator_document>(&p.input_))
        take_document(p, {std::nullopt, o->number_, p.at_.now_}, o->document_);
    if (document_request const* r = received_as<document_request>(p))
        take_document(p, {r->requester_, r->number_, p.at_.now_}, r->document_);
    if (change_response const* r = received_as<change_response>(p))
        take_change_response(p, *r);
    if (std::holds_alternative<timer_expired>(p.input_))
        give_up_late_askers(p);
    return p;
}

passage propose_claims(passage p)
{
    bool const leads = is_leader(p.state_.consensus_);
    if (claim_request const* r = received_as<claim_request>(p))
    {
        if (leads)
            propose_commands(
                p,
                {claim_command{
                    r->id_, r->body_hash_, r->run_, r->holder_, p.at_.wall_}});
        else
            refuse_claim(p, *r);
    }
    if (claim_release const* r = received_as<claim_release>(p); r && leads)
        propose_commands(p, {release_command{r->id_, r->run_, r->holder_}});
    return p;
}

passage count_crashes(passage p)
{
    crash_report const* report = received_as<crash_report>(p);
    if (!report || !is_leader(p.state_.consensus_))
        return p;
    for (std::string const& suspect : report->suspects_)
    {
        crash_count& count = p.state_.crashes_[suspect];
        count.servers_.insert({report->host_, report->server_id_});
        count.last_ = p.at_.now_;
    }
    std::erase_if(
        p.state_.crashes_, [&](auto const& count)
        { return p.at_.now_ - count.second.last_ > suspect_lifetime; });
    return p;
}

namespace
{

// Removes the first suspect that has expired; the next one at the next beat.
void remove_expired_suspect(passage& p)
{
    std::map<record_key, record> const& records = p.state_.machine_.records_;
    std::int64_t const now = p.at_.wall_.time_since_epoch().count();
    auto held = records.lower_bound({"suspect", "", 0});
    for (; held != records.end() && held->first.kind_ == "suspect"; ++held)
    {
        suspect_v1 const* s = std::get_if<suspect_v1>(&held->second.body_);
        if (!s || s->expires_ms_ >= now)
            continue;
        revision const expected = held->second.revision_;
        std::string const operation =
            "suspect-expired-" + std::to_string(expected);
        return propose_commands(
            p, {change_command{
                   {operation,
                    "crash reports",
                    {{held->first, expected, std::nullopt}}},
                   p.at_.wall_}});
    }
}

} // namespace

passage record_suspects(passage p)
{
    if (!is_leader(p.state_.consensus_))
        return p;
    for (apply_result const& outcome : p.applied_)
    {
        change_applied const* c = std::get_if<change_applied>(&outcome);
        for (auto& counted : p.state_.crashes_)
        {
            if (c && counted.second.pending_ == c->operation_id_)
                counted.second.pending_.clear();
        }
    }
    std::vector<command> commands;
    for (auto& [suspect, count] : p.state_.crashes_)
    {
        if (!count.pending_.empty() ||
            recorded_crashes(p.state_.machine_, suspect) >=
                static_cast<std::int64_t>(count.servers_.size()))
            continue;
        change_command c =
            record_suspect(p.state_.machine_, suspect, count, p.at_.wall_);
        count.pending_ = c.change_.operation_id_;
        commands.push_back(std::move(c));
    }
    propose_commands(p, std::move(commands));
    if (std::holds_alternative<timer_expired>(p.input_))
        remove_expired_suspect(p);
    return p;
}

passage answer_askers(passage p)
{
    bool const leads = is_leader(p.state_.consensus_);
    for (apply_result const& outcome : p.applied_)
    {
        if (change_applied const* c = std::get_if<change_applied>(&outcome))
        {
            auto const range = p.state_.askers_.equal_range(c->operation_id_);
            for (auto found = range.first; found != range.second; ++found)
                answer(p, found->second, c->outcome_);
            p.state_.askers_.erase(range.first, range.second);
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

passage follow_leadership(passage p)
{
    state& s = p.state_;
    if (p.became_leader_)
        s.allocation_ = start_allocation(
            std::move(s.allocation_), s.consensus_.random_.next() >> 1,
            p.at_.now_);
    else if (s.allocation_.ready_ && !is_leader(s.consensus_))
        s.allocation_ = stop_allocation(std::move(s.allocation_));
    if (!is_leader(s.consensus_))
        s.crashes_.clear();
    return p;
}

} // namespace jackdawhall::control
