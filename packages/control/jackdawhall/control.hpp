// Decisions on shared state, made on the control hosts: the replicated log,
// configuration, claims, membership and rate grants. The node of a control host
// is control_state; pipeline.cpp lists its filters in order.
#pragma once

#include <jackdawhall/control/allocate_grants.hpp>
#include <jackdawhall/control/apply_command.hpp>
#include <jackdawhall/control/consensus.hpp>
#include <jackdawhall/control/distribute_configuration.hpp>
#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/control/pipeline.hpp>
#include <jackdawhall/control/track_membership.hpp>
