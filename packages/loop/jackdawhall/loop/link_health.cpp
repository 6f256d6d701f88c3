#include <jackdawhall/loop/link_health.hpp>

#include <algorithm>

namespace jackdawhall::loop
{

namespace
{

constexpr duration probe_delay = std::chrono::milliseconds(500);
constexpr duration probe_interval = std::chrono::milliseconds(300);
constexpr duration probe_answer_time = std::chrono::milliseconds(200);
// Idle links are probed by the side that opened them.
constexpr duration idle_probe_interval = std::chrono::seconds(15);
constexpr duration used_probe_interval = std::chrono::seconds(2);
// A link that carried a message within this time counts as in use.
constexpr duration in_use_time = std::chrono::seconds(10);
constexpr duration idle_limit = std::chrono::seconds(60);
constexpr std::int64_t max_idle_probes_per_second = 10; // of a daemon

duration idle_interval(link_health const& h, std::size_t links, instant now)
{
    if (now - h.last_used_ > in_use_time)
        return idle_probe_interval;
    duration const shared = std::chrono::seconds(
        static_cast<std::int64_t>(links) / max_idle_probes_per_second);
    return std::clamp(shared, used_probe_interval, idle_probe_interval);
}

// The link is closed only after a probe that the peer had time to answer: this
// process may have been paused meanwhile.
link_check
check_unanswered(link_health const& h, instant unanswered_since, instant now)
{
    bool const probed = h.last_probed_ >= unanswered_since;
    instant const end = std::max(
        unanswered_since + (h.stale_ ? stale_silence_limit : silence_limit),
        h.last_probed_ + probe_answer_time);
    if (probed && now >= end)
        return {link_action::close_silent, duration{0}};
    instant const due =
        probed ? std::min(h.last_probed_ + probe_interval, end)
               : unanswered_since + (h.stale_ ? duration{0} : probe_delay);
    if (now < due)
        return {link_action::wait, due - now};
    return {link_action::probe, probe_answer_time};
}

} // namespace

link_health mark_received(link_health h, instant now)
{
    h.last_received_ = now;
    h.unanswered_since_.reset();
    return h;
}

link_health mark_used(link_health h, instant now)
{
    h.last_used_ = now;
    return h;
}

link_health mark_asked(link_health h, instant now)
{
    if (h.unanswered_since_)
        return h;
    h.unanswered_since_ = now;
    h.stale_ = now - h.last_received_ > heard_lately;
    return h;
}

link_health mark_probed(link_health h, instant now)
{
    h.last_probed_ = now;
    return h;
}

link_health
mark_unacknowledged(link_health h, std::size_t unacknowledged, instant now)
{
    bool const progress = unacknowledged < h.unacknowledged_;
    h.unacknowledged_ = unacknowledged;
    if (h.unanswered_since_ && progress)
        h.unanswered_since_ = now;
    return h;
}

link_check
check_link(link_health const& h, bool outbound, std::size_t links, instant now)
{
    if (h.unanswered_since_)
        return check_unanswered(h, *h.unanswered_since_, now);
    duration const idle = now - h.last_received_;
    if (!outbound && idle >= idle_limit)
        return {link_action::close_idle, duration{0}};
    duration const interval =
        outbound ? idle_interval(h, links, now) : idle_probe_interval;
    if (outbound && idle >= interval)
        return {link_action::probe, probe_interval};
    duration const left = outbound ? interval - idle : interval;
    return {link_action::wait, std::max(left, probe_interval)};
}

} // namespace jackdawhall::loop
