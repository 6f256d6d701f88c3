// Interface of the call node, the state machine that handles the calls of a
// daemon. It performs no input or output: run maps the state and one input to
// the next state and the effects that the daemon has to carry out.
#pragma once

#include <jackdawhall/calls/state.hpp>

namespace jackdawhall::calls
{

// Returns the state of a node that starts at `now`.
state make_state(settings s, random_source random, instant now);

using node_step = step<state, effect>;

// Handles one input that arrived at `at`.
node_step run(state s, input in, clock_reading at);

// Whether a local backend server is known and not draining.
bool takes_work(state const& s, std::string const& server_id);

// Bytes of the copies of answers that the node keeps, and of queued requests.
std::size_t held_bytes(state const& s);

// Returns the earliest instant at which a timer_expired input has work to do.
instant next_due(state const& s);

} // namespace jackdawhall::calls
