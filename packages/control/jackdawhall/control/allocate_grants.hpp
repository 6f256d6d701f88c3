// Rate and burst of a client account over the whole fleet. The leader of the
// control hosts keeps one token bucket for each account and grants tokens to
// the daemons that ask.
//
// Why no window sees more than burst + rate * length: a token is taken from
// the bucket when it is granted, and an unspent granted token still occupies
// the bucket, so level + outstanding <= burst at every instant. What is spent
// in a window was outstanding or in the bucket at its start, or accrued in it.
// A holder's grant ends by its own clock before this host's record of it does,
// and a new leader waits until every grant of its predecessor has ended, and
// starts from an empty bucket.
#pragma once

#include <map>

#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// A grant ends this long after its holder sent the request for it.
inline constexpr duration grant_lifetime = std::chrono::seconds(2);
// A holder that asked within this time counts as one to share with.
inline constexpr duration requester_lifetime = std::chrono::seconds(1);
// Ended grants are looked for this often; until then they still occupy the
// bucket, which is the safe side.
inline constexpr duration expiry_check_interval = std::chrono::milliseconds(50);
// When an asker may try again whose tokens lie with other holders.
inline constexpr duration contended_retry_delay = std::chrono::milliseconds(20);

// Tokens are counted in billionths, so that a rate in thousandths per second
// accrues exactly over microseconds.
inline constexpr std::int64_t token_unit = 1'000'000'000;

struct live_grant
{
    host_name holder_;
    std::int64_t remaining_ = 0; // tokens not known to be spent
    instant expires_at_;
    auto operator<=>(live_grant const&) const = default;
};

struct bucket
{
    std::int64_t level_ = 0;       // in token_unit
    instant refilled_at_;          // level_ is as of then
    std::int64_t outstanding_ = 0; // tokens
    std::map<std::uint64_t, live_grant> grants_;
    std::map<host_name, instant> requesters_;
    instant last_expiry_check_; // when ended grants were last looked for
    auto operator<=>(bucket const&) const = default;
};

// Not the leader, or waiting for the predecessor's grants to end.
struct grant_allocator
{
    std::optional<instant> ready_at_; // nothing: does not allocate
    std::map<account_name, bucket> leader_buckets_;
    std::map<account_name, bucket>
        local_buckets_;  // of shared rates, at every host
    instant started_at_; // of this host's run
    std::uint64_t last_grant_number_ = 0;
    auto operator<=>(grant_allocator const&) const = default;
};

// Rate and burst of an account.
struct account_limits
{
    std::int64_t milli_rate_ = 0;
    std::int64_t burst_ = 0;
    auto operator<=>(account_limits const&) const = default;
};

// What an account may exceed its shared rate by, over the whole fleet, in any
// window of the given length.
struct rate_tolerance
{
    double share_ = 0;    // of rate x window + burst
    double requests_ = 0; // beside that
    duration window_ = std::chrono::seconds(1);
    auto operator<=>(rate_tolerance const&) const = default;
};

// One host's part of a shared rate: its share by demand, and how many hosts
// there are, among which what is left of the tolerance is shared evenly.
struct host_share
{
    double fraction_ = 1;
    int hosts_ = 1;
    auto operator<=>(host_share const&) const = default;
};

account_limits limits_for_share(
    account_limits const& whole, rate_tolerance const& tolerance,
    host_share const& share);

// Limits in force for an account, by the newest schema known; nothing if there
// is no such account.
std::optional<account_limits>
find_account_limits(machine const& m, account_name const& account);

// Starts allocating as a new leader, whose predecessor's grants may still live.
grant_allocator
start_allocator(grant_allocator state, std::uint64_t first_grant, instant now);

grant_allocator stop_allocator(grant_allocator state);

struct allocator_step
{
    grant_allocator state_;
    std::optional<grant_response> response_;
};

// A host that did not tend its parts for so long was suspended, and no longer
// knows what they may be: they begin empty.
inline constexpr duration local_bucket_max_idle = std::chrono::seconds(3);

// Brings this host's part of a shared rate up to date. A part whose share grows
// fills at its rate only, so that tokens which another host has given are not
// there again; one whose share falls loses what no longer fits.
grant_allocator refill_local_bucket(
    grant_allocator state, account_name const& account,
    account_limits const& limits, instant now);

// Gives tokens out of this host's own part of a shared rate. What is given
// counts as spent.
allocator_step allocate_from_local_bucket(
    grant_allocator state, account_limits const& limits, grant_request const& r,
    instant now);

// Takes the reports of a request and grants what it asks for, if it can.
// `may_allocate` says that this host holds the leader's lease.
allocator_step allocate_from_leader_bucket(
    grant_allocator state, machine const& m, grant_request const& r,
    bool may_allocate, instant now);

} // namespace jackdawhall::control
