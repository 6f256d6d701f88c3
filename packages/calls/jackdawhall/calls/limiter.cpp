#include <jackdawhall/calls/limiter.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr double step_factor = 1.1;

void update_min_latency(limiter& l, duration latency, instant now)
{
    if (now >= l.min_latency_window_ends_)
    {
        l.previous_min_latency_ = l.current_min_latency_;
        l.current_min_latency_ = latency;
        l.min_latency_window_ends_ = now + min_latency_window;
    }
    l.current_min_latency_ = l.current_min_latency_ == duration{0}
                                 ? latency
                                 : std::min(l.current_min_latency_, latency);
}

duration min_latency(limiter const& l)
{
    if (l.previous_min_latency_ == duration{0})
        return l.current_min_latency_;
    return std::min(l.previous_min_latency_, l.current_min_latency_);
}

void end_window(limiter& l, instant now)
{
    duration const mean =
        l.latency_sum_ / std::max<std::int64_t>(1, l.samples_);
    duration const overload_latency =
        std::max(min_latency(l) * latency_tolerance, min_overload_latency);
    if (mean > overload_latency)
        l.limit_ = std::max(1.0, l.limit_ / step_factor);
    else if (l.near_limit_)
        l.limit_ = std::min(
            l.max_limit_, std::max(l.limit_ * step_factor, l.limit_ + 0.5));
    l.latency_sum_ = duration{0};
    l.samples_ = 0;
    l.near_limit_ = false;
    l.window_ends_ = now + limiter_window;
}

} // namespace

limiter make_limiter(std::uint32_t slots, instant now)
{
    limiter l;
    l.max_limit_ = std::max<std::uint32_t>(1, slots);
    l.limit_ = l.max_limit_;
    l.min_latency_window_ends_ = now + min_latency_window;
    l.window_ends_ = now + limiter_window;
    return l;
}

limiter
record_latency(limiter l, duration latency, std::size_t in_use, instant now)
{
    update_min_latency(l, latency, now);
    l.latency_sum_ += latency;
    ++l.samples_;
    l.near_limit_ =
        l.near_limit_ || static_cast<double>(in_use) >= 0.8 * l.limit_;
    if (now >= l.window_ends_)
        end_window(l, now);
    return l;
}

std::size_t concurrency_limit(limiter const& l)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(l.limit_));
}

} // namespace jackdawhall::calls
