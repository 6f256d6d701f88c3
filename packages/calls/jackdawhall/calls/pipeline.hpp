// The call node: what enters, and the filters it passes. pipeline.cpp lists
// them in order.
#pragma once

#include <jackdawhall/calls/state.hpp>

namespace jackdawhall::calls
{

state make_state(settings s, random_source random, instant now);

using node_step = step<state, effect>;

node_step run(state s, input in, present at);

// Earliest instant at which time_passed has something to do.
instant next_due(state const& s);

} // namespace jackdawhall::calls
