// The order in which a daemon ends after a stop signal. What is decided here
// the daemon carries out: each step follows from what is still open and the
// time, and none is later than the end of the drain period.
#pragma once

#include <compare>
#include <cstddef>

#include <jackdawhall/model.hpp>

namespace jackdawhall::daemon
{

enum class shutdown_phase
{
    running,   // no stop signal yet
    working,   // calls and runs are in progress
    answering, // no connection is accepted; those open finish, and changes
    flushing,  // peers take what was sent to them
    closing,   // the links with peers are closed in order
    ended
};

struct shutdown_state
{
    shutdown_phase phase_ = shutdown_phase::running;
    instant began_;
    instant end_ = instant::max(); // of the phase, at the latest
    instant drained_by_ = instant::max();
    // While flushing: links that were behind when last looked at, and until
    // when peers may ask again for what a link that ended has lost.
    std::size_t links_behind_ = 0;
    instant inquiries_until_ = instant::min();
    auto operator<=>(shutdown_state const&) const = default;
};

// What is still open in a daemon.
struct open_work
{
    std::size_t connections_ = 0;  // of callers and operators
    std::size_t links_behind_ = 0; // with bytes that the peer has not taken
    std::size_t links_ = 0;        // with peers
    std::size_t changes_ = 0;      // of the configuration, in progress here
    auto operator<=>(open_work const&) const = default;
};

// A stop signal came. Only a daemon that `takes_calls` has calls to finish.
shutdown_state
begin_shutdown(bool takes_calls, instant drained_by, instant now);

// The calls and runs are finished, or given up.
shutdown_state finish_calls(shutdown_state s, instant drained_by);

// A link ended. If it was behind, what it carried may be lost, and the peer
// asks for it over another one.
shutdown_state
note_link_lost(shutdown_state s, open_work const& open, instant now);

// When to look at the shutdown again, if nothing happens before.
instant next_check(shutdown_state const& s, instant now);

// Goes on to the next phase, if nothing holds it up any more.
shutdown_state
continue_shutdown(shutdown_state s, open_work const& open, instant now);

} // namespace jackdawhall::daemon
