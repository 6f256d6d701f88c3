// Replicated log over the control hosts, after the Raft algorithm (Ongaro and
// Ousterhout, 2014; with pre-vote, check-quorum and single-server changes of
// voters from Ongaro's thesis). An entry is committed once a majority of the
// voters has synced it to disk.
//
// A voter is a host together with the identity of its disk. A host that lost
// its disk has a new identity, is no voter, and cannot vote as if it
// remembered: the leader first removes the old identity, then brings the new
// one up to date, then adds it.
//
// The functions below are the steps. Each takes the state by value and gives
// it back with what it decided.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/entry_log.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

struct consensus_settings
{
    host_name self_;
    std::vector<host_name> control_hosts_; // in order; see open_
    // The control hosts named are only some, and others may join.
    bool open_ = false;
    // Whether this may be the first start of all; only then may a host without
    // entries begin the log.
    bool first_start_ = true;
    // An entry counts once it is on a majority of the voters' disks and on so
    // many.
    std::size_t copies_ = 1;
    duration heartbeat_ = std::chrono::milliseconds(200);
    duration election_min_ = std::chrono::milliseconds(1000);
    duration election_max_ = std::chrono::milliseconds(2000);
    std::size_t batch_entries_ = 512;     // in one append_request
    std::size_t snapshot_entries_ = 4096; // between two snapshots
    std::size_t trailing_entries_ = 1024; // kept for followers behind
    auto operator<=>(consensus_settings const&) const = default;
};

// What a host had on its disk when it started.
struct recovered
{
    voter self_;
    hard_state hard_state_;
    snapshot snapshot_;
    std::vector<log_entry> entries_;
    auto operator<=>(recovered const&) const = default;
};

struct follower
{
    std::optional<host_name> leader_;
    auto operator<=>(follower const&) const = default;
};
struct candidate
{
    bool trial_ = true; // pre-vote: asks without raising its term
    std::set<voter> votes_;
    auto operator<=>(candidate const&) const = default;
};
// What a leader knows of another control host.
struct progress
{
    log_index next_ = 1;  // first entry to send
    log_index match_ = 0; // last entry known synced there
    instant acked_;       // sending of the last append_request it answered
    instant heard_;
    std::int64_t stamp_ = 0;        // its own clock when it last answered
    std::uint64_t incarnation_ = 0; // its run that gave stamp_
    bool needs_snapshot_ = false;
    auto operator<=>(progress const&) const = default;
};
struct leader
{
    std::map<voter, progress> peers_; // voters and those that catch up
    log_index first_own_ = 0;         // first entry of this term
    instant next_heartbeat_;
    auto operator<=>(leader const&) const = default;
};
using role = std::variant<follower, candidate, leader>;

// A control host without any entry, heard of at an instant.
struct blank_host
{
    voter voter_;
    instant heard_;
    auto operator<=>(blank_host const&) const = default;
};

// Entries that a store covers.
struct pending_store
{
    store_number number_ = 0;
    log_index last_index_ = 0;
    auto operator<=>(pending_store const&) const = default;
};

struct consensus_state
{
    consensus_settings settings_;
    voter self_;
    std::uint64_t incarnation_ = 0; // of this run; stamps of others are void
    hard_state hard_state_;
    entry_log log_;
    role role_ = follower{};
    log_index commit_ = 0;
    log_index delivered_ = 0; // last committed entry handed on
    log_index durable_ = 0;   // last entry synced to this host's disk
    store_number last_store_ = 0;
    std::deque<pending_store> pending_stores_;
    instant election_due_;
    instant quiet_until_; // refuses votes until then; see stickiness
    instant join_due_;
    // This host's state is complete up to this instant: whatever was accepted
    // anywhere before it is in the committed log here.
    std::optional<instant> confirmed_;
    std::map<host_name, blank_host> blank_hosts_;
    std::set<host_name> known_hosts_; // control hosts, named or met
    random_source random_;
    auto operator<=>(consensus_state const&) const = default;
};

// What consensus hands to the filters after it.
struct consensus_output
{
    effects effects_;
    std::vector<log_entry> committed_;   // in order
    std::optional<snapshot> installed_;  // replaces the machine's state
    std::vector<voter> snapshot_wanted_; // followers too far behind
    bool became_leader_ = false;
    auto operator<=>(consensus_output const&) const = default;
};

struct consensus_step
{
    consensus_state state_;
    consensus_output output_;
};

consensus_state make_consensus(
    consensus_settings settings, recovered disk, random_source random,
    instant now);

// Messages of the log.
using consensus_message = std::variant<
    vote_request, vote_response, append_request, append_response,
    install_snapshot, join_request, control_host_list>;

consensus_step receive(
    consensus_state state, consensus_message const& message, clock_reading at);

// Elections, heartbeats and joining, as far as due.
consensus_step pass_time(consensus_state state, clock_reading at);

// Stores up to `number` are on disk.
consensus_step
disk_synced(consensus_state state, store_number number, instant now);

// Appends commands; only a leader may.
consensus_step
propose(consensus_state state, std::vector<command> commands, instant now);

// Drops entries that the machine has applied and stored in `taken`.
consensus_step compact(consensus_state state, snapshot taken);

// Sends `taken` to `target`, which needs entries that are gone.
consensus_step send_snapshot(
    consensus_state state, voter const& target, snapshot const& taken,
    instant now);

bool is_leader(consensus_state const& state);
std::optional<host_name> leader_of(consensus_state const& state);

// Says whether this host leads, and no other can until after `now`: it heard
// from a majority within the shortest election time, less the clocks' drift.
bool holds_lease(consensus_state const& state, instant now);

// The control hosts that this one knows of: the voters, and those named or met.
std::set<host_name> known_hosts(consensus_state const& state);

// The hosts of the voters; those named or met while there is none.
std::set<host_name> serving_hosts(consensus_state const& state);

// How long ago this host's knowledge was complete; nothing if unknown.
std::optional<duration>
knowledge_age(consensus_state const& state, instant now);

// Earliest instant at which pass_time has something to do.
instant next_due(consensus_state const& state);

// Interval between two join requests of a control host that is no voter.
inline constexpr duration join_interval = std::chrono::milliseconds(500);

// A voter that was silent for longer is replaced when another host joins, or
// removed when more than this many voters are left without it.
inline constexpr duration dead_voter_silence = std::chrono::milliseconds(2500);
inline constexpr std::size_t enough_voters = 5;
// A joining host that was silent for longer is forgotten.
inline constexpr duration joining_lifetime = std::chrono::seconds(10);

// A blank host heard of longer ago counts as unknown at the first start.
inline constexpr duration blank_host_lifetime = std::chrono::seconds(3);

} // namespace jackdawhall::control
