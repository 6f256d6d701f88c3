// Concurrency limit of one backend server, learnt from latency. The limit falls
// by a tenth when the server's own latency is over twice its base, and climbs
// by a tenth in each window in which it was used and latency was good; so it is
// back from 1 to 64 slots within 45 windows of 50 ms. Compare Netflix's
// adaptive limits and TCP Vegas (published ideas only).
#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

inline constexpr duration limiter_window = std::chrono::milliseconds(50);
// The base is the least latency of the last one to two of these.
inline constexpr duration min_latency_window = std::chrono::seconds(10);
// Latency over this many times the base lowers the limit.
inline constexpr std::int64_t latency_tolerance = 2;
// Latencies under this are never taken for overload: they are the machine's.
inline constexpr duration min_overload_latency = std::chrono::milliseconds(5);

struct limiter
{
    double limit_ = 1;                 // runs at once
    double max_limit_ = 1;             // the slots that the server announced
    duration previous_min_latency_{0}; // least latency of the window before
    duration current_min_latency_{0};  // least latency of this window
    instant min_latency_window_ends_;
    instant window_ends_;
    duration latency_sum_{0}; // of latencies in this window
    std::int64_t samples_ = 0;
    bool near_limit_ = false; // the limit was nearly reached in this window
    auto operator<=>(limiter const&) const = default;
};

limiter make_limiter(std::uint32_t slots, instant now);

// Takes the latency of a run, without the time its own calls took.
limiter
record_latency(limiter l, duration latency, std::size_t in_use, instant now);

// Runs at once that are allowed now; at least 1.
std::size_t concurrency_limit(limiter const& l);

} // namespace jackdawhall::calls
