// Instants and durations. Decisions never read a clock: the front end passes in
// the current time, so that tests can run in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace jackdawhall
{

// Duration in microseconds.
using duration = std::chrono::microseconds;

// Monotonic clock of one process. It has no now(): only the front end reads the
// current time. Instants of different processes are not comparable.
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

// Milliseconds since the Unix epoch, by a clock that may be inaccurate. Used
// only where an identifier carries a wall-clock time (UUIDv7, RFC 9562).
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

// Values of both clocks, read together by the front end.
struct clock_reading
{
    instant now_;
    wall_time wall_;
    auto operator<=>(clock_reading const&) const = default;
};

// Maximum relative drift between the clocks of two hosts during a lease: one
// part in `clock_drift_divisor`.
inline constexpr std::int64_t clock_drift_divisor = 100;

// Returns the time after which a lease of `length` has expired at its holder
// under the maximum clock drift. The grantor waits this long.
constexpr duration with_drift_margin(duration length)
{
    return length + length / clock_drift_divisor;
}

} // namespace jackdawhall
