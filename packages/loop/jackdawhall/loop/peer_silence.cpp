// How links whose peer is silent are found and closed.
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/peer_link.hpp>
#include <jackdawhall/loop/peer_links.hpp>

namespace jackdawhall::loop
{

namespace
{

instant now()
{
    return read_clocks().now_;
}

} // namespace

// Bytes that wait here or that the peer's kernel has not acknowledged.
std::size_t peer_links::unacknowledged_bytes(link const& l)
{
    int in_kernel = 0;
    if (ioctl(g_socket_get_fd(l.socket_), SIOCOUTQ, &in_kernel) != 0)
        in_kernel = 0;
    return l.waiting_.waiting_ + static_cast<std::size_t>(in_kernel);
}

void peer_links::arm(link& l, duration after)
{
    instant const due = now() + after;
    if (l.timer_due_ && *l.timer_due_ <= due)
        return; // tend() sets the next time
    l.timer_due_ = due;
    if (!l.timer_)
        l.timer_ = make_timer(
            [&l]
            {
                l.timer_due_.reset();
                l.owner_->tend(l);
            });
    set_timer_due(l.timer_, due);
}

// Sets the next time at which a ready link is looked at.
void peer_links::arm_check(link& l)
{
    link_check const check =
        check_link(l.health_, l.outbound_, links_.size(), now());
    arm(l,
        check.action_ == link_action::wait ? check.next_check_ : duration{0});
}

void peer_links::tend(link& l)
{
    if (l.stage_ != link_stage::ready)
        return close(l, "it was not made in time");
    l.health_ = mark_unacknowledged(l.health_, unacknowledged_bytes(l), now());
    link_check check = check_link(l.health_, l.outbound_, links_.size(), now());
    if (check.action_ == link_action::close_silent)
    {
        // After a pause of this process the answer may be there, not read yet.
        read_ready(l);
        if (l.stage_ == link_stage::closed)
            return;
        check = check_link(l.health_, l.outbound_, links_.size(), now());
    }
    switch (check.action_)
    {
    case link_action::close_silent:
        return close_silent(l);
    case link_action::close_idle:
        return close(l, "it was idle");
    case link_action::probe:
        queue(l, ping_frame{}, 0);
        break;
    case link_action::wait:
        break;
    }
    if (l.stage_ != link_stage::closed)
        arm(l, check.next_check_);
}

// What ended this link may have ended the others with the host: they are
// probed, and used again once something comes over them.
void peer_links::close_silent(link& l)
{
    host_name const host = l.host_;
    doubted_since_.insert_or_assign(host, *l.health_.unanswered_since_);
    close(l, "the peer is silent");
    for (link& other : links_)
    {
        bool const same =
            other.host_ == host && other.stage_ == link_stage::ready;
        if (same && !is_trusted(other))
            queue(other, ping_frame{}, 0);
    }
}

bool peer_links::is_trusted(link const& l) const
{
    auto const doubted = doubted_since_.find(l.host_);
    return doubted == doubted_since_.end() ||
           l.health_.last_received_ > doubted->second;
}

} // namespace jackdawhall::loop
