#include <jackdawhall/calls/new_work_share.hpp>

#include <algorithm>
#include <cmath>

namespace jackdawhall::calls
{

namespace
{

constexpr duration share_window = std::chrono::milliseconds(100);
constexpr double decrease_factor = 0.8; // after a window with a long wait
constexpr double increase = 0.03;       // after a window with a free slot
constexpr double min_share = 0.1;
// A slot is left to calls for this long after the last one.
constexpr duration slot_kept_time = std::chrono::seconds(2);
// A wait is long from this part of the time limit on, so that a few calls in a
// row fit into the time of their run.
constexpr int long_wait_divisor = 8;

} // namespace

bool is_long_wait(duration waited, duration time_limit)
{
    return waited >= time_limit / long_wait_divisor;
}

new_work_share record_call(new_work_share s, bool delayed, instant now)
{
    s.delayed_ = s.delayed_ || delayed;
    s.last_call_at_ = now;
    return s;
}

new_work_share record_full(new_work_share s)
{
    s.full_ = true;
    return s;
}

new_work_share advance_share(new_work_share s, instant now)
{
    if (now < s.window_ends_)
        return s;
    if (s.delayed_)
        s.share_ = std::max(min_share, s.share_ * decrease_factor);
    else if (!s.full_)
        s.share_ = std::min(1.0, s.share_ + increase);
    s.delayed_ = false;
    s.full_ = false;
    s.window_ends_ = now + share_window;
    return s;
}

std::size_t
max_new_runs(new_work_share const& s, std::size_t limit, instant now)
{
    bool const calls_come =
        s.last_call_at_ && now - *s.last_call_at_ < slot_kept_time;
    double const share = s.share_ * static_cast<double>(limit);
    std::size_t const shared = static_cast<std::size_t>(std::floor(share));
    std::size_t const most = calls_come ? std::min(shared, limit - 1) : shared;
    return std::max<std::size_t>(1, most);
}

} // namespace jackdawhall::calls
