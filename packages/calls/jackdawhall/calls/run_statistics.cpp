#include <jackdawhall/calls/run_statistics.hpp>

#include <algorithm>
#include <cmath>

namespace jackdawhall::calls
{

namespace
{

constexpr double decay_time_seconds = 3;
// Assumed runs without a failure, so that the first failures say little.
constexpr double assumed_runs = 20;
constexpr double min_runs_of_a_mean = 3;
constexpr double usual_time_constant_seconds = 30;
constexpr std::uint32_t failing_threshold = 60; // per thousand
// Of the usual time. Servers of one service differ by half of that.
constexpr double slow_factor = 3;
constexpr duration min_slow_difference = std::chrono::milliseconds(20);

double seconds(duration d)
{
    return std::chrono::duration<double>(d).count();
}

} // namespace

run_statistics
record_run(run_statistics statistics, ended_run const& run, instant now)
{
    double const kept =
        std::exp(-seconds(now - statistics.updated_at_) / decay_time_seconds);
    statistics.runs_ = statistics.runs_ * kept + 1;
    statistics.failures_ = statistics.failures_ * kept + (run.failed_ ? 1 : 0);
    statistics.seconds_ = statistics.seconds_ * kept + seconds(run.time_);
    statistics.updated_at_ = now;
    return statistics;
}

std::uint32_t failures_per_thousand(run_statistics const& statistics)
{
    return static_cast<std::uint32_t>(
        1000 * statistics.failures_ / (statistics.runs_ + assumed_runs));
}

duration mean_run_time(run_statistics const& statistics)
{
    if (statistics.runs_ < min_runs_of_a_mean)
        return duration{0};
    std::chrono::duration<double> const mean(
        statistics.seconds_ / statistics.runs_);
    return std::chrono::duration_cast<duration>(mean);
}

usual_run_time
follow_run_time(usual_run_time usual, duration reported, instant now)
{
    double const value = std::log(seconds(reported));
    if (usual.first_at_ == instant{})
        return {value, now, now};
    double const step = seconds(now - usual.updated_at_);
    double const age = seconds(now - usual.first_at_);
    double const weight =
        age > 0
            ? std::min(1.0, step / std::min(age, usual_time_constant_seconds))
            : 0.5;
    usual.log_seconds_ += (value - usual.log_seconds_) * weight;
    usual.updated_at_ = now;
    return usual;
}

bool fails_often(std::uint32_t failures_per_thousand)
{
    return failures_per_thousand >= failing_threshold;
}

bool is_slow(usual_run_time const& usual, duration reported)
{
    double const usual_seconds = std::exp(usual.log_seconds_);
    return seconds(reported) > usual_seconds * slow_factor &&
           seconds(reported) - usual_seconds > seconds(min_slow_difference);
}

} // namespace jackdawhall::calls
