// Adaptive concurrency limit of one backend server, based on its latency
// without nested calls. At the end of each window, the limit is divided by 1.1
// if the mean latency exceeds twice the baseline. Otherwise, if the limit was
// nearly used up (80 %), it is multiplied by 1.1 or raised by 0.5, whichever
// gives more. So it recovers from 1 to 64 slots within 45 windows of 50 ms.
// Compare Netflix's adaptive limits and TCP Vegas (published ideas only).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

inline constexpr duration limiter_window = std::chrono::milliseconds(50);
// The baseline is the minimum latency of the current and the previous baseline
// window. Baseline windows have this length, apart from limiter_window.
inline constexpr duration min_latency_window = std::chrono::seconds(10);
// The limit decreases when the mean latency exceeds this multiple of the
// baseline.
inline constexpr std::int64_t latency_tolerance = 2;
// Mean latencies below this never count as overload: they are due to the
// machine, not to the server's load.
inline constexpr duration min_overload_latency = std::chrono::milliseconds(5);

struct limiter
{
    double limit_ = 1;                 // concurrent runs
    double max_limit_ = 1;             // slots that the server announced
    duration previous_min_latency_{0}; // 0: no previous window yet
    duration current_min_latency_{0};  // 0: no sample yet
    instant min_latency_window_ends_;
    instant window_ends_;      // of the current limiter_window
    duration latency_sum_{0};  // in the current limiter_window
    std::int64_t samples_ = 0; // in the current limiter_window
    bool near_limit_ = false;  // nearly used up in the current limiter_window
    auto operator<=>(limiter const&) const = default;
};

limiter make_limiter(std::uint32_t slots, instant now);

// Adds a sample: the latency of a run without the time of its nested calls.
// `in_use` counts the runs in progress, including this one.
limiter
record_latency(limiter l, duration latency, std::size_t in_use, instant now);

// Current limit of concurrent runs; at least 1.
std::size_t concurrency_limit(limiter const& l);

} // namespace jackdawhall::calls
