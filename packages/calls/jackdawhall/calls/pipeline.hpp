// The call node: what enters, and the filters it passes. pipeline.cpp lists
// them in order.
#pragma once

#include <jackdawhall/calls/state.hpp>

namespace jackdawhall::calls
{

state make_state(settings s, random_source random, instant now);

using node_step = step<state, effect>;

node_step run(state s, input in, clock_reading at);

// Earliest instant at which timer_expired has something to do.
instant next_due(state const& s);

} // namespace jackdawhall::calls
