// What passes from filter to filter of a control host, and the filters.
// Not for users of the package.
#pragma once

#include <jackdawhall/control/pipeline.hpp>

namespace jackdawhall::control
{

struct pipeline_context
{
    state state_;
    input input_;
    present at_;
    effects effects_;
    std::vector<log_entry> committed_;
    std::vector<applied> applied_;
    bool became_leader_ = false;
};

// Takes a change from this host's operator or from another control host: the
// leader proposes it, any other host hands it on.
pipeline_context propose_operator_changes(pipeline_context p);

// The leader proposes claims and releases; any other host says it cannot.
pipeline_context propose_claims(pipeline_context p);

// The leader counts crashes against the requests that were running.
pipeline_context count_crashes(pipeline_context p);

// Gives messages of the log and the time to consensus.
pipeline_context run_consensus(pipeline_context p);

// Applies what was committed to the machine.
pipeline_context apply_committed(pipeline_context p);

// The leader records suspects of which it counted more crashes than are on
// record.
pipeline_context record_suspects(pipeline_context p);

// Tells outcomes to those who wait for them.
pipeline_context notify_waiters(pipeline_context p);

// Starts and stops allocating with the leader's role.
pipeline_context start_or_stop_allocator(pipeline_context p);

// Answers renewals, and pushes changes.
pipeline_context distribute_configuration(pipeline_context p);

// Exchanges membership with the other control hosts.
pipeline_context exchange_membership(pipeline_context p);

// Answers requests for rate grants.
pipeline_context grant_tokens(pipeline_context p);

// Takes a snapshot when enough entries have come, and sends one to a follower
// that needs it.
pipeline_context compact_log(pipeline_context p);

// Message of type M in the input, if it holds one.
template <class M>
M const* received_message(pipeline_context const& p)
{
    received const* r = std::get_if<received>(&p.input_);
    return r ? std::get_if<M>(&r->message_) : nullptr;
}

// Adds what consensus decided to the passage.
void add_consensus_output(pipeline_context& p, consensus_step step);

// Appends commands as the leader.
void propose_commands(pipeline_context& p, std::vector<command> commands);

} // namespace jackdawhall::control
