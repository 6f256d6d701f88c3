// The node of a control host. An input passes through the filters listed in
// pipeline.cpp, in that order, and leaves effects for the front end.
#pragma once

#include <map>
#include <string>
#include <variant>

#include <jackdawhall/control/allocate_grants.hpp>
#include <jackdawhall/control/apply_command.hpp>
#include <jackdawhall/control/consensus.hpp>
#include <jackdawhall/control/distribute_configuration.hpp>
#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/control/track_membership.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// --- Inputs ---------------------------------------------------------------

// Every store up to the number is on disk.
struct stores_synced
{
    store_number number_ = 0;
    auto operator<=>(stores_synced const&) const = default;
};
// A change that an operator gave to this host.
struct operator_change
{
    std::uint64_t number_ = 0;
    change change_;
    auto operator<=>(operator_change const&) const = default;
};
// A document that an operator gave to this host.
struct operator_document
{
    std::uint64_t number_ = 0;
    document document_;
    auto operator<=>(operator_document const&) const = default;
};

using input = std::variant<
    received, timer_expired, stores_synced, operator_change, operator_document>;

// --- State ------------------------------------------------------------------

// Whoever waits for the outcome of an operation; a host's own operator has no
// host.
struct asker
{
    std::optional<host_name> host_;
    std::uint64_t number_ = 0;
    instant since_;
    auto operator<=>(asker const&) const = default;
};

// A crash that the leader counts against a request, until it is recorded.
struct crash_count
{
    std::set<server_key> servers_;
    instant last_;
    std::string pending_; // operation that records it; empty: none
    auto operator<=>(crash_count const&) const = default;
};

struct state
{
    consensus_state consensus_;
    state_machine machine_;
    distribution distribution_;
    membership membership_;
    allocation allocation_;
    rate_tolerance tolerance_;
    std::multimap<std::string, asker> askers_;   // by operation id
    std::map<std::string, crash_count> crashes_; // by fingerprint
    auto operator<=>(state const&) const = default;
};

// What a control host is told of its place and of the fleet.
struct node_options
{
    location location_;
    rate_tolerance tolerance_;
    auto operator<=>(node_options const&) const = default;
};

// An outcome that did not come within this time is unknown to its asker.
inline constexpr duration operation_timeout = std::chrono::seconds(5);
// A suspect is forgotten this long after its last crash.
inline constexpr std::chrono::milliseconds suspect_lifetime =
    std::chrono::minutes(10);

state make_state(
    consensus_settings settings, recovered_state disk, random_source random,
    instant now, node_options const& options = {});

// --- The node
// -----------------------------------------------------------------

using node_step = step<state, effect>;

node_step run(state s, input in, clock_reading at);

// Earliest instant at which timer_expired has something to do.
instant next_due(state const& s);

} // namespace jackdawhall::control
