// Enforces the rate and burst of client accounts across the fleet, with token
// buckets in one of two ways:
//  - For an account with a record of schema 3 (a "shared rate"), every control
//    host keeps a local bucket with its share of the rate; see host_share.
//  - For any other account, the leader of the control hosts keeps the only
//    bucket and grants tokens to the daemons that request them.
//
// Leader buckets bound the requests in any window to burst + rate * length:
// a token leaves the bucket when it is granted, and an unspent granted token
// still counts against the capacity, so level + outstanding <= burst at every
// instant. Tokens spent in a window were outstanding or in the bucket at its
// start, or were added during it. A grant expires by its holder's clock before
// it expires here. A new leader starts from an empty bucket, after every grant
// of its predecessor has expired.
#pragma once

#include <map>

#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// A grant expires this long after its holder sent the request for it.
inline constexpr duration grant_lifetime = std::chrono::seconds(2);
// A daemon that requested tokens within this time counts as a requester when
// the tokens of a leader bucket are divided.
inline constexpr duration requester_lifetime = std::chrono::seconds(1);
// Interval between removals of expired grants. An expired grant counts against
// the bucket's capacity until it is removed, so a late removal never raises the
// number of tokens granted.
inline constexpr duration expiry_check_interval = std::chrono::milliseconds(50);
// Retry delay for a request that fails because the whole burst is outstanding
// with other holders, or because the rate is 0.
inline constexpr duration contended_retry_delay = std::chrono::milliseconds(20);

// Bucket levels count billionths of a token, so that a rate in thousandths of a
// token per second adds a whole number of units per microsecond.
inline constexpr std::int64_t token_unit = 1'000'000'000;

struct live_grant
{
    host_name holder_;
    std::int64_t remaining_ = 0; // tokens not reported as spent
    instant expires_at_;
    auto operator<=>(live_grant const&) const = default;
};

struct bucket
{
    std::int64_t level_ = 0;       // in token_unit
    instant refilled_at_;          // time of the last update of level_
    std::int64_t outstanding_ = 0; // tokens
    std::map<std::uint64_t, live_grant> grants_;
    std::map<host_name, instant> requesters_;
    instant last_expiry_check_;
    auto operator<=>(bucket const&) const = default;
};

// Token buckets of one control host.
struct grant_allocator
{
    // When the predecessor's grants have expired; empty if not the leader.
    std::optional<instant> ready_at_;
    std::map<account_name, bucket> leader_buckets_;
    // This host's shares of shared rates, kept whether or not it leads.
    std::map<account_name, bucket> local_buckets_;
    instant started_at_; // start of this host's run
    std::uint64_t last_grant_number_ = 0;
    auto operator<=>(grant_allocator const&) const = default;
};

struct account_limits
{
    std::int64_t milli_rate_ = 0; // thousandths of a request per second
    std::int64_t burst_ = 0;      // requests
    auto operator<=>(account_limits const&) const = default;
};

// Limits of one token bucket. The part of a small account's burst that one
// control host grants is a few requests at most, so its fraction counts.
struct bucket_limits
{
    std::int64_t milli_rate_ = 0;  // thousandths of a request per second
    std::int64_t milli_burst_ = 0; // thousandths of a request
    auto operator<=>(bucket_limits const&) const = default;
};

// One control host's share of a shared rate. The rate, the burst and the
// relative tolerance are scaled by fraction_, which follows demand; the
// absolute tolerance is divided evenly among hosts_.
struct host_share
{
    double fraction_ = 1;
    int hosts_ = 1;
    auto operator<=>(host_share const&) const = default;
};

// Limits that one control host enforces for its share of an account's limits.
//
// Load pattern: accounts of a few requests per second, near their limits, whose
// requests reach the control hosts unevenly at any moment. Part of the
// tolerance is granted as rate, so that these do not find one host's bucket
// empty while others hold tokens.
bucket_limits limits_for_share(
    account_limits const& whole, rate_tolerance const& tolerance,
    host_share const& share);

// Limits of an account with a leader bucket, from its record with the newest
// schema; empty if there is no such account.
std::optional<account_limits>
find_account_limits(state_machine const& m, account_name const& account);

// Starts granting as a new leader, once the predecessor's grants have expired.
grant_allocator
start_allocator(grant_allocator state, std::uint64_t first_grant, instant now);

grant_allocator stop_allocator(grant_allocator state);

struct allocator_step
{
    grant_allocator state_;
    std::optional<grant_response> response_;
};

// A host that has not refilled a local bucket for longer than this was
// suspended, and its share may have changed since: the bucket restarts empty.
inline constexpr duration local_bucket_max_idle = std::chrono::seconds(3);

// Refills the local bucket of an account up to `now`. When this host's share
// grows, the bucket fills no faster than its rate, so that tokens already
// granted by another host are not granted twice; when the share shrinks, tokens
// above the new capacity are discarded.
grant_allocator refill_local_bucket(
    grant_allocator state, account_name const& account,
    bucket_limits const& limits, instant now);

// Grants tokens from the local bucket of an account. Granted tokens count as
// spent at once. There is no response to a request numbered 0.
allocator_step allocate_from_local_bucket(
    grant_allocator state, bucket_limits const& limits, grant_request const& r,
    instant now);

// The response of a host that may not grant to this daemon.
grant_response no_tokens(grant_request const& r);

// Applies the reports in a request, then grants tokens from the leader bucket
// as available. A request numbered 0 carries reports only and gets no response.
// `may_allocate` is true if this host holds the leader lease.
allocator_step allocate_from_leader_bucket(
    grant_allocator state, state_machine const& m, grant_request const& r,
    bool may_allocate, instant now);

} // namespace jackdawhall::control
