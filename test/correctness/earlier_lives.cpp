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
