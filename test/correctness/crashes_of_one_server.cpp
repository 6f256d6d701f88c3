// A request that crashes a server again and again is refused, though the server
// keeps its id (BUDGET); one that was only beside the crashes is not.
#include <catch2/catch.hpp>

#include "scenario.hpp"
#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
constexpr std::size_t gate = 5;
constexpr std::size_t entry = 6;
constexpr std::size_t other_gate = 7;
constexpr std::size_t hosts = 8;
constexpr int times = 6; // that the crashing request comes

backend_options make_server(std::string const& id)
{
    backend_options b;
    b.id_ = id;
    b.service_ = name_literal<service_name>("plans");
    b.service_time_ = 20ms;
    return b;
}

fleet_options make_options()
{
    fleet_options o = five_control_hosts(1);
    o.hosts_ = hosts;
    return o;
}

void set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, hosts);
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", repeatable_route("/plans", "plans"))});
    fleet.add_backend(gate, make_server("plans-1"));
    fleet.run_for(3s);
}

request killer()
{
    return with_header(
        request_with_key("GET", "/plans", "acme", "killer"), "fake-crash", "1");
}

// The server is back under its id a while after it crashed.
void bring_back(memory_fleet& fleet, std::string const& id)
{
    if (!fleet.backend_up(id))
        fleet.restart_backend(id, id);
}

// Lets the crashing request come, and its server be back 2 s later; returns
// whether it crashed.
bool crashes_once(memory_fleet& fleet)
{
    fleet.send_request(entry, killer());
    fleet.run_for(500ms);
    bool const crashed = !fleet.backend_up("plans-1");
    fleet.run_for(1500ms);
    bring_back(fleet, "plans-1");
    fleet.run_for(2s);
    return crashed;
}

bool is_quarantined(memory_fleet const& fleet, std::uint64_t number)
{
    std::optional<verdict> const v = fleet.verdict_of(number);
    not_run const* refused = v ? std::get_if<not_run>(&*v) : nullptr;
    return refused && refused->reason_ == refusal_reason::quarantined;
}

// The requests beside, equal to each other, one each 40 ms for 200 ms.
class requests_beside
{
public:
    explicit requests_beside(memory_fleet& fleet) : fleet_(fleet) {}

    void begin(duration length)
    {
        for (duration after{0}; after < length; after += 40ms)
            fleet_.at(
                fleet_.now() + after,
                [this]
                {
                    numbers_.push_back(fleet_.send_request(
                        entry,
                        with_header(
                            request_with_key("GET", "/plans", "acme", "usual"),
                            "fake-sleep-ms", "200")));
                });
    }
    std::size_t quarantined() const
    {
        return static_cast<std::size_t>(std::count_if(
            numbers_.begin(), numbers_.end(),
            [&](std::uint64_t n) { return is_quarantined(fleet_, n); }));
    }

private:
    memory_fleet& fleet_;
    std::vector<std::uint64_t> numbers_;
};

call_number
start_run(single_node& node, call_number forward, std::string const& suspect)
{
    forward_request f;
    f.number_ = forward;
    f.service_ = single_node::service();
    f.server_id_ = "a";
    f.context_.timeout_ = 5s;
    f.suspect_ = suspect;
    f.request_ = {"GET", "/plans", {}, {}};
    node.give(name_literal<host_name>("entry"), f);
    std::vector<run_on_backend> const runs = node.made<run_on_backend>();
    REQUIRE(runs.size() == 1);
    return runs[0].run_;
}

std::vector<std::string> reported_suspects(single_node const& node)
{
    std::vector<crash_report> const reports = node.sent<crash_report>();
    return reports.size() == 1 ? reports[0].suspects_
                               : std::vector<std::string>{};
}

using suspects = std::vector<std::string>;

} // namespace

TEST_CASE("a request crashes a server that keeps its id twice")
{
    memory_fleet fleet(make_options());
    set_up(fleet);
    int crashes = 0;
    for (int n = 0; n < times; ++n)
        crashes += crashes_once(fleet) ? 1 : 0;
    CHECK(crashes == quarantine_crash_threshold);
}

TEST_CASE("crashes are counted on by the next leader")
{
    memory_fleet fleet(make_options());
    set_up(fleet);
    int crashes = 0;
    for (int n = 0; n < times; ++n)
    {
        std::size_t const leader = fleet.leader().value();
        fleet.kill(leader);
        fleet.run_for(3s);
        fleet.start(leader);
        fleet.run_for(1s);
        crashes += crashes_once(fleet) ? 1 : 0;
    }
    CHECK(crashes == quarantine_crash_threshold);
}

TEST_CASE("a request that runs well elsewhere is not refused for the crashes")
{
    memory_fleet fleet(make_options());
    set_up(fleet);
    fleet.add_backend(other_gate, make_server("plans-2"));
    fleet.run_for(3s);
    requests_beside beside(fleet);
    beside.begin(times * 4s);
    for (int n = 0; n < times; ++n)
    {
        fleet.send_request(entry, killer());
        fleet.run_for(2s);
        bring_back(fleet, "plans-1");
        bring_back(fleet, "plans-2");
        fleet.run_for(2s);
    }
    fleet.run_for(1s);
    CHECK(beside.quarantined() == 0);
    std::uint64_t const again = fleet.send_request(entry, killer());
    fleet.run_for(1s);
    CHECK(is_quarantined(fleet, again));
}

TEST_CASE("a request that the server ran well just before is no suspect")
{
    single_node node;
    node.announce("a");
    call_number const first = start_run(node, 1, "usual");
    node.give(run_finished{first, answered{answer{200, {}, {}}}});
    call_number const beside = start_run(node, 2, "usual");
    call_number const killing = start_run(node, 3, "killer");
    node.give(run_finished{beside, connection_broken{}});
    node.give(run_finished{killing, connection_broken{}});
    node.give(probe_result{"a", false});
    CHECK(reported_suspects(node) == suspects{"killer"});
}

TEST_CASE("a good end long ago, or a failure, says nothing of a crash")
{
    bool const failed = GENERATE(true, false);
    single_node node;
    node.announce("a");
    call_number const first = start_run(node, 1, "killer");
    std::uint16_t const status = failed ? 500 : 200;
    node.give(run_finished{first, answered{answer{status, {}, {}}}});
    if (!failed)
        node.pass(11s);
    call_number const killing = start_run(node, 2, "killer");
    node.give(run_finished{killing, connection_broken{}});
    node.give(probe_result{"a", false});
    CHECK(reported_suspects(node) == suspects{"killer"});
}

TEST_CASE("a request that crashes its server within the answer is a suspect")
{
    single_node node;
    node.announce("a");
    call_number const killing = start_run(node, 1, "killer");
    node.give(run_finished{
        killing, connection_broken{indeterminate_reason::answer_incomplete}});
    CHECK(node.made<probe_server>().empty());
    call_number const next = start_run(node, 2, "next");
    node.give(run_finished{next, not_connected{}});
    REQUIRE(node.made<probe_server>().size() == 1);
    node.give(probe_result{"a", false});
    CHECK(reported_suspects(node) == suspects{"killer"});
}

TEST_CASE("a run that breaks off after the probe that failed is a suspect")
{
    single_node node;
    node.announce("a");
    call_number const beside = start_run(node, 1, "usual");
    call_number const killing = start_run(node, 2, "killer");
    node.give(run_finished{beside, connection_broken{}});
    node.give(probe_result{"a", false});
    CHECK(node.sent<crash_report>().empty());
    bool const restarted = GENERATE(true, false);
    if (restarted)
        node.announce("a", 2);
    node.give(run_finished{killing, connection_broken{}});
    CHECK(reported_suspects(node) == suspects{"killer", "usual"});
    CHECK(node.made<probe_server>().empty());
}

TEST_CASE("a crash is reported soon, though a run at its server goes on")
{
    single_node node;
    node.announce("a");
    call_number const killing = start_run(node, 1, "killer");
    start_run(node, 2, "usual");
    node.give(run_finished{killing, connection_broken{}});
    node.give(probe_result{"a", false});
    REQUIRE(node.sent<crash_report>().empty());
    CHECK(next_due(node.state()) <= node.now() + 500ms);
    node.pass(500ms);
    CHECK(reported_suspects(node) == suspects{"killer"});
}

TEST_CASE("a crash shows in the announcement of the next process")
{
    single_node node;
    node.announce("a", 1);
    call_number const killing = start_run(node, 1, "killer");
    node.give(run_finished{killing, connection_broken{}});
    node.announce("a", 2);
    REQUIRE(node.sent<crash_report>().size() == 1);
    CHECK(node.sent<crash_report>()[0].started_ == 1);
    node.give(probe_result{"a", true});
    CHECK(reported_suspects(node).empty());
}
