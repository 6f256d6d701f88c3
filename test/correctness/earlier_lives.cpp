// What ends with a former process of a backend server says nothing of the next
// one under the same id.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const entry = name_literal<host_name>("entry");
constexpr std::int64_t former = 1;
constexpr std::int64_t present = 2;

// Starts a run at the server; returns its number.
call_number start_run(single_node& gate, call_number forward)
{
    forward_request f;
    f.number_ = forward;
    f.service_ = single_node::service();
    f.server_id_ = "a";
    f.context_.timeout_ = 5s;
    f.suspect_ = "suspect";
    f.request_ = {"GET", "/plans", {}, {}};
    gate.give(entry, f);
    std::vector<run_on_backend> const runs = gate.made<run_on_backend>();
    REQUIRE(runs.size() == 1);
    return runs[0].run_;
}

server_state state_of(single_node const& gate)
{
    return gate.state().local_servers_.at("a").announcement_.state_;
}

bool is_known(single_node const& gate)
{
    return gate.state().local_servers_.contains("a");
}

} // namespace

TEST_CASE("a failed probe of a former process doesn't remove the next one")
{
    single_node gate;
    gate.announce("a", former);
    call_number const run = start_run(gate, 1);
    gate.give(run_finished{run, connection_broken{}});
    REQUIRE(gate.made<probe_server>().size() == 1);
    gate.pass(100ms);
    gate.announce("a", present);
    gate.give(probe_result{"a", false});
    CHECK(is_known(gate));
    CHECK(gate.sent<crash_report>().empty());
    start_run(gate, 2);
}

TEST_CASE("a failed probe removes the process that it was for")
{
    single_node gate;
    gate.announce("a", former);
    call_number const run = start_run(gate, 1);
    gate.give(run_finished{run, connection_broken{}});
    gate.give(probe_result{"a", false});
    CHECK_FALSE(is_known(gate));
    CHECK(gate.sent<crash_report>().size() == 1);
}

TEST_CASE("a run that found another server instead of a former process")
{
    single_node gate;
    gate.announce("a", former);
    call_number const run = start_run(gate, 1);
    gate.pass(100ms);
    gate.announce("a", present);
    gate.give(
        run_finished{run, backend_refused{refusal_reason::server_replaced}});
    CHECK(is_known(gate));
    // A run of the present process that finds another server ends it.
    gate.pass(100ms);
    call_number const next = start_run(gate, 2);
    gate.give(
        run_finished{next, backend_refused{refusal_reason::server_replaced}});
    CHECK_FALSE(is_known(gate));
}

TEST_CASE(
    "a late deregistration of a former process doesn't drain the next one")
{
    std::int64_t const named = GENERATE(as<std::int64_t>{}, former, 0);
    single_node gate;
    gate.announce("a", former);
    gate.pass(100ms);
    gate.announce("a", present);
    gate.pass(5s);
    gate.give(server_deregistered{"a", named});
    CHECK(state_of(gate) == server_state::ready);
    CHECK(takes_work(gate.state(), "a")); // so it is not acknowledged
    start_run(gate, 1);
}

TEST_CASE("a deregistration drains the process that it names")
{
    std::int64_t const named = GENERATE(as<std::int64_t>{}, present, 0);
    single_node gate;
    gate.announce("a", former);
    gate.announce("a", present);
    gate.pass(11s); // nothing of the former process is on its way any more
    gate.give(server_deregistered{"a", named});
    CHECK(state_of(gate) == server_state::draining);
    gate.announce("a", present);
    CHECK(state_of(gate) == server_state::draining);
}

TEST_CASE("a process that is known only by its deregistration has ended")
{
    single_node gate;
    gate.announce("a", former);
    gate.give(server_deregistered{"a", present});
    gate.announce("a", present);
    CHECK(state_of(gate) == server_state::draining);
}
