// Filters that ask the configuration: route, freshness, key and suspects.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr duration lease_retry = std::chrono::seconds(1);

std::string presented_text(headers const& fields)
{
    static constexpr std::string_view bearer = "Bearer ";
    std::string const own = find_header(fields, key_header);
    if (!own.empty())
        return own;
    std::string const standard = find_header(fields, "authorization");
    return standard.starts_with(bearer) ? standard.substr(bearer.size())
                                        : std::string{};
}

} // namespace

passage find_call_route(passage p)
{
    if (!p.state_.configuration_.fresh_until_)
        return refuse(
            std::move(p), refusal_reason::no_fresh_configuration, lease_retry);
    request const& r = p.call_.request_;
    route const* found =
        find_route(p.state_.configuration_, r.method_, r.path_);
    if (!found)
        return refuse(std::move(p), refusal_reason::no_route);
    entry_call& c = p.call_;
    route_v1 const& rule = found->rule_;
    c.service_ = rule.service_;
    c.context_.repeatable_ = rule.repeatable_;
    instant const latest =
        c.since_ + std::chrono::milliseconds(rule.timeout_ms_);
    c.deadline_ = c.parent_ ? std::min(c.deadline_, latest) : latest;
    if (!c.parent_)
        c.context_.rank_ = rule.rank_;
    if (!rule.open_)
        return p;
    // An open route needs neither a key nor a lease.
    if (!c.parent_)
        c.context_.account_ = account_name{};
    return p;
}

namespace
{

bool is_open(passage const& p)
{
    request const& r = p.call_.request_;
    route const* found =
        find_route(p.state_.configuration_, r.method_, r.path_);
    return found && found->rule_.open_;
}

} // namespace

passage check_freshness(passage p)
{
    bool const admitted_before = p.call_.parent_.has_value();
    if (admitted_before || is_fresh(p.state_.configuration_, p.at_.now_) ||
        is_open(p))
        return p;
    return refuse(
        std::move(p), refusal_reason::no_fresh_configuration, lease_retry);
}

passage authenticate(passage p)
{
    if (is_open(p))
        return p;
    if (p.call_.parent_)
    {
        if (p.call_.context_.account_.empty())
            return refuse(std::move(p), refusal_reason::key_missing);
        return p;
    }
    std::string const text = presented_text(p.call_.request_.headers_);
    if (text.empty())
        return refuse(std::move(p), refusal_reason::key_missing);
    std::optional<presented_key> const key = parse_key(text);
    key_v1 const* known =
        key ? find_key(p.state_.configuration_, *key) : nullptr;
    if (known && known->withdrawn_)
        return refuse(std::move(p), refusal_reason::key_withdrawn);
    if (!known || !equal_in_constant_time(
                      hash_secret(key->secret_, known->salt_), known->hash_))
        return refuse(std::move(p), refusal_reason::key_unknown);
    if (!p.state_.configuration_.accounts_.contains(known->account_))
        return refuse(std::move(p), refusal_reason::key_unknown);
    p.call_.context_.account_ = known->account_;
    return p;
}

passage check_suspect(passage p)
{
    std::int64_t const crashes =
        crashes_of(p.state_.configuration_, p.call_.suspect_, p.at_.wall_);
    if (crashes >= quarantine_crashes)
        return refuse(std::move(p), refusal_reason::quarantined);
    return p;
}

} // namespace jackdawhall::calls
