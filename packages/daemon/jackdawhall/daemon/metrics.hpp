// Metrics by Boost.Accumulators, in the text exposition format that monitoring
// systems commonly read.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>
#include <jackdawhall/daemon/log.hpp>
#include <jackdawhall/loop.hpp>

namespace jackdawhall::daemon
{

// Upper bounds of a histogram's buckets, in microseconds; one more holds what
// is longer.
inline constexpr std::array<std::int64_t, 14> latency_bounds{
    100,    250,    500,     1'000,   2'500,     5'000,     10'000,
    25'000, 50'000, 100'000, 250'000, 1'000'000, 2'500'000, 10'000'000};

// Histogram of durations since the start.
class latency
{
public:
    void add(duration d);
    // Lines for a metric called `name`, in seconds; `labels` may be empty.
    std::string
    expose(std::string const& name, std::string const& labels) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum>>;
    accumulator accumulator_;
    std::array<std::uint64_t, latency_bounds.size() + 1> buckets_{};
};

struct labelled_latency
{
    std::string labels_;
    latency latency_;
};

// All histograms of one metric.
std::string expose_latencies(
    std::string const& name, std::string const& help,
    std::vector<labelled_latency> const& all);

// Counters of the call node; every reason has its own.
std::string expose_calls(calls::state const& s, instant now);

// Gauges of the control node.
std::string expose_control(control::state const& s, instant now);

// Memory held for others, and who was told to give some back.
std::string expose_budget(loop::memory_budget const& b);

// What the process itself uses.
std::string expose_process(log_counts const& lines, std::size_t inputs);

} // namespace jackdawhall::daemon
