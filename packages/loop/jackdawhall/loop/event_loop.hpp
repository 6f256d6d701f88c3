// The main loop, its clocks, one timer and the stop signals.
#pragma once

#include <functional>

#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/loop/timer.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// Both clocks now: CLOCK_BOOTTIME, and the system's wall clock.
clock_reading read_clocks();

class event_loop
{
public:
    event_loop();

    // Does something once, some time from now.
    class delayed
    {
    public:
        void set(duration after, std::function<void()> f);

    private:
        timer_ptr timer_;
        std::function<void()> f_;
    };

    // Runs until quit().
    void run();
    void quit();

    // Calls `f` once, at `due` or at an earlier time that was set before.
    void set_timer(instant due, std::function<void()> f);

    // Calls `f` for SIGTERM and SIGINT.
    void on_stop_signal(std::function<void()> f);

    // Calls `f` for SIGHUP.
    void on_reload_signal(std::function<void()> f);

private:
    struct loop_deleter
    {
        void operator()(GMainLoop* l) const { g_main_loop_unref(l); }
    };
    std::unique_ptr<GMainLoop, loop_deleter> loop_;
    timer_ptr timer_;
    std::optional<instant> timer_due_; // nothing: not set
    std::function<void()> on_timer_;
    std::function<void()> on_stop_;
    std::function<void()> on_reload_;
};

} // namespace jackdawhall::loop
