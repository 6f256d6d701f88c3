// How a backend server's recent runs went, as its gate counts them. The gate
// reports it with each answer, and entries place calls by it.
//
// Load pattern: servers that answer their health checks and fail a part of
// their requests, or are several times slower than before, while others of
// their service have room.
#pragma once

#include <compare>
#include <cstdint>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

// Decaying sums over the runs of one server.
struct run_statistics
{
    double runs_ = 0;
    double failures_ = 0;
    double seconds_ = 0; // of all runs, without their nested calls
    instant updated_at_;
    auto operator<=>(run_statistics const&) const = default;
};

// A run that has ended, or whose time has passed.
struct ended_run
{
    bool failed_ = false; // by a fault of the server itself
    duration time_{0};    // at the server, without nested calls
    auto operator<=>(ended_run const&) const = default;
};

run_statistics
record_run(run_statistics statistics, ended_run const& run, instant now);

// Failures per thousand runs, low while there are few runs.
std::uint32_t failures_per_thousand(run_statistics const& statistics);
// Mean time of a run; 0 while there are too few.
duration mean_run_time(run_statistics const& statistics);

// The usual time of a run at the servers of one service: a geometric mean that
// follows slowly, so that a part of the servers may be slow for a while.
struct usual_run_time
{
    double log_seconds_ = 0;
    instant first_at_;
    instant updated_at_;
    auto operator<=>(usual_run_time const&) const = default;
};

// `reported` is the mean run time of one server; greater than 0.
usual_run_time
follow_run_time(usual_run_time usual, duration reported, instant now);

// Whether a server with these reports is a worse place than another one.
bool fails_often(std::uint32_t failures_per_thousand);
bool is_slow(usual_run_time const& usual, duration reported);

} // namespace jackdawhall::calls
