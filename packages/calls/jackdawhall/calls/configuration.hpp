// Configuration as applied by a daemon: each record in the newest schema that
// the daemon supports, a revision that never decreases, and the freshness
// lease.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

// Routes that need a key are not served from a configuration older than this. A
// change takes effect everywhere within this time after it was accepted,
// because by then every daemon has either received it or lost its lease.
inline constexpr duration freshness_lease = std::chrono::seconds(5);

// Newest record schema that this program supports.
inline constexpr std::uint32_t newest_known_schema = 3;

struct route
{
    std::string name_;
    std::string method_;       // empty: every method
    std::string virtual_host_; // empty: every host
    std::string path_prefix_;
    std::vector<weighted_service> services_;
    rank rank_ = lowest_rank;
    bool open_ = false; // needs no key
    repetition repetition_ = repetition::once_per_key;
    duration timeout_{0};
    duration objective_{0}; // 0: none
    // Most servers that one attempt of the caller may reach; 0: unlimited.
    std::uint32_t attempts_ = 0;
    auto operator<=>(route const&) const = default;
};

// How an account's rate is enforced across the fleet.
struct granted_rate // the leader of the control hosts grants tokens
{
    auto operator<=>(granted_rate const&) const = default;
};
struct shared_rate // each control host grants a part, sized by demand
{
    auto operator<=>(shared_rate const&) const = default;
};
using rate_policy = std::variant<granted_rate, shared_rate>;

struct account
{
    std::int64_t milli_rate_ = 0; // in thousandths of a call per second
    std::int64_t burst_ = 0;
    std::int64_t retry_percent_ = 10;
    std::optional<rank> rank_; // overrides the rank of the route
    rate_policy rate_policy_ = granted_rate{};
    auto operator<=>(account const&) const = default;
};

struct configuration
{
    // Records in a newer schema are kept but not applied.
    std::uint32_t newest_schema_ = newest_known_schema;
    revision revision_ = 0;
    std::map<record_key, record> records_;
    std::optional<instant> fresh_until_; // nullopt: never had a lease
    // What was accepted before this instant is applied; nullopt: not known.
    std::optional<instant> complete_at_;
    // Derived from records_.
    // Longest path prefix first, then those that name a method.
    std::vector<route> routes_;
    std::map<account_name, account> accounts_;
    std::map<std::string, account_name>
        account_of_key_hash_; // by fingerprint of the key text
    std::optional<limits_v1> limits_;
    // Records that are unknown or in a schema newer than newest_schema_.
    std::size_t unused_records_ = 0;
    auto operator<=>(configuration const&) const = default;
};

// Applies an update. Ignores one that does not raise the revision, and a
// partial one that starts after the current revision.
configuration apply_update(configuration c, configuration_update const& update);

// A control host's statement that its state was complete `age_` before it
// answered a message that this daemon sent at `sent_at_`.
struct confirmation
{
    instant sent_at_;
    duration age_{0};
    auto operator<=>(confirmation const&) const = default;
};

// Extends the lease, which counts from when the confirmed state was complete.
// It is shortened by the maximum clock drift.
configuration
extend_lease(configuration c, confirmation const& by, duration lease);

bool is_fresh(configuration const& c, instant now);

// Route that matches a request; nullptr if none does.
route const* find_route(
    configuration const& c, std::string const& method,
    std::string const& virtual_host, std::string const& path);

// Account of a schema 2 key, by its full text; nullptr if the key is unknown.
account_name const*
find_account(configuration const& c, std::string const& key_text);

// Schema 1 record of a key; nullptr if the key is unknown.
key_v1 const* find_key(configuration const& c, presented_key const& key);

bool is_service_draining(configuration const& c, service_name const& service);

// Record of the departure of a server; nullptr if there is none.
departure_v1 const* find_departure(
    configuration const& c, host_name const& host,
    std::string const& server_id);

// Crashes attributed to a request, by its fingerprint; 0 once they have
// expired.
std::int64_t
crash_count(configuration const& c, std::string const& suspect, wall_time wall);

} // namespace jackdawhall::calls
