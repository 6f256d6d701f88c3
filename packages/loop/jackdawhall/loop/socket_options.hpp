// Options of the sockets to callers, backend servers and peers: no delay, and a
// bound on how long bytes may stay unacknowledged or unread. Not for users of
// the package.
#pragma once

#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// A peer or backend server that acknowledges nothing for this long is gone.
inline constexpr duration peer_stall_time = std::chrono::seconds(3);
// Callers may read slowly: one that takes nothing for this long is gone.
inline constexpr duration caller_stall_time = std::chrono::seconds(30);

void set_socket_options(int fd, duration stall_time = peer_stall_time);
void set_socket_options(GSocket* socket);

} // namespace jackdawhall::loop
