// Decisions on calls, made by every daemon: at the entry, where a caller's
// request comes in, and at the gate, beside the backend server that runs it.
// The node is calls::state; pipeline.cpp lists its filters in order.
#pragma once

#include <jackdawhall/calls/configuration.hpp>
#include <jackdawhall/calls/limiter.hpp>
#include <jackdawhall/calls/pipeline.hpp>
#include <jackdawhall/calls/state.hpp>
