// Which control host the daemon renews its lease with, and what it asks the
// others while that one does not confirm the configuration.
//
// Load pattern: control hosts that are cut off from a majority and still answer
// their daemons, several at once, while changes go on with the others.
#pragma once

#include <vector>

#include <jackdawhall/calls/pipeline_context.hpp>

namespace jackdawhall::calls
{

// Whether a control host whose state has this age may still be in contact with
// a majority.
bool is_recent(settings const& s, duration state_age);

bool is_current_control_host(control_link const& link, host_name const& host);

// Switches when the current control host has not answered from a recent state
// for `control_timeout_`: to the nearest host that has confirmed lately, or to
// the next one if the current host does not answer at all.
void leave_unresponsive_control_host(working_state& w);

// Asks the other control hosts to confirm the configuration, each at most once
// per renewal interval, and less often while it is silent.
void request_confirmations(working_state& w);

// Replaces the control hosts by those in an answer, sorted by distance. The
// hosts of the settings remain at the end as a last resort.
void update_control_hosts(
    state& s, std::vector<located_host> named, instant now);

} // namespace jackdawhall::calls
