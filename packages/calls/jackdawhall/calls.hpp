// Call handling of a daemon, without input or output. A daemon has two roles:
// as the entry it receives a caller's request, applies policy, and forwards it;
// as the gate it queues forwarded requests for a backend server on its host and
// runs them there. calls::state holds the state of both roles; pipeline.cpp
// lists the filters of the entry in order.
#pragma once

#include <jackdawhall/calls/configuration.hpp>
#include <jackdawhall/calls/limiter.hpp>
#include <jackdawhall/calls/pipeline.hpp>
#include <jackdawhall/calls/settings.hpp>
#include <jackdawhall/calls/state.hpp>
