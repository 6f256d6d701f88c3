#include <jackdawhall/loop/timer.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include <jackdawhall/loop/event_loop.hpp>

namespace jackdawhall::loop
{

namespace
{

// The timers that are set, the earliest first, and the source that waits for
// one of them or for an earlier instant.
struct timer_queue
{
    std::set<std::pair<instant, timer*>> due_;
    instant armed_ = instant::max();
    GSource* source_ = nullptr;
};

gboolean dispatch(GSource* source, GSourceFunc callback, gpointer data);

GSourceFuncs queue_functions{nullptr, nullptr, dispatch,
                             nullptr, nullptr, nullptr};

// One for the program's only loop; it lives as long as the program.
timer_queue& queue()
{
    static timer_queue* const made = []
    {
        auto* q = new timer_queue;
        q->source_ = g_source_new(&queue_functions, sizeof(GSource));
        g_source_set_can_recurse(q->source_, TRUE);
        g_source_attach(q->source_, nullptr);
        return q;
    }();
    return *made;
}

void arm(timer_queue& q)
{
    instant const first =
        q.due_.empty() ? instant::max() : q.due_.begin()->first;
    if (first >= q.armed_)
        return;
    q.armed_ = first;
    // GLib's ready times are by a clock that stands still in a suspension.
    duration const left = first - read_clocks().now_;
    g_source_set_ready_time(
        q.source_,
        g_get_monotonic_time() + std::max<std::int64_t>(0, left.count()));
}

gboolean dispatch(GSource* source, GSourceFunc, gpointer)
{
    timer_queue& q = queue();
    g_source_set_ready_time(source, -1);
    q.armed_ = instant::max();
    // Timers that become due while these fire wait for the next round, so that
    // other sources have their turn.
    instant const now = read_clocks().now_;
    while (!q.due_.empty() && q.due_.begin()->first <= now)
    {
        timer* const t = q.due_.begin()->second;
        t->set(instant::max());
        t->fire();
    }
    arm(q);
    return G_SOURCE_CONTINUE;
}

} // namespace

timer::~timer()
{
    set(instant::max());
}

void timer::set(instant due)
{
    timer_queue& q = queue();
    if (due_ != instant::max())
        q.due_.erase({due_, this});
    due_ = due;
    if (due_ == instant::max())
        return;
    q.due_.emplace(due_, this);
    arm(q);
}

void timer::fire()
{
    // What is called may destroy this timer.
    std::function<void()> const f = f_;
    f();
}

timer_ptr make_timer(std::function<void()> f)
{
    return std::make_unique<timer>(std::move(f));
}

void set_timer_due(timer_ptr const& t, instant due)
{
    t->set(due);
}

} // namespace jackdawhall::loop
