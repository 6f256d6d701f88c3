// Shared by the sources of consensus: election.cpp, replication.cpp,
// change_voters.cpp and consensus.cpp. Not for users of the package.
#pragma once

#include <jackdawhall/control/consensus.hpp>

namespace jackdawhall::control::detail
{

// One step in progress.
struct work
{
    consensus_state state_;
    consensus_output output_;
    instant now_;
};

void send_to(work& w, host_name const& to, message m);
void say(work& w, std::string sentence, log_fields fields = {});

bool is_voter(consensus_state const& state, voter const& who);
std::size_t majority(consensus_state const& state);

void save_hard_state(work& w);
// Appends entries to the log and stores them.
void save_entries(work& w, std::vector<log_entry> entries);

void reset_election(work& w);
void become_follower(
    work& w, term_number term, std::optional<host_name> leader);
void start_trial(work& w);
void become_leader(work& w);

// Instant at which a majority of voters had last answered this leader.
instant majority_heard(consensus_state const& state, instant now);

void append_command(work& w, command c);
void replicate_to(work& w, voter const& peer, bool heartbeat);
void replicate_all(work& w, bool heartbeat);
void advance_commit(work& w);
void deliver_committed(work& w);
// Keeps the leader's peers in step with the voters of its log.
void follow_voters(work& w);

// Removes a dead voter when enough are left, and forgets hosts that were
// joining and fell silent.
void tend_voters(work& w);

void handle(work& w, vote_request const& m);
void handle(work& w, vote_response const& m);
void handle(work& w, append_request const& m);
void handle(work& w, append_response const& m);
void handle(work& w, install_snapshot const& m);
void handle(work& w, join_request const& m, wall_time wall);
void handle(work& w, control_host_list const& m);

} // namespace jackdawhall::control::detail
