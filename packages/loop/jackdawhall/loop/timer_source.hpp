// A source of the main loop that fires once at its ready time, and again only
// when it is given another one. GLib's own timeout sources set their next time
// after each dispatch. Not for users of the package.
#pragma once

#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// Attached to the default context, and not set.
source_ptr make_timer(GSourceFunc callback, gpointer data);

// instant::max() unsets it.
void set_timer_due(source_ptr const& timer, instant due);

} // namespace jackdawhall::loop
