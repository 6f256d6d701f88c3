// Interface of the call node, a state machine that handles the calls of a
// daemon: each input gives the next state and the effects to carry out.
#pragma once

#include <jackdawhall/calls/state.hpp>

namespace jackdawhall::calls
{

state make_state(settings s, random_source random, instant now);

using node_step = step<state, effect>;

node_step run(state s, input in, clock_reading at);

// Returns the earliest instant at which a timer_expired input has work to do.
instant next_due(state const& s);

} // namespace jackdawhall::calls
