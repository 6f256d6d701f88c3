// Replicated log of the control hosts, using the Raft consensus algorithm
// (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum and single-server
// membership changes from Ongaro's thesis. An entry is committed once a
// majority of the voters has synced it to disk.
//
// A voter is a host together with the identity of its disk. A host that lost
// its disk gets a new identity and is no longer a voter, so it cannot vote
// without the terms, votes and entries it had stored. The leader first removes
// the old identity, then replicates the log to the new one, then adds it.
//
// Each function below that changes state takes the state by value and returns
// the new state together with its output.
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
    // Hosts listed in the settings, in order: the first bootstraps the log.
    std::vector<host_name> control_hosts_;
    // Hosts that are not in control_hosts_ may join as well.
    bool allow_unlisted_hosts_ = false;
    // Whether this may be the first start of the cluster. Only then may a host
    // without entries bootstrap the log.
    bool may_bootstrap_ = true;
    // An entry is committed once it is synced on a majority of the voters'
    // disks and on at least this many, so with fewer voters than this nothing
    // is committed.
    std::size_t min_durable_copies_ = 1;
    duration heartbeat_ = std::chrono::milliseconds(200);
    duration election_min_ = std::chrono::milliseconds(1000);
    duration election_max_ = std::chrono::milliseconds(2000);
    // Maximum in one append_request, which holds one entry at least.
    log_limits batch_ = {512, 1 << 20};
    // No entries are sent to a peer while it has this much to acknowledge.
    std::size_t unacknowledged_bytes_ = 16 << 20;
    // Between two snapshots, by one of the two. A state that is larger than
    // the bytes is stored once the log has grown by its size.
    log_limits snapshot_interval_ = {4096, 8 << 20};
    log_limits trailing_ = {1024, 4 << 20}; // kept for lagging followers
    auto operator<=>(consensus_settings const&) const = default;
};

// State read from a host's disk at startup.
struct recovered_state
{
    voter self_;
    hard_state hard_state_;
    snapshot snapshot_;
    std::vector<log_entry> entries_;
    auto operator<=>(recovered_state const&) const = default;
};

struct follower
{
    std::optional<host_name> leader_;
    auto operator<=>(follower const&) const = default;
};
struct candidate
{
    bool pre_vote_ = true;  // in the pre-vote phase; term not yet raised
    std::set<voter> votes_; // granted, this host's own included
    auto operator<=>(candidate const&) const = default;
};
// Replication state that a leader keeps for another control host.
struct progress
{
    log_index next_ = 1;    // index of the next entry to send
    log_index match_ = 0;   // last entry known to be synced on the peer
    instant acked_sent_at_; // send time of the latest append_request answered
    instant last_heard_;
    // The peer's clock at its latest response, echoed to it in each
    // append_request so that it can derive complete_as_of_.
    std::int64_t stamp_ = 0;
    std::uint64_t incarnation_ = 0; // the peer's run that stamp_ belongs to
    // Its next entry was compacted: nothing is sent to it before a snapshot.
    bool needs_snapshot_ = false;
    auto operator<=>(progress const&) const = default;
};
struct leader
{
    std::map<voter, progress> peers_; // other voters, and joining hosts
    log_index term_first_index_ = 0;  // index of this term's no_op entry
    instant next_heartbeat_;
    auto operator<=>(leader const&) const = default;
};
using role = std::variant<follower, candidate, leader>;

// A control host that has reported an empty log.
struct uninitialized_host
{
    voter voter_;
    instant last_heard_;
    auto operator<=>(uninitialized_host const&) const = default;
};

// A store of entries or of a snapshot that is not yet known to be synced, and
// the last entry that is durable once it is. Stores of the hard state are not
// tracked: no state waits for them.
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
    // Identifies this run. Echoes of stamps from other runs are ignored.
    std::uint64_t incarnation_ = 0;
    hard_state hard_state_;
    entry_log log_;
    role role_ = follower{};
    log_index commit_ = 0;
    log_index delivered_ = 0; // last entry of a consensus_output::committed_
    log_index durable_ = 0;   // last entry synced to this host's disk
    store_number last_store_ = 0;
    std::deque<pending_store> pending_stores_;
    std::size_t snapshot_bytes_ = 0; // estimated size of the latest snapshot
    instant election_deadline_;
    instant no_vote_until_; // refuses vote requests before this instant
    instant next_join_request_;
    // The committed log of this host contains every entry that was committed
    // by any leader before this instant.
    std::optional<instant> complete_as_of_;
    std::map<host_name, uninitialized_host> uninitialized_hosts_;
    // Listed in the settings, or learned from a control_host_list.
    std::set<host_name> known_hosts_;
    random_source random_;
    auto operator<=>(consensus_state const&) const = default;
};

// Entries after `after_`, up to and including `last_`; empty if they are equal.
struct log_range
{
    log_index after_ = 0;
    log_index last_ = 0;
    auto operator<=>(log_range const&) const = default;
};

// Output of a step, for the filters after run_consensus.
struct consensus_output
{
    effects effects_;
    log_range committed_;                        // delivered by the step
    std::optional<snapshot> installed_snapshot_; // replaces the state machine
    std::vector<voter> snapshot_targets_; // peers to pass to send_snapshot
    bool became_leader_ = false;
    auto operator<=>(consensus_output const&) const = default;
};

struct consensus_step
{
    consensus_state state_;
    consensus_output output_;
};

consensus_state make_consensus(
    consensus_settings settings, recovered_state disk, random_source random,
    instant now);

// Messages between control hosts that consensus handles.
using consensus_message = std::variant<
    vote_request, vote_response, append_request, append_response,
    install_snapshot, join_request, control_host_list>;

consensus_step receive(
    consensus_state state, consensus_message const& message, clock_reading at);

// Starts elections and sends heartbeats and join requests that are due.
consensus_step tick(consensus_state state, clock_reading at);

// Records that all stores up to `number` are synced to this host's disk.
consensus_step
disk_synced(consensus_state state, store_number number, instant now);

// Appends commands to the log and sends them to the peers. Does nothing unless
// this host is the leader.
consensus_step
propose(consensus_state state, std::vector<command> commands, instant now);

// Stores the snapshot `taken` and drops the entries it covers, except for the
// last ones, as far as trailing_ allows.
consensus_step compact(consensus_state state, snapshot taken);

// Sends `taken` to `target`, whose next entry was compacted. Does nothing
// unless this host is the leader and `target` one of its peers.
consensus_step send_snapshot(
    consensus_state state, voter const& target, snapshot const& taken,
    instant now);

bool is_leader(consensus_state const& state);
std::optional<host_name> leader_of(consensus_state const& state);

// Returns whether this host holds the leader lease, so that no other host can
// be elected until after `now`: a majority answered requests sent within the
// minimum election timeout, less the clock drift allowance.
bool holds_lease(consensus_state const& state, instant now);

// The voters' hosts, and all hosts listed in the settings or learned.
std::set<host_name> known_hosts(consensus_state const& state);

// The voters' hosts; while there are no voters, the listed and learned hosts.
std::set<host_name> serving_hosts(consensus_state const& state);

// Time since the instant up to which this host's state is known to be complete
// (complete_as_of_; for a leader, the last contact with a majority). Empty if
// unknown.
std::optional<duration> state_age(consensus_state const& state, instant now);

// Earliest instant at which tick has work to do.
instant next_due(consensus_state const& state);

// Interval between two join requests of a control host that is no voter, or
// that hears from no leader.
inline constexpr duration join_interval = std::chrono::milliseconds(500);

// With allow_unlisted_hosts_, a voter that was silent for longer than
// dead_voter_timeout is removed when another host is ready to join, or when at
// least min_voters_after_removal voters remain without it.
inline constexpr duration dead_voter_timeout = std::chrono::milliseconds(2500);
inline constexpr std::size_t min_voters_after_removal = 5;
// A voter's identity that answered none of this many heartbeats is removed once
// its host asks to join under another one.
inline constexpr int lost_disk_heartbeats = 3;
// A joining host that was silent for longer than this is not made a voter.
inline constexpr duration joining_host_silence = std::chrono::seconds(1);
// The leader drops a joining host that was silent for longer than this.
inline constexpr duration joining_host_timeout = std::chrono::seconds(10);

// Bootstrap requires a report of an empty log from every other listed control
// host that is not older than this.
inline constexpr duration uninitialized_host_timeout = std::chrono::seconds(3);

} // namespace jackdawhall::control
