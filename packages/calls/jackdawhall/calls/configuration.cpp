#include <jackdawhall/calls/configuration.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

std::optional<account> to_account(record_body const& body)
{
    return std::visit(
        overloaded{
            [](account_v1 const& a) -> std::optional<account> {
                return account{a.milli_rate_, a.burst_};
            },
            [](account_v2 const& a) -> std::optional<account> {
                return account{a.milli_rate_, a.burst_, a.retry_percent_};
            },
            [](account_v3 const& a) -> std::optional<account> {
                return account{
                    a.milli_rate_, a.burst_, 0, a.rank_, shared_rate{}};
            },
            [](auto const&) -> std::optional<account> { return std::nullopt; },
        },
        body);
}

std::optional<route> to_route(std::string const& name, record_body const& body)
{
    return std::visit(
        overloaded{
            [&](route_v1 const& r) -> std::optional<route>
            {
                route converted;
                converted.name_ = name;
                converted.method_ = r.method_;
                converted.path_prefix_ = r.path_prefix_;
                converted.services_ = {{r.service_, 1}};
                converted.rank_ = r.rank_;
                converted.open_ = r.open_;
                converted.repetition_ = r.repeatable_
                                            ? repetition::repeatable
                                            : repetition::once_per_key;
                converted.timeout_ = std::chrono::milliseconds(r.timeout_ms_);
                return converted;
            },
            [&](route_v2 const& r) -> std::optional<route>
            {
                route converted;
                converted.name_ = name;
                converted.virtual_host_ = r.virtual_host_;
                converted.path_prefix_ = r.path_prefix_;
                converted.services_ = r.services_;
                converted.rank_ = r.rank_;
                converted.open_ = r.open_;
                converted.repetition_ = r.repetition_;
                converted.timeout_ = std::chrono::milliseconds(r.timeout_ms_);
                converted.objective_ =
                    std::chrono::milliseconds(r.objective_ms_);
                converted.attempts_ = static_cast<std::uint32_t>(r.attempts_);
                return converted;
            },
            [](auto const&) -> std::optional<route> { return std::nullopt; },
        },
        body);
}

// Adds what a record defines to the derived members. The records of a name come
// in ascending order of schema, so that an account in a newer schema replaces
// the same account in an older one.
void add_derived(configuration& c, record const& r)
{
    if (r.key_.schema_ > c.newest_schema_ ||
        std::holds_alternative<unknown_record>(r.body_))
    {
        ++c.unused_records_;
        return;
    }
    if (std::optional<route> converted = to_route(r.key_.name_, r.body_))
        c.routes_.push_back(std::move(*converted));
    if (key_v2 const* key = std::get_if<key_v2>(&r.body_))
        c.account_of_key_hash_.emplace(r.key_.name_, key->account_);
    if (limits_v1 const* limits = std::get_if<limits_v1>(&r.body_))
        c.limits_ = *limits;
    std::optional<account> const a = to_account(r.body_);
    leaf::result<account_name> name = account_name::make(r.key_.name_);
    if (a && name)
        c.accounts_.insert_or_assign(name.value(), *a);
}

void rebuild_derived(configuration& c)
{
    c.routes_.clear();
    c.accounts_.clear();
    c.account_of_key_hash_.clear();
    c.limits_.reset();
    c.unused_records_ = 0;
    for (auto const& held : c.records_)
        add_derived(c, held.second);
    std::stable_sort(
        c.routes_.begin(), c.routes_.end(),
        [](route const& left, route const& right)
        {
            if (left.path_prefix_.size() != right.path_prefix_.size())
                return left.path_prefix_.size() > right.path_prefix_.size();
            return !left.method_.empty() && right.method_.empty();
        });
}

// Records of these kinds are looked up by their names: nothing is derived from
// them.
bool is_derived_from(record_key const& key)
{
    return key.kind_ != "departure" && key.kind_ != "suspect";
}

bool changes_derived(configuration_update const& update)
{
    auto const by_key = [](auto const& changed)
    { return is_derived_from(changed.key_); };
    return update.full_ ||
           std::any_of(
               update.records_.begin(), update.records_.end(), by_key) ||
           std::any_of(
               update.removals_.begin(), update.removals_.end(), by_key);
}

bool matches_prefix(route const& r, std::string const& path)
{
    std::string const& prefix = r.path_prefix_;
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' ||
           path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

} // namespace

configuration apply_update(configuration c, configuration_update const& update)
{
    if (update.to_ <= c.revision_ ||
        (!update.full_ && update.from_ > c.revision_))
        return c;
    if (update.full_)
        c.records_.clear();
    for (removal const& removed : update.removals_)
    {
        auto const held = c.records_.find(removed.key_);
        if (held != c.records_.end() &&
            held->second.revision_ < removed.revision_)
            c.records_.erase(held);
    }
    for (record const& r : update.records_)
        c.records_.insert_or_assign(r.key_, r);
    c.revision_ = update.to_;
    if (changes_derived(update))
        rebuild_derived(c);
    return c;
}

configuration
extend_lease(configuration c, confirmation const& by, duration lease)
{
    duration const length = lease - lease / clock_drift_divisor;
    instant const complete_at = by.sent_at_ - by.age_;
    instant const until = complete_at + length;
    if (!c.complete_at_ || *c.complete_at_ < complete_at)
        c.complete_at_ = complete_at;
    if (!c.fresh_until_ || *c.fresh_until_ < until)
        c.fresh_until_ = until;
    return c;
}

bool is_fresh(configuration const& c, instant now)
{
    return c.fresh_until_ && now < *c.fresh_until_;
}

route const* find_route(
    configuration const& c, std::string const& method,
    std::string const& virtual_host, std::string const& path)
{
    auto const found = std::find_if(
        c.routes_.begin(), c.routes_.end(),
        [&](route const& r)
        {
            return (r.method_.empty() || r.method_ == method) &&
                   (r.virtual_host_.empty() ||
                    r.virtual_host_ == virtual_host) &&
                   matches_prefix(r, path);
        });
    return found == c.routes_.end() ? nullptr : &*found;
}

account_name const*
find_account(configuration const& c, std::string const& key_text)
{
    auto const known = c.account_of_key_hash_.find(fingerprint(key_text));
    return known == c.account_of_key_hash_.end() ? nullptr : &known->second;
}

key_v1 const* find_key(configuration const& c, presented_key const& key)
{
    std::string const name = key.account_.str() + "/" + key.key_.str();
    auto const held = c.records_.find({"key", name, 1});
    return held == c.records_.end() ? nullptr
                                    : std::get_if<key_v1>(&held->second.body_);
}

bool is_service_draining(configuration const& c, service_name const& service)
{
    auto const held = c.records_.find({"service", service.str(), 1});
    if (held == c.records_.end())
        return false;
    service_v1 const* s = std::get_if<service_v1>(&held->second.body_);
    return s && s->draining_;
}

departure_v1 const* find_departure(
    configuration const& c, host_name const& host, std::string const& server_id)
{
    auto const held =
        c.records_.find({"departure", departure_name(host, server_id), 1});
    return held == c.records_.end()
               ? nullptr
               : std::get_if<departure_v1>(&held->second.body_);
}

std::int64_t
crash_count(configuration const& c, std::string const& suspect, wall_time wall)
{
    auto const held = c.records_.find({"suspect", suspect, 1});
    if (held == c.records_.end())
        return 0;
    suspect_v1 const* s = std::get_if<suspect_v1>(&held->second.body_);
    if (!s || wall.time_since_epoch().count() >= s->expires_ms_)
        return 0;
    return s->crashes_;
}

} // namespace jackdawhall::calls
