// The configuration as a daemon uses it: records in their newest schema that
// this daemon knows, revisions that only go forward, and the freshness lease.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <optional>
#include <variant>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

// Knowledge older than this is not acted on for routes that need a key. A
// change is in force everywhere at most this long after it was accepted, since
// by then a daemon has learnt of it or lost its lease.
inline constexpr duration freshness_lease = std::chrono::seconds(5);

// Newest schema of any record that this program knows.
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
    duration objective_{0};      // 0: none
    std::uint32_t attempts_ = 0; // servers that one attempt may reach; 0: any
    auto operator<=>(route const&) const = default;
};

// How an account's rate is held over the whole fleet.
struct granted_rate // token by token, by the control hosts
{
    auto operator<=>(granted_rate const&) const = default;
};
struct shared_rate // in parts that follow the demand
{
    auto operator<=>(shared_rate const&) const = default;
};
using rate_policy = std::variant<granted_rate, shared_rate>;

struct account
{
    std::int64_t milli_rate_ = 0;
    std::int64_t burst_ = 0;
    std::int64_t retry_percent_ = 10;
    std::optional<rank> rank_; // goes before the rank of a route
    rate_policy policy_ = granted_rate{};
    auto operator<=>(account const&) const = default;
};

struct configuration
{
    std::uint32_t newest_schema_ = newest_known_schema; // that is used
    revision revision_ = 0;
    std::map<record_key, record> records_;
    std::optional<instant> fresh_until_; // nothing: never was fresh
    // Derived from records_.
    std::vector<route> routes_; // longest path prefix first
    std::map<account_name, account> accounts_;
    std::map<std::string, account_name> keys_; // by the hash of their text
    std::optional<limits_v1> limits_;
    std::size_t unused_ = 0; // records in a schema not known here
    auto operator<=>(configuration const&) const = default;
};

// Takes an update; one that would go back is ignored.
configuration apply_update(configuration c, configuration_update const& update);

// Takes the lease in a renewal's answer. The control host's knowledge was
// complete `age_` before it answered, which was after `stamp_` was sent.
configuration
take_lease(configuration c, renewal_response const& answer, duration lease);

bool is_fresh(configuration const& c, instant now);

// Route for a request; nothing if there is none.
route const* find_route(
    configuration const& c, std::string const& method,
    std::string const& virtual_host, std::string const& path);

// Account of a key of schema 2, by its whole text; nothing if there is none.
account_name const*
find_account(configuration const& c, std::string const& key_text);

key_v1 const* find_key(configuration const& c, presented_key const& key);

bool is_service_draining(configuration const& c, service_name const& service);

// Crashes held against a request, by its fingerprint.
std::int64_t
crashes_of(configuration const& c, std::string const& suspect, wall_time wall);

} // namespace jackdawhall::calls
