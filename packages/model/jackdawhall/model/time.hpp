// Instants and durations. Decisions never read a clock: the front end passes
// the present instant, so that tests run in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace jackdawhall
{

// Span of time in microseconds.
using duration = std::chrono::microseconds;

// Monotonic clock of one process. It has no now(): only the front end knows
// the present instant, and instants of two processes are not comparable.
struct monotonic_clock
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = jackdawhall::duration;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

// Microseconds since an arbitrary origin of this process.
using instant = monotonic_clock::time_point;

// Milliseconds since the Unix epoch, by a clock that may be wrong. Used only
// where an identifier carries a wall-clock time (UUIDv7, RFC 9562).
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Both clocks, read together by the front end.
struct clock_reading
{
    instant now_;
    wall_time wall_;
    auto operator<=>(clock_reading const&) const = default;
};

// Largest relative error allowed between the clocks of two hosts over a lease:
// one part in `clock_drift_divisor`.
inline constexpr std::int64_t clock_drift_divisor = 100;

// Returns the time after which a lease of `length` has ended for its holder,
// however much its clock drifts: what the giver waits.
constexpr duration with_drift_margin(duration length)
{
    return length + length / clock_drift_divisor;
}

} // namespace jackdawhall
