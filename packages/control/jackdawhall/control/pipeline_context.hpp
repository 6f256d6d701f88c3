// Context passed between the filters of a control host, and the filters.
// Internal to the package.
#pragma once

#include <jackdawhall/control/pipeline.hpp>

namespace jackdawhall::control
{

struct pipeline_context
{
    state state_;
    input input_;
    clock_reading at_;
    effects effects_;
    log_range committed_;                 // while processing input_
    std::vector<apply_result> applied_;   // results of committed_, in order
    bool became_leader_ = false;          // while processing input_
    std::vector<voter> snapshot_targets_; // peers that need a snapshot
};

// Handles changes and documents from this host's operator or from another
// control host: the leader proposes them; any other host forwards those of its
// operator to the leader. Also times out waiters.
pipeline_context propose_operator_changes(pipeline_context p);

// Passes the leader's responses on to the operator. After a link ended, sends
// the requests and responses again that it may have lost; reports to the
// operator if the leader cannot be reached.
pipeline_context follow_forwarded_changes(pipeline_context p);

// Proposes claims and releases on the leader; any other host rejects claims as
// unavailable and ignores releases.
pipeline_context propose_claims(pipeline_context p);

// On the leader, counts a crash of a backend server against each request that
// was running there. Such a request is a suspect, named by its fingerprint. A
// process that crashed counts once, however often it is reported. A suspect
// that a server has run to a good end since is none any more.
pipeline_context count_crashes(pipeline_context p);

// Passes Raft messages, timer expiries and completed stores to consensus.
pipeline_context run_consensus(pipeline_context p);

// Applies committed log entries to the state machine.
pipeline_context apply_committed(pipeline_context p);

// On the leader, proposes a record for each suspect that has more crashes
// counted than its record shows, and the removal of expired records.
pipeline_context record_suspects(pipeline_context p);

// On the leader, proposes a record for each reported departure of a backend
// server, and the removal of those past their lifetime.
pipeline_context record_departures(pipeline_context p);

// Sends the outcomes of applied operations to their waiters.
pipeline_context notify_waiters(pipeline_context p);

// Starts the grant allocator when this host becomes leader, and stops it when
// the host no longer leads. A host that does not lead discards its crash
// counts.
pipeline_context start_or_stop_allocator(pipeline_context p);

// Responds to lease renewals and pushes configuration changes.
pipeline_context distribute_configuration(pipeline_context p);

// Exchanges membership reports with the other control hosts.
pipeline_context exchange_membership(pipeline_context p);

// Responds to requests for rate grants, and refills the local buckets when the
// timer expires.
pipeline_context grant_tokens(pipeline_context p);

// Sends snapshots to the followers that need one. Runs once all that is
// delivered is applied, so that a snapshot holds what its index says.
pipeline_context send_snapshots(pipeline_context p);

// Takes a snapshot and compacts the log once enough entries have accumulated.
pipeline_context compact_log(pipeline_context p);

// The effect that reports the outcome of an operation to its waiter.
effect tell_outcome(
    std::string const& operation, operation_waiter const& to,
    change_outcome const& outcome);

// Reports the outcome of an operation to its waiter, and remembers it if the
// waiter is another host.
void send_outcome(
    pipeline_context& p, std::string const& operation,
    operation_waiter const& to, change_outcome const& outcome);

// Message of type M if the input is one, else null.
template <class M>
M const* received_message(pipeline_context const& p)
{
    received const* r = std::get_if<received>(&p.input_);
    return r ? std::get_if<M>(&r->message_) : nullptr;
}

// Adds the output of a consensus step to the context.
void add_consensus_output(pipeline_context& p, consensus_step step);

// Appends commands to the log. This host must be the leader.
void propose_commands(pipeline_context& p, std::vector<command> commands);

} // namespace jackdawhall::control
