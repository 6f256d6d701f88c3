#include <jackdawhall/daemon/shutdown.hpp>

#include <algorithm>

namespace jackdawhall::daemon
{

namespace
{

// Peers close their side as soon as they read the end of ours.
constexpr duration link_close_time = std::chrono::milliseconds(500);

// A link that ended is reported to its peer over another one, which may have to
// be opened first; the peer then asks.
constexpr duration inquiry_time = std::chrono::seconds(1);

shutdown_state enter(shutdown_state s, shutdown_phase next, instant end)
{
    s.phase_ = next;
    s.end_ = std::min(end, s.drained_by_);
    return s;
}

} // namespace

shutdown_state begin_shutdown(bool takes_calls, instant drained_by, instant now)
{
    shutdown_state const s{
        takes_calls ? shutdown_phase::working : shutdown_phase::answering, now,
        takes_calls ? instant::max() : drained_by, drained_by};
    return s;
}

shutdown_state finish_calls(shutdown_state s, instant drained_by)
{
    if (s.phase_ != shutdown_phase::working)
        return s;
    s.drained_by_ = drained_by;
    return enter(s, shutdown_phase::answering, drained_by);
}

shutdown_state
note_link_lost(shutdown_state s, open_work const& open, instant now)
{
    bool const was_behind = open.links_behind_ < s.links_behind_;
    if (s.phase_ == shutdown_phase::flushing && was_behind)
        s.inquiries_until_ = now + inquiry_time;
    return s;
}

instant next_check(shutdown_state const& s, instant now)
{
    bool const asked =
        s.phase_ == shutdown_phase::flushing && s.inquiries_until_ > now;
    return asked ? std::min(s.end_, s.inquiries_until_) : s.end_;
}

shutdown_state
continue_shutdown(shutdown_state s, open_work const& open, instant now)
{
    switch (s.phase_)
    {
    case shutdown_phase::answering:
        if (now >= s.end_)
            return enter(s, shutdown_phase::ended, now);
        if (open.connections_ > 0 || open.changes_ > 0)
            return s;
        s.links_behind_ = open.links_behind_;
        return enter(s, shutdown_phase::flushing, s.drained_by_);
    case shutdown_phase::flushing:
        if (now >= s.end_)
            return enter(s, shutdown_phase::ended, now);
        s.links_behind_ = open.links_behind_;
        if (open.links_behind_ == 0 && now >= s.inquiries_until_)
            return enter(s, shutdown_phase::closing, now + link_close_time);
        return s;
    case shutdown_phase::closing:
        if (open.links_ == 0 || now >= s.end_)
            return enter(s, shutdown_phase::ended, now);
        return s;
    case shutdown_phase::running:
    case shutdown_phase::working:
    case shutdown_phase::ended:
        return s;
    }
    return s;
}

} // namespace jackdawhall::daemon
