#include <jackdawhall/control/pipeline_context.hpp>

#include <iterator>

namespace jackdawhall::control
{

namespace
{

void add_effects(pipeline_context& p, effects more)
{
    std::move(more.begin(), more.end(), std::back_inserter(p.effects_));
}

replica_status status_of(state const& s, instant now)
{
    return {
        state_age(s.consensus_, now),
        leader_of(s.consensus_).value_or(host_name{})};
}

void answer_renewal(pipeline_context& p, renewal_request const& r)
{
    state& s = p.state_;
    instant const now = p.at_.now_;
    s.membership_ = apply_announcement(std::move(s.membership_), r, now);
    auto [renewed, answer] = renew_lease(
        std::move(s.distribution_), s.machine_, r, status_of(s, now), now);
    s.distribution_ = std::move(renewed);
    answer.membership_version_ = s.membership_.version_;
    answer.membership_incarnation_ = s.membership_.incarnation_;
    answer.services_ = changed_services(s.membership_, r);
    answer.control_hosts_ = live_control_hosts(s.membership_, now);
    answer.daemons_ = count_daemons(s.membership_, now);
    p.effects_.push_back(send{{r.host_, std::move(answer)}});
}

// A state of this age or less shows recent contact with a majority.
constexpr duration max_contact_age = std::chrono::seconds(2);

majority_contact contact_of(state const& s, instant now)
{
    std::optional<duration> const age = state_age(s.consensus_, now);
    return age && *age <= max_contact_age ? majority_contact::recent
                                          : majority_contact::unknown;
}

// A host out of contact with the majority grants only to the daemons attached
// to it: others are granted their tokens by the hosts that they are attached
// to, which may have taken over this host's share.
bool may_grant_to(state const& s, host_name const& daemon, instant now)
{
    return s.membership_.attached_daemons_.contains(daemon) ||
           contact_of(s, now) == majority_contact::recent;
}

// This host's limits for an account with a shared rate (schema 3); empty if the
// account's rate is not shared.
std::optional<bucket_limits>
local_limits(state const& s, account_name const& account, instant now)
{
    auto const held = s.machine_.records_.find({"account", account.str(), 3});
    if (held == s.machine_.records_.end())
        return std::nullopt;
    account_v3 const* a = std::get_if<account_v3>(&held->second.body_);
    if (!a)
        return std::nullopt;
    return limits_for_share(
        {a->milli_rate_, a->burst_}, s.tolerance_,
        current_host_share(s, account, now));
}

} // namespace

host_share
current_host_share(state const& s, account_name const& account, instant now)
{
    return compute_host_share(s.membership_, account, contact_of(s, now), now);
}

pipeline_context distribute_configuration(pipeline_context p)
{
    state& s = p.state_;
    if (renewal_request const* r = received_message<renewal_request>(p))
        answer_renewal(p, *r);
    if (confirmation_request const* r =
            received_message<confirmation_request>(p))
        p.effects_.push_back(send{
            {r->host_,
             confirm_configuration(s.machine_, *r, status_of(s, p.at_.now_))}});
    distribution_step step =
        push_changes(std::move(s.distribution_), s.machine_, p.at_.now_);
    s.distribution_ = std::move(step.state_);
    add_effects(p, std::move(step.effects_));
    return p;
}

pipeline_context exchange_membership(pipeline_context p)
{
    membership& m = p.state_.membership_;
    if (p.state_.consensus_.settings_.allow_unlisted_hosts_)
    {
        std::set<host_name> others = serving_hosts(p.state_.consensus_);
        others.erase(m.self_);
        m.peer_hosts_.assign(others.begin(), others.end());
    }
    membership_step step;
    if (membership_report const* r = received_message<membership_report>(p))
        step = apply_report(std::move(m), *r, p.at_.now_);
    else if (
        membership_request const* w = received_message<membership_request>(p))
        step = send_full_report(std::move(m), *w);
    else
        step = expire_and_report(std::move(m), p.at_.now_);
    m = std::move(step.state_);
    add_effects(p, std::move(step.effects_));
    return p;
}

namespace
{

void refill_local_buckets(state& s, instant now)
{
    auto held = s.machine_.records_.lower_bound({"account", "", 0});
    for (; held != s.machine_.records_.end() && held->first.kind_ == "account";
         ++held)
    {
        leaf::result<account_name> const name =
            account_name::make(held->first.name_);
        if (!name)
            continue;
        if (std::optional<bucket_limits> const limits =
                local_limits(s, name.value(), now))
            s.allocator_ = refill_local_bucket(
                std::move(s.allocator_), name.value(), *limits, now);
    }
}

} // namespace

pipeline_context grant_tokens(pipeline_context p)
{
    if (std::holds_alternative<timer_expired>(p.input_))
        refill_local_buckets(p.state_, p.at_.now_);
    grant_request const* r = received_message<grant_request>(p);
    if (!r)
        return p;
    state& s = p.state_;
    std::optional<bucket_limits> const limits =
        local_limits(s, r->account_, p.at_.now_);
    if (limits && r->number_ != 0 && !may_grant_to(s, r->host_, p.at_.now_))
    {
        p.effects_.push_back(send{{r->host_, no_tokens(*r)}});
        return p;
    }
    allocator_step step =
        limits ? allocate_from_local_bucket(
                     std::move(s.allocator_), *limits, *r, p.at_.now_)
               : allocate_from_leader_bucket(
                     std::move(s.allocator_), s.machine_, *r,
                     holds_lease(s.consensus_, p.at_.now_), p.at_.now_);
    s.allocator_ = std::move(step.state_);
    if (step.response_)
        p.effects_.push_back(send{{r->host_, std::move(*step.response_)}});
    return p;
}

} // namespace jackdawhall::control
