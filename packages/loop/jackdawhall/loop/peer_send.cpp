// Which link a message to a host goes over.
#include <algorithm>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/peer_link.hpp>
#include <jackdawhall/loop/peer_links.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr duration reconnect_delay = std::chrono::milliseconds(200);

} // namespace

// Orders the links with a host by how likely a message arrives over them soon.
peer_links::preference peer_links::preference_of(link const& l) const
{
    bool const ready = l.stage_ == link_stage::ready;
    if (ready && is_trusted(l))
        return l.outbound_ ? preference::own : preference::peers;
    return ready ? preference::doubted : preference::connecting;
}

peer_links::link* peer_links::link_to(host_name const& host)
{
    link* best = nullptr;
    for (link& l : links_)
    {
        bool const usable = l.host_ == host && l.stage_ != link_stage::closed;
        if (usable && (!best || preference_of(l) >= preference_of(*best)))
            best = &l;
    }
    return best;
}

bool peer_links::has_own_link(host_name const& host) const
{
    return std::any_of(
        links_.begin(), links_.end(),
        [&](link const& l)
        {
            return l.host_ == host && l.outbound_ &&
                   l.stage_ != link_stage::closed &&
                   preference_of(l) != preference::doubted;
        });
}

bool peer_links::may_connect(host_name const& host) const
{
    auto const failed = failed_.find(host);
    return addresses_.contains(host) &&
           (failed == failed_.end() ||
            read_clocks().now_ - failed->second >= reconnect_delay);
}

void peer_links::send(host_name const& to, std::string bytes, std::uint64_t tag)
{
    if (finished_)
        return handlers_.undelivered_(to, std::move(bytes));
    if (!has_own_link(to) && may_connect(to))
        connect_to(to);
    link* const l = link_to(to);
    if (!l)
        return handlers_.undelivered_(to, std::move(bytes));
    if (l->stage_ == link_stage::ready)
        queue(*l, message_frame{std::move(bytes)}, tag);
    else
    {
        l->before_ready_bytes_ += bytes.capacity();
        l->before_ready_.emplace_back(std::move(bytes), tag);
        count(*l);
    }
}

// Messages that waited for a link that was not made go over another one, if
// there is one that is ready.
void peer_links::give_back(
    host_name const& host,
    std::deque<std::pair<std::string, std::uint64_t>> waiting)
{
    for (auto& [bytes, tag] : waiting)
    {
        link* const other = link_to(host);
        if (!finished_ && other && other->stage_ == link_stage::ready)
            queue(*other, message_frame{std::move(bytes)}, tag);
        else
            handlers_.undelivered_(host, std::move(bytes));
    }
}

} // namespace jackdawhall::loop
