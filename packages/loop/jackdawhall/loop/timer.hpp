// Timers of the main loop. A timer fires once at its due time, and again only
// when it is given another one. All of them share one source of GLib's, which
// is told only of a due time earlier than the one it waits for: GLib wakes its
// own poll each time that it is told. Not for users of the package.
#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

class timer;
using timer_ptr = std::unique_ptr<timer>;

// Calls `f` when due.
timer_ptr make_timer(std::function<void()> f);

// instant::max() unsets it.
void set_timer_due(timer_ptr const& t, instant due);

class timer
{
public:
    explicit timer(std::function<void()> f) : f_(std::move(f)) {}
    ~timer();
    timer(timer const&) = delete;
    timer& operator=(timer const&) = delete;

    void set(instant due);
    void fire();

private:
    std::function<void()> f_;
    instant due_ = instant::max();
};

} // namespace jackdawhall::loop
