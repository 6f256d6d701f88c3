// How long the peer of a link has been silent, and what to do about it. Values
// and functions of time alone. Not for users of the package.
#pragma once

#include <compare>
#include <cstddef>
#include <optional>

#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// A link is closed this long after bytes to which nothing came back.
inline constexpr duration silence_limit = std::chrono::seconds(1);
// The same for a link that was not heard from lately when they were sent.
inline constexpr duration stale_silence_limit = std::chrono::milliseconds(500);
inline constexpr duration heard_lately = std::chrono::seconds(1);

struct link_health
{
    instant last_received_;
    instant last_used_; // for a message, either way
    // When the oldest bytes were sent to which nothing came back.
    std::optional<instant> unanswered_since_;
    bool stale_ = false; // not heard from lately at that time
    instant last_probed_;
    // Bytes that the peer's kernel had not acknowledged at the last look.
    std::size_t unacknowledged_ = 0;
    auto operator<=>(link_health const&) const = default;
};

// Bytes came from the peer.
link_health mark_received(link_health h, instant now);
// A message was sent or received.
link_health mark_used(link_health h, instant now);
// Bytes were sent that the peer answers.
link_health mark_asked(link_health h, instant now);

// A probe was sent.
link_health mark_probed(link_health h, instant now);

// `unacknowledged` bytes are on their way. Fewer than at the last look: the
// peer takes what is sent, and has the whole time again to answer.
link_health
mark_unacknowledged(link_health h, std::size_t unacknowledged, instant now);

enum class link_action
{
    wait,
    probe,
    close_silent,
    close_idle
};

struct link_check
{
    link_action action_ = link_action::wait;
    duration next_check_{0}; // if the link stays open
    auto operator<=>(link_check const&) const = default;
};

// `links`: all links of this daemon, which share the rate of idle probes.
link_check
check_link(link_health const& h, bool outbound, std::size_t links, instant now);

} // namespace jackdawhall::loop
