#include <jackdawhall/loop/event_loop.hpp>

#include <jackdawhall/loop/timer.hpp>

#include <csignal>
#include <ctime>
#include <glib-unix.h>
#include <utility>

namespace jackdawhall::loop
{

clock_reading read_clocks()
{
    // Unlike CLOCK_MONOTONIC it counts the time for which a host is suspended,
    // so that no lease outlives a suspension.
    timespec booted{};
    clock_gettime(CLOCK_BOOTTIME, &booted);
    return {
        instant{
            std::chrono::seconds{booted.tv_sec} +
            duration{booted.tv_nsec / 1000}},
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
    // An earlier time than needed stays: firing early costs less than telling
    // the loop of every later one.
    if (timer_ && timer_due_ && *timer_due_ <= due)
        return;
    timer_due_ = due;
    if (!timer_)
        timer_ = make_timer(
            [this]
            {
                timer_due_.reset();
                on_timer_();
            });
    set_timer_due(timer_, due);
}

void event_loop::delayed::set(duration after, std::function<void()> f)
{
    f_ = std::move(f);
    if (!timer_)
        timer_ = make_timer(
            [this]
            {
                std::function<void()> const due = std::exchange(f_, {});
                due();
            });
    set_timer_due(timer_, read_clocks().now_ + after);
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

void event_loop::on_reload_signal(std::function<void()> f)
{
    on_reload_ = std::move(f);
    g_unix_signal_add(
        SIGHUP,
        [](gpointer self) -> gboolean
        {
            static_cast<event_loop*>(self)->on_reload_();
            return G_SOURCE_CONTINUE;
        },
        this);
}

} // namespace jackdawhall::loop
