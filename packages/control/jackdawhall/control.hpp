// Control plane: the replicated log, configuration distribution, claims,
// membership and rate grants. The state of a control host is control::state;
// pipeline.cpp lists the filters that process its inputs, in order.
#pragma once

#include <jackdawhall/control/allocate_grants.hpp>
#include <jackdawhall/control/answered_requests.hpp>
#include <jackdawhall/control/apply_command.hpp>
#include <jackdawhall/control/consensus.hpp>
#include <jackdawhall/control/distribute_configuration.hpp>
#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/control/pipeline.hpp>
#include <jackdawhall/control/track_membership.hpp>
