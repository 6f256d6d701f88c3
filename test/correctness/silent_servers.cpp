// What kept connections to a sound backend server that went silent cost: one
// run at most, and that one goes on elsewhere in time where it may be repeated.
#include <catch2/catch.hpp>

#include <map>
#include <optional>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/timer.hpp>

#include "scripted_server.hpp"
#include "silent_relay.hpp"

using namespace jackdawhall;
using namespace jackdawhall::loop;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kept = 5; // connections

// The server keeps connections for longer than any case lasts.
test::script const reply{
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: "
    "2\r\n\r\nok",
    "", false};

struct result
{
    backend_result what_;
    instant at_;
};

// A client with kept connections to a sound server.
struct kept_connections
{
    event_loop loop_;
    test::scripted_server server_{{reply}};
    test::silent_relay relay_{{"127.0.0.1", server_.port()}};
    std::map<std::uint64_t, result> results_;
    std::uint64_t waited_for_ = 0;
    backend_client client_{
        {[this](std::uint64_t run, backend_result r)
         {
             results_.emplace(run, result{std::move(r), read_clocks().now_});
             if (run == waited_for_)
                 loop_.quit();
         },
         [](std::string const&, bool) {}}};

    kept_connections()
    {
        for (std::uint64_t run = 1; run <= kept; ++run)
            start(run, 2s, false);
        while (results_.size() < kept)
            run_for(5ms);
        REQUIRE(relay_.connections() == kept);
    }

    void start(std::uint64_t run, duration timeout, bool may_be_repeated)
    {
        client_.run(
            run, relay_.address(), {"GET", "/", {}, {}}, timeout,
            {"", "", false, may_be_repeated});
    }

    void wait_for(std::uint64_t run)
    {
        waited_for_ = run;
        if (!results_.contains(run))
            loop_.run();
    }

    void run_for(duration d)
    {
        timer_ptr const end = make_timer([this] { loop_.quit(); });
        set_timer_due(end, read_clocks().now_ + d);
        loop_.run();
    }

    bool is_answered(std::uint64_t run) const
    {
        auto const known = results_.find(run);
        return known != results_.end() &&
               std::holds_alternative<backend_answered>(known->second.what_);
    }
};

std::optional<indeterminate_reason> doubt_of(result const& r)
{
    backend_broken const* b = std::get_if<backend_broken>(&r.what_);
    return b ? std::optional(b->reason_) : std::nullopt;
}

} // namespace

TEST_CASE("connections that went silent cost one run, and not one each")
{
    kept_connections c;
    c.relay_.fall_silent();
    c.run_for(20ms);
    c.start(11, 300ms, false);
    c.wait_for(11);
    CHECK(!c.is_answered(11));
    for (std::uint64_t run = 12; run < 12 + kept; ++run)
    {
        c.start(run, 300ms, false);
        c.wait_for(run);
        CHECK(c.is_answered(run));
    }
}

TEST_CASE("a run that may be repeated ends soon on a connection that is dead")
{
    kept_connections c;
    c.relay_.drop_packets();
    c.run_for(20ms);
    instant const sent = read_clocks().now_;
    c.start(11, 2s, true);
    c.wait_for(11);
    CHECK(doubt_of(c.results_.at(11)) == indeterminate_reason::connection_lost);
    CHECK(c.results_.at(11).at_ - sent < 1300ms);
    c.start(12, 2s, true);
    c.wait_for(12);
    CHECK(c.is_answered(12));
}

TEST_CASE("other runs do not wait for one that may not be repeated")
{
    kept_connections c;
    c.relay_.drop_packets();
    c.run_for(20ms);
    c.start(11, 2500ms, false);
    c.run_for(1100ms);
    CHECK(!c.results_.contains(11)); // it goes on to its limit
    c.start(12, 300ms, false);
    c.wait_for(12);
    CHECK(c.is_answered(12));
    c.wait_for(11);
    CHECK(doubt_of(c.results_.at(11)) == indeterminate_reason::deadline_passed);
}

TEST_CASE("a slow server's connections are kept while their bytes arrive")
{
    event_loop loop;
    test::scripted_server const server({reply, {"", "", false}, reply});
    std::uint64_t answered = 0;
    backend_client client(
        {[&](std::uint64_t, backend_result const& r)
         {
             answered += std::holds_alternative<backend_answered>(r) ? 1 : 0;
             loop.quit();
         },
         [](std::string const&, bool) {}});
    answer_rules const rules{"", "", false, true};
    endpoint const to{"127.0.0.1", server.port()};
    client.run(1, to, {"GET", "/", {}, {}}, 2s, rules);
    loop.run();
    client.run(2, to, {"GET", "/", {}, {}}, 1500ms, rules);
    instant const sent = read_clocks().now_;
    loop.run();
    CHECK(answered == 1);
    CHECK(read_clocks().now_ - sent >= 1500ms);
}

// The calls package cancels a run that may be repeated at its deadline, just
// before the client's own time limit.
TEST_CASE("connections found silent by a run that is cancelled at its deadline "
          "cost no other")
{
    bool const acknowledged = GENERATE(false, true);
    kept_connections c;
    if (acknowledged)
        c.relay_.fall_silent();
    else
        c.relay_.drop_packets();
    c.run_for(20ms);
    c.start(11, 800ms, true);
    c.run_for(795ms);
    c.client_.cancel(11);
    c.start(12, 800ms, true);
    c.run_for(795ms);
    CHECK(c.is_answered(12));
}
