// Timers of the main loop. A timer fires once at its due time, and again only
// when it is given another one. All of them share one source of GLib's, which
// is told only of a due time earlier than the one it waits for: GLib wakes its
// own poll each time that it is told. Not for users of the package.
#pragma once

#include <memory>

#include <glib.h>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

class timer;
using timer_ptr = std::unique_ptr<timer>;

// Calls `callback` with `data` when due. The result of the callback is unused.
timer_ptr make_timer(GSourceFunc callback, gpointer data);

// instant::max() unsets it.
void set_timer_due(timer_ptr const& t, instant due);

class timer
{
public:
    timer(GSourceFunc callback, gpointer data)
        : callback_(callback), data_(data)
    {
    }
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    void set(instant due);
    void fire() { callback_(data_); }

private:
    GSourceFunc callback_;
    gpointer data_;
    instant due_ = instant::max();
};

} // namespace jackdawhall::loop
