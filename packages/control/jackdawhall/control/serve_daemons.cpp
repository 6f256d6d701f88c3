#include <jackdawhall/control/passage.hpp>

#include <iterator>

namespace jackdawhall::control
{

namespace
{

void add_effects(passage& p, effects more)
{
    std::move(more.begin(), more.end(), std::back_inserter(p.effects_));
}

void answer_renewal(passage& p, renewal_request const& r)
{
    state& s = p.state_;
    instant const now = p.at_.now_;
    s.membership_ = take_announcement(std::move(s.membership_), r, now);
    knowledge const known{
        state_age(s.consensus_, now),
        leader_of(s.consensus_).value_or(host_name{})};
    auto [renewed, answer] =
        renew_lease(std::move(s.distribution_), s.machine_, r, known, now);
    s.distribution_ = std::move(renewed);
    answer.membership_version_ = s.membership_.version_;
    answer.services_ = changed_services(s.membership_, r);
    answer.control_hosts_ = live_control_hosts(s.membership_, now);
    answer.daemons_ = count_daemons(s.membership_, now);
    p.effects_.push_back(send{{r.host_, std::move(answer)}});
}

// The part of an account's shared rate that this host gives out; nothing if
// its rate is not shared.
std::optional<account_limits>
shared_limits(state const& s, account_name const& account, instant now)
{
    auto const held = s.machine_.records_.find({"account", account.str(), 3});
    if (held == s.machine_.records_.end())
        return std::nullopt;
    account_v3 const* a = std::get_if<account_v3>(&held->second.body_);
    if (!a)
        return std::nullopt;
    return part_of(
        {a->milli_rate_, a->burst_}, s.tolerance_,
        part_of_host(s.membership_, account, now));
}

} // namespace

passage distribute(passage p)
{
    state& s = p.state_;
    if (renewal_request const* r = received_as<renewal_request>(p))
        answer_renewal(p, *r);
    distribution_step step =
        push_changes(std::move(s.distribution_), s.machine_, p.at_.now_);
    s.distribution_ = std::move(step.state_);
    add_effects(p, std::move(step.effects_));
    return p;
}

passage exchange_membership(passage p)
{
    membership& m = p.state_.membership_;
    if (p.state_.consensus_.settings_.allow_unlisted_hosts_)
    {
        std::set<host_name> others = serving_hosts(p.state_.consensus_);
        others.erase(m.self_);
        m.others_.assign(others.begin(), others.end());
    }
    membership_step step;
    if (membership_report const* r = received_as<membership_report>(p))
        step = take_report(std::move(m), *r, p.at_.now_);
    else if (membership_request const* w = received_as<membership_request>(p))
        step = report_whole(std::move(m), *w);
    else
        step = pass_time(std::move(m), p.at_.now_);
    m = std::move(step.state_);
    add_effects(p, std::move(step.effects_));
    return p;
}

namespace
{

void tend_parts(state& s, instant now)
{
    auto held = s.machine_.records_.lower_bound({"account", "", 0});
    for (; held != s.machine_.records_.end() && held->first.kind_ == "account";
         ++held)
    {
        leaf::result<account_name> const name =
            account_name::make(held->first.name_);
        if (!name)
            continue;
        if (std::optional<account_limits> const part =
                shared_limits(s, name.value(), now))
            s.allocation_ =
                tend_part(std::move(s.allocation_), name.value(), *part, now);
    }
}

} // namespace

passage grant_tokens(passage p)
{
    if (std::holds_alternative<timer_expired>(p.input_))
        tend_parts(p.state_, p.at_.now_);
    grant_request const* r = received_as<grant_request>(p);
    if (!r)
        return p;
    state& s = p.state_;
    std::optional<account_limits> const part =
        shared_limits(s, r->account_, p.at_.now_);
    allocation_step step =
        part ? allocate_part(std::move(s.allocation_), *part, *r, p.at_.now_)
             : allocate(
                   std::move(s.allocation_), s.machine_, *r,
                   holds_lease(s.consensus_, p.at_.now_), p.at_.now_);
    s.allocation_ = std::move(step.state_);
    if (step.response_)
        p.effects_.push_back(send{{r->host_, std::move(*step.response_)}});
    return p;
}

} // namespace jackdawhall::control
