#include <jackdawhall/calls/limiter.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr double step_factor = 1.1;

void learn_base(limiter& l, duration latency, instant now)
{
    if (now >= l.base_ends_)
    {
        l.base_ = l.next_base_;
        l.next_base_ = latency;
        l.base_ends_ = now + base_window;
    }
    l.next_base_ =
        l.next_base_ == duration{0} ? latency : std::min(l.next_base_, latency);
}

duration base_of(limiter const& l)
{
    if (l.base_ == duration{0})
        return l.next_base_;
    return std::min(l.base_, l.next_base_);
}

void end_window(limiter& l, instant now)
{
    duration const mean = l.sum_ / std::max<std::int64_t>(1, l.samples_);
    duration const slow =
        std::max(base_of(l) * latency_tolerance, least_slow_latency);
    if (mean > slow)
        l.limit_ = std::max(1.0, l.limit_ / step_factor);
    else if (l.used_)
        l.limit_ =
            std::min(l.most_, std::max(l.limit_ * step_factor, l.limit_ + 0.5));
    l.sum_ = duration{0};
    l.samples_ = 0;
    l.used_ = false;
    l.window_ends_ = now + limiter_window;
}

} // namespace

limiter make_limiter(std::uint32_t slots, instant now)
{
    limiter l;
    l.most_ = std::max<std::uint32_t>(1, slots);
    l.limit_ = l.most_;
    l.base_ends_ = now + base_window;
    l.window_ends_ = now + limiter_window;
    return l;
}

limiter
take_latency(limiter l, duration latency, std::size_t in_use, instant now)
{
    learn_base(l, latency, now);
    l.sum_ += latency;
    ++l.samples_;
    l.used_ = l.used_ || static_cast<double>(in_use) >= 0.8 * l.limit_;
    if (now >= l.window_ends_)
        end_window(l, now);
    return l;
}

std::size_t allowed(limiter const& l)
{
    return std::max<std::size_t>(1, static_cast<std::size_t>(l.limit_));
}

} // namespace jackdawhall::calls
