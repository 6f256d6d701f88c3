#include <jackdawhall/loop/event_loop.hpp>

#include <csignal>
#include <glib-unix.h>

namespace jackdawhall::loop
{

present read_clocks()
{
    return {
        instant{duration{g_get_monotonic_time()}},
        wall_time{std::chrono::milliseconds{g_get_real_time() / 1000}}};
}

event_loop::event_loop() : loop_(g_main_loop_new(nullptr, FALSE))
{
    std::signal(SIGPIPE, SIG_IGN);
}

void event_loop::run()
{
    g_main_loop_run(loop_.get());
}

void event_loop::quit()
{
    g_main_loop_quit(loop_.get());
}

void event_loop::set_timer(instant due, std::function<void()> f)
{
    on_timer_ = std::move(f);
    if (timer_ && timer_due_ == due)
        return;
    timer_due_ = due;
    if (!timer_)
    {
        timer_.reset(g_timeout_source_new(0));
        g_source_set_callback(
            timer_.get(),
            [](gpointer self) -> gboolean
            {
                event_loop& l = *static_cast<event_loop*>(self);
                g_source_set_ready_time(l.timer_.get(), -1);
                l.timer_due_ = instant{};
                l.on_timer_();
                return G_SOURCE_CONTINUE;
            },
            this, nullptr);
        g_source_attach(timer_.get(), nullptr);
    }
    g_source_set_ready_time(timer_.get(), due.time_since_epoch().count());
}

void event_loop::on_stop_signal(std::function<void()> f)
{
    on_stop_ = std::move(f);
    for (int const signal : {SIGTERM, SIGINT})
    {
        g_unix_signal_add(
            signal,
            [](gpointer self) -> gboolean
            {
                static_cast<event_loop*>(self)->on_stop_();
                return G_SOURCE_CONTINUE;
            },
            this);
    }
}

} // namespace jackdawhall::loop
