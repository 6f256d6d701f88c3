// A link of peer_links, in all its stages. Not for users of the package.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/frame_queue.hpp>
#include <jackdawhall/loop/link_health.hpp>
#include <jackdawhall/loop/peer_links.hpp>
#include <jackdawhall/loop/timer.hpp>

namespace jackdawhall::loop
{

inline constexpr duration connect_timeout = std::chrono::seconds(1);
inline constexpr duration handshake_timeout = std::chrono::seconds(2);

enum class link_stage
{
    connecting,
    proving,
    ready,
    closed
};

struct peer_links::link
{
    peer_links* owner_ = nullptr;
    link_stage stage_ = link_stage::connecting;
    bool outbound_ = false;
    host_name host_;
    std::string nonce_;
    object_ptr<GSocketConnection> connection_;
    object_ptr<GCancellable> connecting_;
    GSocket* socket_ = nullptr;
    source_ptr readable_;
    source_ptr writable_;
    timer_ptr timer_;
    std::optional<instant> timer_due_;
    std::string in_;
    frame_queue waiting_;
    std::deque<std::pair<std::string, std::uint64_t>> before_ready_;
    std::size_t before_ready_bytes_ = 0;
    link_health health_;
    std::unique_ptr<budget_share> queue_share_;
    std::unique_ptr<budget_share> frame_share_;
    std::uint32_t pings_ = 0; // not answered
};

} // namespace jackdawhall::loop
