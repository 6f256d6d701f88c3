// A report of a crash that was lost is given again, and a copy counts no crash
// twice.
#include <catch2/catch.hpp>

#include "scenario.hpp"
#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t gate = 4;
constexpr std::size_t entry = 3;

std::vector<std::int64_t> recorded_crashes(memory_fleet const& fleet)
{
    std::vector<std::int64_t> counts;
    for (auto const& [key, held] :
         fleet.control_of(fleet.leader().value()).machine_.records_)
    {
        if (suspect_v1 const* s = std::get_if<suspect_v1>(&held.body_))
            counts.push_back(s->crashes_);
    }
    return counts;
}

// A request crashes the server of the gate. The links between the gate and the
// control hosts lose all messages for `lost`, from before that on.
void crash_server(memory_fleet& fleet, duration lost)
{
    wait_until_ready(fleet, 5);
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", repeatable_route("/plans", "plans"))});
    backend_options b;
    b.id_ = "plans-1";
    b.service_ = name_literal<service_name>("plans");
    fleet.add_backend(gate, b);
    fleet.run_for(2s);
    fleet.send_request(entry, request_with_key("GET", "/plans", "acme"));
    fleet.run_for(1s);
    for (std::size_t control = 0; control < 3 && lost > duration{0}; ++control)
        fleet.cut(gate, control);
    fleet.send_request(
        entry, with_header(
                   request_with_key("GET", "/plans", "acme", "killer"),
                   "fake-crash", "1"));
    fleet.run_for(std::max<duration>(lost, 100ms));
    REQUIRE_FALSE(fleet.backend_up("plans-1"));
    fleet.heal_all();
}

void crash_at(single_node& node)
{
    node.announce("a");
    forward_request f;
    f.number_ = 1;
    f.service_ = single_node::service();
    f.server_id_ = "a";
    f.context_.timeout_ = 5s;
    f.suspect_ = "suspect";
    f.request_ = {"GET", "/plans", {}, {}};
    node.give(name_literal<host_name>("entry"), f);
    std::vector<run_on_backend> const runs = node.made<run_on_backend>();
    REQUIRE(runs.size() == 1);
    node.give(run_finished{runs[0].run_, connection_broken{}});
    node.give(probe_result{"a", false});
}

} // namespace

TEST_CASE("a crash whose report was lost is counted once the leader is heard")
{
    memory_fleet fleet({});
    crash_server(fleet, 800ms);
    fleet.run_for(5s);
    CHECK(recorded_crashes(fleet) == std::vector<std::int64_t>{1});
}

TEST_CASE("a crash whose report arrived is counted once")
{
    memory_fleet fleet({});
    crash_server(fleet, duration{0});
    fleet.run_for(12s);
    CHECK(recorded_crashes(fleet) == std::vector<std::int64_t>{1});
    CHECK(fleet.calls_of(gate).crash_reports_.empty());
}

TEST_CASE("a report is repeated each second, for a minute at most")
{
    single_node node;
    crash_at(node);
    REQUIRE(node.sent<crash_report>().size() == 1);
    crash_report const report = node.sent<crash_report>()[0];
    for (int second = 1; second < 60; ++second)
    {
        node.pass(1s);
        REQUIRE(node.sent<crash_report>() == std::vector{report});
    }
    node.pass(1s);
    CHECK(node.sent<crash_report>().empty());
    CHECK(node.state().crash_reports_.empty());
}
