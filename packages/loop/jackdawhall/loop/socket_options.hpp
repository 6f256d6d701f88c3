// TCP options by which the kernel notices a connection that went silent.
// Not for users of the package.
#pragma once

#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

// Sends without delay; gives a connection up whose bytes are not acknowledged
// within 3 s, or which is idle and does not answer probes for 8 s.
void set_socket_options(GSocket* socket);

// The same for a stream that is a socket connection; others are left alone.
void set_socket_options(GIOStream* stream);

} // namespace jackdawhall::loop
