// A call that waited at a gate and never ran is answered as not run, so that
// its caller may try again.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

constexpr duration time_limit = 1s;

forward_request forward(call_number number)
{
    forward_request f;
    f.number_ = number;
    f.service_ = single_node::service();
    f.server_id_ = "a";
    f.context_.timeout_ = time_limit;
    f.request_ = {"GET", "/plans", {}, {}};
    return f;
}

// Forwards to the gate until one is queued; returns the last two, a running and
// a queued one.
std::pair<call_number, call_number>
fill(single_node& node, host_name const& from, duration limit)
{
    call_number number = 0;
    do
    {
        forward_request f = forward(++number);
        f.context_.timeout_ = limit;
        node.give(from, f);
    } while (!node.made<run_on_backend>().empty());
    return {number - 1, number};
}

} // namespace

// Its entry took the end of the gate for a loss, and could not try elsewhere.
TEST_CASE("a run queued at the end of a stop is refused as not run")
{
    single_node node;
    node.announce("a");
    host_name const from = name_literal<host_name>("entry");
    duration const drain =
        node.state().settings_.shutdown_periods_.drain_period_;
    auto const [running, queued] = fill(node, from, 2 * drain);
    node.give(stop_requested{});
    node.pass(drain);
    std::vector<forward_response> const given = node.sent<forward_response>();
    REQUIRE(given.size() == 1);
    CHECK(given[0].number_ == queued);
    CHECK(
        given[0].verdict_ == verdict{not_run{refusal_reason::stopping, 100ms}});
    CHECK(node.state().run_of_forward_.contains({from, running}));
}

// A time limit raised beyond the grace time: the gate queued the call until
// after the entry had given it up.
TEST_CASE("a call taken during a stop has no more time than the stop")
{
    settings s = single_node::make_settings();
    s.shutdown_periods_.accept_period_ = 2500ms;
    single_node node(7, s);
    host_name const gate_host = name_literal<host_name>("gate");
    duration const drain =
        node.state().settings_.shutdown_periods_.drain_period_;
    node.learn(
        {single_node::server_at(gate_host, 77)}, repetition::repeatable,
        2 * drain);
    node.give(caller_request{1, {"GET", "/plans", {}, {}}});
    REQUIRE(node.sent<forward_request>().size() == 1);
    CHECK(node.sent<forward_request>()[0].context_.timeout_ == 2 * drain);
    node.give(stop_requested{});
    node.give(caller_request{2, {"GET", "/plans", {}, {}}});
    REQUIRE(node.sent<forward_request>().size() == 1);
    CHECK(node.sent<forward_request>()[0].context_.timeout_ <= drain);
    node.pass(drain);
    CHECK(node.made<stopped>().size() == 1);
    CHECK(node.made<answer_caller>().size() == 2);
}
