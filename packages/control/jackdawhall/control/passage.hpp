// What passes from filter to filter of a control host, and the filters.
// Not for users of the package.
#pragma once

#include <jackdawhall/control/pipeline.hpp>

namespace jackdawhall::control
{

struct passage
{
    state state_;
    input input_;
    clock_reading at_;
    effects effects_;
    std::vector<log_entry> committed_;
    std::vector<apply_result> applied_;
    bool became_leader_ = false;
};

// Takes a change from this host's operator or from another control host: the
// leader proposes it, any other host hands it on.
passage propose_operator_changes(passage p);

// The leader proposes claims and releases; any other host says it cannot.
passage propose_claims(passage p);

// The leader counts crashes against the requests that were running.
passage count_crashes(passage p);

// Gives messages of the log and the time to consensus.
passage run_consensus(passage p);

// Applies what was committed to the machine.
passage apply_committed(passage p);

// The leader records suspects of which it counted more crashes than are on
// record.
passage record_suspects(passage p);

// Tells outcomes to those who wait for them.
passage answer_askers(passage p);

// Starts and stops allocating with the leader's role.
passage follow_leadership(passage p);

// Answers renewals, and pushes changes.
passage distribute(passage p);

// Exchanges membership with the other control hosts.
passage exchange_membership(passage p);

// Answers requests for rate grants.
passage grant_tokens(passage p);

// Takes a snapshot when enough entries have come, and sends one to a follower
// that needs it.
passage keep_snapshot(passage p);

// Message of type M in the input, if it holds one.
template <class M>
M const* received_as(passage const& p)
{
    received const* r = std::get_if<received>(&p.input_);
    return r ? std::get_if<M>(&r->message_) : nullptr;
}

// Adds what consensus decided to the passage.
void take_output(passage& p, consensus_step step);

// Appends commands as the leader.
void propose_commands(passage& p, std::vector<command> commands);

} // namespace jackdawhall::control
