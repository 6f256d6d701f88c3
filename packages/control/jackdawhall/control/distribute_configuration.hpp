// Hands the configuration to the daemons. A daemon renews its freshness lease
// at a control host of its choice; the answer says how old this host's
// knowledge is at most, and carries what changed. A change is also pushed as
// soon as it is committed.
#pragma once

#include <map>

#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// A daemon that was not heard of for this long gets no more pushes.
inline constexpr duration subscriber_lifetime = std::chrono::seconds(4);

struct subscriber
{
    std::uint64_t incarnation_ = 0;
    instant heard_;
    revision have_ = 0;
    std::uint32_t newest_schema_ = 1;
    location location_;
    auto operator<=>(subscriber const&) const = default;
};

struct distribution
{
    std::map<host_name, subscriber> subscribers_;
    revision pushed_ = 0;
    auto operator<=>(distribution const&) const = default;
};

struct distribution_step
{
    distribution state_;
    effects effects_;
};

// What the answer to a renewal says of this host's knowledge.
struct knowledge
{
    std::optional<duration> age_;
    host_name leader_; // empty: unknown
    auto operator<=>(knowledge const&) const = default;
};

// Remembers the daemon and gives its answer, still without membership.
std::pair<distribution, renewal_response> renew_lease(
    distribution state, state_machine const& m, renewal_request const& r,
    knowledge const& known, instant now);

// Pushes new revisions to every daemon heard of lately.
distribution_step
push_changes(distribution state, state_machine const& m, instant now);

} // namespace jackdawhall::control
