// Metrics by Boost.Accumulators, in the text exposition format that monitoring
// systems commonly read.
#pragma once

#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <string>

#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>

namespace jackdawhall::daemon
{

// Distribution of durations since the start, in microseconds.
class latency
{
public:
    latency();
    void add(duration d);
    // Lines for a metric called `name`, in seconds.
    std::string expose(std::string const& name) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::count, boost::accumulators::tag::sum,
            boost::accumulators::tag::max,
            boost::accumulators::tag::extended_p_square_quantile>>;
    accumulator accumulator_;
};

// Counters of the call node; every reason has its own.
std::string expose_calls(calls::state const& s, instant now);

// Gauges of the control node.
std::string expose_control(control::state const& s, instant now);

} // namespace jackdawhall::daemon
