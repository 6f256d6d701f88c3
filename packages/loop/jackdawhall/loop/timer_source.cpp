#include <jackdawhall/loop/timer_source.hpp>

#include <algorithm>

#include <jackdawhall/loop/event_loop.hpp>

namespace jackdawhall::loop
{

namespace
{

gboolean fire(GSource* source, GSourceFunc callback, gpointer data)
{
    g_source_set_ready_time(source, -1);
    return callback(data);
}

GSourceFuncs timer_functions{nullptr, nullptr, fire, nullptr, nullptr, nullptr};

} // namespace

source_ptr make_timer(GSourceFunc callback, gpointer data)
{
    source_ptr timer(g_source_new(&timer_functions, sizeof(GSource)));
    g_source_set_callback(timer.get(), callback, data, nullptr);
    g_source_attach(timer.get(), nullptr);
    return timer;
}

void set_timer_due(source_ptr const& timer, instant due)
{
    if (due == instant::max())
        return g_source_set_ready_time(timer.get(), -1);
    // GLib's ready times are by a clock that stands still in a suspension.
    duration const left = due - read_clocks().now_;
    g_source_set_ready_time(
        timer.get(), g_get_monotonic_time() + std::max<std::int64_t>(
                                                  0, left.count()));
}

} // namespace jackdawhall::loop
