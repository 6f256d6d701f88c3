// Shared rates: the parts of an account's rate and burst that control hosts and
// daemons spend without asking each other, and the tolerance of their sum.
#pragma once

#include <compare>
#include <cstdint>

#include <jackdawhall/model/name.hpp>
#include <jackdawhall/model/time.hpp>

namespace jackdawhall
{

// Parts of a rate are whole numbers, of which this is all of the rate.
inline constexpr std::int64_t whole_rate = 1'000'000;

// A control host grants its shares, and a daemon spends what it was lent of
// them, until this long after a majority of the control hosts was in contact.
// Shorter than a control host's silence until others take over its share, by a
// report interval.
inline constexpr duration local_share_lifetime = std::chrono::seconds(3);

// A control host that is silent for this long to the others loses its shares to
// them. One that restarts earlier is shown what its earlier run had lent.
inline constexpr duration peer_silence_timeout = std::chrono::seconds(4);

// Part of an account's rate and burst that a control host lends to a daemon.
struct local_share
{
    account_name account_;
    std::int64_t part_ = 0; // in units of whole_rate
    auto operator<=>(local_share const&) const = default;
};

// Number of requests by which an account may exceed its shared rate, across the
// fleet, in any window of the given length: share_ * (rate * window + burst) +
// requests_. share_ is the relative tolerance, requests_ the absolute one.
struct rate_tolerance
{
    double share_ = 0;
    double requests_ = 0;
    duration window_ = std::chrono::seconds(1);
    auto operator<=>(rate_tolerance const&) const = default;
};

// Fractions of both tolerances.
struct tolerance_fractions
{
    double relative_ = 0;
    double absolute_ = 0;
    auto operator<=>(tolerance_fractions const&) const = default;
};

} // namespace jackdawhall
