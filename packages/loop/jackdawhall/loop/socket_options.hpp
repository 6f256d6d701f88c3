// Options of the sockets to callers, backend servers and peers: no delay, and a
// bound on how long bytes may stay unacknowledged. Not for users of the
// package.
#pragma once

#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

void set_socket_options(int fd);
void set_socket_options(GSocket* socket);

} // namespace jackdawhall::loop
