// Distributes the configuration to the daemons. A daemon renews its freshness
// lease with a control host of its choice; the response bounds the staleness of
// that host's state and carries the changes the daemon lacks. Changes are also
// pushed as soon as they are committed.
#pragma once

#include <map>

#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// A daemon that has not renewed its lease for longer than this gets no pushes.
inline constexpr duration subscriber_lifetime = std::chrono::seconds(4);

struct subscriber
{
    std::uint64_t incarnation_ = 0;
    instant heard_;
    revision known_revision_ = 0; // last one it reported or was pushed
    std::uint32_t newest_schema_ = 1;
    location location_;
    auto operator<=>(subscriber const&) const = default;
};

struct distribution
{
    std::map<host_name, subscriber> subscribers_;
    revision pushed_revision_ = 0;
    auto operator<=>(distribution const&) const = default;
};

struct distribution_step
{
    distribution state_;
    effects effects_;
};

// State of this control host's replica, as reported to a renewing daemon.
struct replica_status
{
    std::optional<duration> age_; // upper bound of staleness; empty if unknown
    host_name leader_;            // empty if unknown
    auto operator<=>(replica_status const&) const = default;
};

// Records the daemon as a subscriber and builds its response, without the
// membership fields.
std::pair<distribution, renewal_response> renew_lease(
    distribution state, state_machine const& m, renewal_request const& r,
    replica_status const& status, instant now);

// Answers a daemon that is attached elsewhere.
confirmation_response confirm_configuration(
    state_machine const& m, confirmation_request const& r,
    replica_status const& status);

// Pushes a new revision to every live subscriber that lacks it.
distribution_step
push_changes(distribution state, state_machine const& m, instant now);

} // namespace jackdawhall::control
