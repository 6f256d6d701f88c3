#include <jackdawhall/loop/timer_source.hpp>

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
    g_source_set_ready_time(timer.get(), due.time_since_epoch().count());
}

} // namespace jackdawhall::loop
