// Settings of the two nodes, out of those of the daemon.
#pragma once

#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>
#include <jackdawhall/settings.hpp>

namespace jackdawhall::daemon
{

calls::settings call_settings(settings::daemon_settings const& s);

control::consensus_settings
consensus_settings(settings::daemon_settings const& s);

control::node_options node_options(settings::daemon_settings const& s);

} // namespace jackdawhall::daemon
