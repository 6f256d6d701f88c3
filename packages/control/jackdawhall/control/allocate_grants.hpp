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
inline constexpr duration grant_length = std::chrono::seconds(2);
// A holder that asked within this time counts as one to share with.
inline constexpr duration asker_lifetime = std::chrono::seconds(1);
// Ended grants are looked for this often; until then they still occupy the
// bucket, which is the safe side.
inline constexpr duration tend_interval = std::chrono::milliseconds(50);
// When an asker may try again whose tokens lie with other holders.
inline constexpr duration busy_retry = std::chrono::milliseconds(20);

// Tokens are counted in billionths, so that a rate in thousandths per second
// accrues exactly over microseconds.
inline constexpr std::int64_t token_unit = 1'000'000'000;

struct live_grant
{
    host_name holder_;
    std::int64_t remaining_ = 0; // tokens not known to be spent
    instant ends_;
    auto operator<=>(live_grant const&) const = default;
};

struct bucket
{
    std::int64_t level_ = 0;       // in token_unit
    instant accrued_;              // level_ is as of then
    std::int64_t outstanding_ = 0; // tokens
    std::map<std::uint64_t, live_grant> grants_;
    std::map<host_name, instant> askers_;
    instant tended_; // when ended grants were last looked for
    auto operator<=>(bucket const&) const = default;
};

// Not the leader, or waiting for the predecessor's grants to end.
struct allocation
{
    std::optional<instant> ready_; // nothing: does not allocate
    std::map<account_name, bucket> buckets_;
    std::map<account_name, bucket> parts_; // of shared rates, at every host
    instant began_;                        // of this host's run
    std::uint64_t last_grant_ = 0;
    auto operator<=>(allocation const&) const = default;
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
struct host_part
{
    double share_ = 1;
    int hosts_ = 1;
    auto operator<=>(host_part const&) const = default;
};

account_limits part_of(
    account_limits const& whole, rate_tolerance const& tolerance,
    host_part const& part);

// Limits in force for an account, by the newest schema known; nothing if there
// is no such account.
std::optional<account_limits>
limits_of(state_machine const& m, account_name const& account);

// Starts allocating as a new leader, whose predecessor's grants may still live.
allocation
start_allocation(allocation state, std::uint64_t first_grant, instant now);

allocation stop_allocation(allocation state);

struct allocation_step
{
    allocation state_;
    std::optional<grant_response> response_;
};

// A host that did not tend its parts for so long was suspended, and no longer
// knows what they may be: they begin empty.
inline constexpr duration untended_part = std::chrono::seconds(3);

// Brings this host's part of a shared rate up to date. A part whose share grows
// fills at its rate only, so that tokens which another host has given are not
// there again; one whose share falls loses what no longer fits.
allocation tend_part(
    allocation state, account_name const& account, account_limits const& part,
    instant now);

// Gives tokens out of this host's own part of a shared rate. What is given
// counts as spent.
allocation_step allocate_part(
    allocation state, account_limits const& part, grant_request const& r,
    instant now);

// Takes the reports of a request and grants what it asks for, if it can.
// `may_allocate` says that this host holds the leader's lease.
allocation_step allocate(
    allocation state, state_machine const& m, grant_request const& r,
    bool may_allocate, instant now);

} // namespace jackdawhall::control
