#include <jackdawhall/loop/server_prober.hpp>

#include <utility>

#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/timer.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr duration connect_timeout = std::chrono::seconds(1);

} // namespace

struct server_prober::probe_in_progress
{
    server_prober* owner_ = nullptr;
    std::string server_id_;
    int fd_ = -1;
    source_ptr connecting_;
    timer_ptr timer_;
};

server_prober::server_prober(
    std::function<void(std::string const& server_id, bool alive)> probed)
    : probed_(std::move(probed))
{
}

server_prober::~server_prober()
{
    for (auto const& held : probes_)
        close_fd(held.second->fd_);
}

void server_prober::probe(std::string const& server_id, endpoint const& to)
{
    auto made = std::make_unique<probe_in_progress>();
    probe_in_progress& p = *made;
    p.owner_ = this;
    p.server_id_ = server_id;
    p.fd_ = begin_connect(to);
    if (p.fd_ < 0)
        return probed_(server_id, false);
    probes_.emplace(&p, std::move(made));
    p.connecting_ = watch_fd(
        p.fd_, static_cast<GIOCondition>(G_IO_OUT | G_IO_ERR | G_IO_HUP),
        [](gint fd, GIOCondition, gpointer data) -> gboolean
        {
            probe_in_progress& ready = *static_cast<probe_in_progress*>(data);
            ready.owner_->end(ready, is_connected(fd));
            return G_SOURCE_REMOVE;
        },
        &p);
    p.timer_ = make_timer([&p] { p.owner_->end(p, false); });
    set_timer_due(p.timer_, read_clocks().now_ + connect_timeout);
}

void server_prober::end(probe_in_progress& p, bool alive)
{
    auto const known = probes_.find(&p);
    if (known == probes_.end())
        return;
    p.connecting_.reset();
    p.timer_.reset();
    close_fd(std::exchange(p.fd_, -1));
    std::string const server_id = p.server_id_;
    ended_.push_back(std::move(known->second));
    probes_.erase(known);
    collect_.ask();
    probed_(server_id, alive);
}

void server_prober::collect()
{
    ended_.clear();
}

} // namespace jackdawhall::loop
