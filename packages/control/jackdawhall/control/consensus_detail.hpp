// Shared by the sources of consensus: election.cpp, replication.cpp,
// change_voters.cpp and consensus.cpp. Not for users of the package.
#pragma once

#include <jackdawhall/control/consensus.hpp>

namespace jackdawhall::control::detail
{

// One step in progress.
struct step_context
{
    consensus_state state_;
    consensus_output output_;
    instant now_;
};

void send_to(step_context& ctx, host_name const& to, message m);
void log_event(step_context& ctx, std::string text, log_fields fields = {});

bool is_voter(consensus_state const& state, voter const& who);
std::size_t majority(consensus_state const& state);

void save_hard_state(step_context& ctx);
// Appends entries to the log and stores them.
void save_entries(step_context& ctx, std::vector<log_entry> entries);

void reset_election_timer(step_context& ctx);
void become_follower(
    step_context& ctx, term_number term, std::optional<host_name> leader);
void start_pre_vote(step_context& ctx);
void become_leader(step_context& ctx);

// Instant at which a majority of voters had last answered this leader.
instant majority_contact_time(consensus_state const& state, instant now);

void append_command(step_context& ctx, command c);
void replicate_to(step_context& ctx, voter const& peer, bool heartbeat);
void replicate_all(step_context& ctx, bool heartbeat);
void advance_commit(step_context& ctx);
void deliver_committed(step_context& ctx);
// Keeps the leader's peers in step with the voters of its log.
void sync_peers_with_voters(step_context& ctx);

// Removes a dead voter when enough are left, and forgets hosts that were
// joining and fell silent.
void maintain_voters(step_context& ctx);

void handle(step_context& ctx, vote_request const& m);
void handle(step_context& ctx, vote_response const& m);
void handle(step_context& ctx, append_request const& m);
void handle(step_context& ctx, append_response const& m);
void handle(step_context& ctx, install_snapshot const& m);
void handle(step_context& ctx, join_request const& m, wall_time wall);
void handle(step_context& ctx, control_hosts_known const& m);

} // namespace jackdawhall::control::detail
