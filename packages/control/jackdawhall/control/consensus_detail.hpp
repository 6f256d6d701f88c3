// Internal declarations shared by consensus.cpp, election.cpp, replication.cpp
// and change_voters.cpp. Not part of the package's interface.
#pragma once

#include <jackdawhall/control/consensus.hpp>

namespace jackdawhall::control::detail
{

// State and accumulated output of the step being executed.
struct step_context
{
    consensus_state state_;
    consensus_output output_;
    instant now_;
};

// A message sent after a store leaves this host only once the store is synced:
// the front end holds it until then (effect.hpp).
void send_to(step_context& ctx, host_name const& to, message m);
void log_event(step_context& ctx, std::string text, log_fields fields = {});

bool is_voter(consensus_state const& state, voter const& who);
std::size_t majority(consensus_state const& state);

// Emits a store of the term and vote.
void save_hard_state(step_context& ctx);
// Appends entries to the in-memory log and emits a store for them.
void save_entries(step_context& ctx, std::vector<log_entry> entries);

void reset_election_timer(step_context& ctx);
void become_follower(
    step_context& ctx, term_number term, std::optional<host_name> leader);
void start_pre_vote(step_context& ctx);
void become_leader(step_context& ctx);

// Latest instant T for which a majority of the voters, this host included, has
// answered a request that this leader sent at or after T.
instant majority_contact_time(consensus_state const& state, instant now);

// Appends a command on the leader and sends it to the peers, including voters
// that it adds.
void append_command(step_context& ctx, command c);
// Sends `peer` its next entries. With `heartbeat`, sends an append_request even
// if there are none, and requests a snapshot if the next entry was compacted.
void replicate_to(step_context& ctx, voter const& peer, bool heartbeat);
void replicate_all(step_context& ctx, bool heartbeat);
// Commits the entries of this term, and all before them, that enough voters
// have synced.
void advance_commit(step_context& ctx);
// Adds newly committed entries to the output.
void deliver_committed(step_context& ctx);
// Adds the voters of the leader's log that are missing from its peers.
void sync_peers_with_voters(step_context& ctx);

// Makes the next change of voters, if one is due: removes a lost disk's voter,
// or adds a joining host that has all committed entries.
void admit_joining_hosts(step_context& ctx);
// Removes a dead voter if enough voters remain, drops joining hosts that have
// timed out, and admits the others.
void maintain_voters(step_context& ctx);

void handle(step_context& ctx, vote_request const& m);
void handle(step_context& ctx, vote_response const& m);
void handle(step_context& ctx, append_request const& m);
void handle(step_context& ctx, append_response const& m);
void handle(step_context& ctx, install_snapshot const& m);
void handle(step_context& ctx, join_request const& m, wall_time wall);
void handle(step_context& ctx, control_host_list const& m);

} // namespace jackdawhall::control::detail
