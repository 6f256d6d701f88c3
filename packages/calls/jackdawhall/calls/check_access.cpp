// Filters that check a request against the configuration: route, freshness, API
// key, quarantine.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr duration lease_retry_after = std::chrono::seconds(1);

std::string presented_key_text(headers const& fields)
{
    static constexpr std::string_view bearer = "Bearer ";
    std::string const own = find_header(fields, key_header);
    if (!own.empty())
        return own;
    std::string const standard = find_header(fields, "authorization");
    return standard.starts_with(bearer) ? standard.substr(bearer.size())
                                        : std::string{};
}

// Selects a service at random by weight; returns an empty name if the weights
// add up to 0.
service_name
choose_service(std::vector<weighted_service> const& services, random_source& r)
{
    std::int64_t total = 0;
    for (weighted_service const& s : services)
        total += s.weight_;
    if (total <= 0)
        return {};
    auto at =
        static_cast<std::int64_t>(r.below(static_cast<std::uint64_t>(total)));
    for (weighted_service const& s : services)
    {
        at -= s.weight_;
        if (at < 0)
            return s.service_;
    }
    return {};
}

// Whether an operator has configured the fleet as far as this daemon knows. A
// fleet that has just begun confirms its empty state too, in which no path has
// a route yet.
bool knows_configuration(configuration const& c)
{
    return c.fresh_until_ && (!c.routes_.empty() || c.limits_);
}

// Returns the rank of a root call. Routes that limit the attempts belong to
// schema 2, whose open routes carry the calls that backend servers make while
// they run a request. That work has already started, so it takes precedence.
rank initial_rank(route const& r)
{
    if (r.attempts_ == 0)
        return r.rank_;
    return r.open_ ? rank{0} : rank_of_new_work(r.rank_);
}

} // namespace

rank rank_of_new_work(rank r)
{
    return std::min<rank>(lowest_rank, r + 1);
}

pipeline_context find_call_route(pipeline_context p)
{
    if (!knows_configuration(p.state_->configuration_))
        return refuse(
            std::move(p), refusal_reason::no_fresh_configuration,
            lease_retry_after);
    request const& r = p.call_.request_;
    route const* found = find_route(
        p.state_->configuration_, r.method_, virtual_host_of(r), r.path_);
    if (!found)
        return refuse(std::move(p), refusal_reason::no_route);
    entry_call& c = p.call_;
    c.service_ = choose_service(found->services_, p.state_->random_);
    c.open_ = found->open_;
    // Calls on open routes come from the backend server on this host. The gate
    // compares their number with its runs to report whether the server makes
    // calls.
    p.state_->local_server_calls_ += found->open_ ? 1 : 0;
    c.max_servers_reached_ = found->attempts_;
    c.context_.repeatable_ = found->repetition_ == repetition::repeatable;
    c.context_.objective_ = found->objective_;
    c.needs_idempotency_key_ = found->repetition_ == repetition::once_per_key;
    instant const latest = c.created_at_ + found->timeout_;
    c.deadline_ = c.parent_ ? std::min(c.deadline_, latest) : latest;
    if (!c.parent_)
    {
        c.context_.rank_ = initial_rank(*found);
        c.context_.route_rank_ = c.context_.rank_;
    }
    // An open route needs neither an API key nor a freshness lease.
    if (!c.parent_ && c.open_)
        c.context_.account_ = account_name{};
    return p;
}

pipeline_context check_configuration_freshness(pipeline_context p)
{
    bool const admitted_before = p.call_.parent_.has_value();
    if (admitted_before || is_fresh(p.state_->configuration_, p.at_.now_) ||
        p.call_.open_)
        return p;
    return refuse(
        std::move(p), refusal_reason::no_fresh_configuration,
        lease_retry_after);
}

namespace
{

pipeline_context set_account(pipeline_context p, account_name const& owner)
{
    auto const known = p.state_->configuration_.accounts_.find(owner);
    if (known == p.state_->configuration_.accounts_.end())
        return refuse(std::move(p), refusal_reason::key_unknown);
    p.call_.context_.account_ = owner;
    if (known->second.rank_)
        p.call_.context_.rank_ = rank_of_new_work(*known->second.rank_);
    return p;
}

} // namespace

pipeline_context authenticate(pipeline_context p)
{
    if (p.call_.open_)
        return p;
    if (p.call_.parent_)
    {
        if (p.call_.context_.account_.empty())
            return refuse(std::move(p), refusal_reason::key_missing);
        return p;
    }
    std::string const text = presented_key_text(p.call_.request_.headers_);
    if (text.empty())
        return refuse(std::move(p), refusal_reason::key_missing);
    if (account_name const* owner =
            find_account(p.state_->configuration_, text))
        return set_account(std::move(p), *owner);
    std::optional<presented_key> const key = parse_key(text);
    key_v1 const* known =
        key ? find_key(p.state_->configuration_, *key) : nullptr;
    if (known && known->withdrawn_)
        return refuse(std::move(p), refusal_reason::key_withdrawn);
    if (!known || !equal_in_constant_time(
                      hash_secret(key->secret_, known->salt_), known->hash_))
        return refuse(std::move(p), refusal_reason::key_unknown);
    return set_account(std::move(p), known->account_);
}

pipeline_context check_quarantine(pipeline_context p)
{
    std::int64_t const crashes =
        crash_count(p.state_->configuration_, p.call_.suspect_, p.at_.wall_);
    if (crashes >= quarantine_crash_threshold)
        return refuse(std::move(p), refusal_reason::quarantined);
    return p;
}

} // namespace jackdawhall::calls
