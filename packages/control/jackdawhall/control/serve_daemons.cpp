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

// A state of this age or less shows recent contact with a majority.
constexpr duration max_contact_age = std::chrono::seconds(2);
// Within this time of contact a host hears from all that can reach it.
constexpr duration reports_heard = 2 * report_interval;

// Whether a majority has been in contact for so long that hosts that are silent
// to this one are silent to all.
majority_contact contact_of(state const& s, instant now)
{
    bool const lasts =
        s.contact_since_ && now - *s.contact_since_ >= reports_heard;
    return lasts ? majority_contact::recent : majority_contact::unknown;
}

void track_contact(state& s, instant now)
{
    std::optional<duration> const age = state_age(s.consensus_, now);
    if (!age || *age > max_contact_age)
        s.contact_since_.reset();
    else if (!s.contact_since_)
        s.contact_since_ = now;
}

// Whether this host's shares are still its own: others take them over a little
// later, when it has been silent for peer_silence_timeout.
bool holds_shares(state const& s, instant now)
{
    std::optional<duration> const age = state_age(s.consensus_, now);
    return age && with_drift_margin(*age) < local_share_lifetime;
}

// This host's share of an account's rate, of which daemons may hold a part.
host_share
host_share_of(state const& s, account_name const& account, instant now)
{
    return compute_host_share(s.membership_, account, contact_of(s, now), now);
}

std::int64_t to_part(host_share const& share)
{
    return static_cast<std::int64_t>(
        share.fraction_ * static_cast<double>(whole_rate));
}

// The record of an account with a shared rate (schema 3); nullptr if the
// account's rate is not shared.
account_v3 const* find_shared_rate(state const& s, account_name const& account)
{
    auto const held = s.machine_.records_.find({"account", account.str(), 3});
    return held == s.machine_.records_.end()
               ? nullptr
               : std::get_if<account_v3>(&held->second.body_);
}

// A host out of contact with the majority grants only to the daemons attached
// to it: others are granted their tokens by the hosts that they are attached
// to, which may have taken over this host's share.
bool may_grant_to(state const& s, host_name const& daemon, instant now)
{
    return s.membership_.attached_daemons_.contains(daemon) ||
           contact_of(s, now) == majority_contact::recent;
}

// This host's limits for an account; empty if its rate is not shared.
std::optional<bucket_limits>
local_limits(state const& s, account_name const& account, instant now)
{
    account_v3 const* a = find_shared_rate(s, account);
    if (!a)
        return std::nullopt;
    return limits_for_share(
        {a->milli_rate_, a->burst_}, s.tolerance_,
        current_host_share(s, account, now));
}

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

// Withholds the shares of daemons whose contact has ended, and takes back those
// that have ended.
void update_shares(pipeline_context& p)
{
    state& s = p.state_;
    instant const now = p.at_.now_;
    if (now < s.shares_.next_check_)
        return;
    ledger_step step = withhold_silent(std::move(s.shares_), now);
    s.shares_ = std::move(step.state_);
    add_effects(p, std::move(step.effects_));
    refill_local_buckets(s, now);
    s.shares_ = take_back_ended(std::move(s.shares_), now);
}

void take_back_shares(state& s, membership_report const& r, instant now)
{
    if (r.newly_served_.empty())
        return;
    refill_local_buckets(s, now);
    s.shares_ = take_back_from(std::move(s.shares_), r.newly_served_);
}

std::vector<lending_terms>
lending_terms_of(state const& s, renewal_request const& r, instant now)
{
    std::vector<lending_terms> terms;
    for (account_demand const& d : r.demand_)
    {
        account_v3 const* a = find_shared_rate(s, d.account_);
        if (!a)
            continue;
        auto const reported = s.membership_.reported_demand_.find(d.account_);
        bool const known = reported != s.membership_.reported_demand_.end();
        terms.push_back(
            {d.account_, to_part(host_share_of(s, d.account_, now)),
             d.milli_rate_, known ? reported->second : 0});
    }
    return terms;
}

std::vector<local_share>
lend_shares(pipeline_context& p, renewal_request const& r)
{
    state& s = p.state_;
    instant const now = p.at_.now_;
    // The buckets grow with the contact of a daemon that was silent.
    if (is_withheld(s.shares_, r.host_))
        refill_local_buckets(s, now);
    ledger_step noted = note_renewal(std::move(s.shares_), r, now);
    add_effects(p, std::move(noted.effects_));
    lent_step lent = lend_shares(
        std::move(noted.state_), r, lending_terms_of(s, r, now), now);
    s.shares_ = std::move(lent.state_);
    return std::move(lent.lent_);
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
    answer.daemons_ = count_daemons(s.membership_, contact_of(s, now), now);
    answer.local_shares_ = lend_shares(p, r);
    p.effects_.push_back(send{{r.host_, std::move(answer)}});
}

} // namespace

host_share
current_host_share(state const& s, account_name const& account, instant now)
{
    return current_host_share(s, s.shares_, account, now);
}

host_share current_host_share(
    state const& s, share_ledger const& shares, account_name const& account,
    instant now)
{
    host_share share = host_share_of(s, account, now);
    std::int64_t const part =
        holds_shares(s, now)
            ? grantable_part(shares, account, to_part(share), now)
            : 0;
    share.fraction_ =
        static_cast<double>(part) / static_cast<double>(whole_rate);
    return share;
}

pipeline_context distribute_configuration(pipeline_context p)
{
    track_contact(p.state_, p.at_.now_);
    update_shares(p);
    state& s = p.state_;
    if (renewal_request const* r = received_message<renewal_request>(p))
        answer_renewal(p, *r);
    if (confirmation_request const* r =
            received_message<confirmation_request>(p))
    {
        confirmation_response answer =
            confirm_configuration(s.machine_, *r, status_of(s, p.at_.now_));
        answer.membership_incarnation_ = s.membership_.incarnation_;
        p.effects_.push_back(send{{r->host_, std::move(answer)}});
    }
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
    {
        take_back_shares(p.state_, *r, p.at_.now_);
        step = apply_report(std::move(m), *r, p.at_.now_);
    }
    else if (
        membership_request const* w = received_message<membership_request>(p))
        step = send_full_report(std::move(m), *w);
    else
        step = expire_and_report(std::move(m), p.at_.now_);
    m = std::move(step.state_);
    add_effects(p, std::move(step.effects_));
    return p;
}

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
