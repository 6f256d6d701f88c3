// One HTTP request that a command-line program waits for, on a main loop.
#pragma once

#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// The largest body of an answer that is taken.
inline constexpr std::size_t max_fetched_bytes = 64 << 20;

// Fails with user_error if no whole answer came within `timeout`, or if its
// body is larger than max_fetched_bytes.
leaf::result<answer>
fetch(endpoint const& to, request const& r, std::chrono::seconds timeout);

// Lets a command-line program wait on a main loop of its own. Never called by
// the daemon, which has one loop.
void pause_program(duration d);

} // namespace jackdawhall::loop
