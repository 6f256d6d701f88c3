// What a handler ended is destroyed in the next round of the loop, also while
// there is always something else to read: closed connections would keep their
// memory otherwise for as long as the load lasts.
#include <catch2/catch.hpp>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/later.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr int rounds = 100;

// A source that is ready in each round, as a connection under load is.
struct busy_source
{
    event_loop* loop_ = nullptr;
    later* asked_ = nullptr;
    int rounds_ = 0;
};

gboolean dispatch_busy(gpointer data)
{
    busy_source& busy = *static_cast<busy_source*>(data);
    if (busy.rounds_++ == 0)
        busy.asked_->ask();
    if (busy.rounds_ == rounds)
        busy.loop_->quit();
    return G_SOURCE_CONTINUE;
}

} // namespace

TEST_CASE("what was put off is done in the next round of a busy loop")
{
    event_loop loop;
    busy_source busy;
    int done_in_round = rounds;
    later asked([&] { done_in_round = busy.rounds_; });
    busy.loop_ = &loop;
    busy.asked_ = &asked;
    source_ptr const always(g_idle_source_new());
    g_source_set_priority(always.get(), G_PRIORITY_DEFAULT);
    g_source_set_callback(always.get(), dispatch_busy, &busy, nullptr);
    attach(always);
    loop.run();
    CHECK(done_in_round <= 2);
}
