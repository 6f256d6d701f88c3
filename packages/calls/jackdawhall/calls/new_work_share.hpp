// The share of a backend server's slots that new work may hold. Calls of runs
// in progress take precedence in the queue; this lets them also find a slot.
//
// Load pattern: near a server's capacity, long requests of callers and short
// calls of runs in progress. A run holds its slot to its end, so the long ones
// would come to hold all slots, and the calls would wait out their time.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

struct new_work_share
{
    double share_ = 1;     // of the slots
    bool delayed_ = false; // a call waited long in the current window
    bool full_ = false;    // no slot was free at a moment of the window
    instant window_ends_;
    std::optional<instant> last_call_at_; // of a run in progress
    auto operator<=>(new_work_share const&) const = default;
};

// Whether a call of a run in progress waited long, by its time limit.
bool is_long_wait(duration waited, duration time_limit);

// Notes a call of a run in progress, and whether it waited long or was refused
// for want of a slot.
new_work_share record_call(new_work_share s, bool delayed, instant now);

// Notes that no slot is free.
new_work_share record_full(new_work_share s);

// Ends the window if it is over: the share falls by a fifth if a call waited
// long in it, and grows if a slot was free all the while.
new_work_share advance_share(new_work_share s, instant now);

// Most runs of new work at once, of a server with this concurrency limit; at
// least 1. One slot is left to calls of runs in progress while there are any.
std::size_t
max_new_runs(new_work_share const& s, std::size_t limit, instant now);

} // namespace jackdawhall::calls
