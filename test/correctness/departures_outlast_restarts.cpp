// A server whose departure was acknowledged gets no more work, also from a
// daemon that has started since: guards against a late announcement that
// brought a server back once its daemon had restarted (DRAIN).
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;
using calls::departure_outcome;

namespace
{

constexpr std::size_t gate = 4;
constexpr std::size_t entry = 3;
constexpr std::size_t control_hosts = 3;
constexpr std::int64_t started = 1'800'000'000'000;
constexpr duration announcement_interval = 1500ms;
// What a server that leaves waits for its acknowledgement.
constexpr duration ack_time = 1s;

calls::announcement
said(std::string const& id, std::int64_t sequence, server_state state)
{
    calls::announcement a;
    a.id_ = id;
    a.service_ = name_literal<service_name>("plans");
    a.address_ = {"10.0.0.9", 9000};
    a.slots_ = 8;
    a.connections_ = 500;
    a.state_ = state;
    a.started_ = started;
    a.sequence_ = sequence;
    return a;
}

calls::announcement ready(std::int64_t sequence)
{
    return said("leaving", sequence, server_state::ready);
}

calls::announcement draining(std::int64_t sequence)
{
    return said("leaving", sequence, server_state::draining);
}

void add_silent_server(memory_fleet& fleet, std::string const& id)
{
    backend_options b;
    b.id_ = id;
    b.service_ = name_literal<service_name>("plans");
    b.announces_ = false;
    fleet.add_backend(gate, b);
}

// One server beside the gate, which has announced itself with number 1.
void set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", repeatable_route("/plans", "plans"))});
    add_silent_server(fleet, "leaving");
    fleet.announce(gate, ready(1));
    fleet.run_for(1s);
}

// Sends requests for `length`; returns how many of them ran at the server.
std::size_t runs_within(
    memory_fleet& fleet, duration length, std::string const& server = "leaving")
{
    std::size_t const before = fleet.recorded_history().runs_.size();
    duration const end = fleet.now() + length;
    while (fleet.now() < end)
    {
        fleet.send_request(entry, request_with_key("GET", "/plans", "acme"));
        fleet.run_for(20ms);
    }
    std::vector<run_event> const& runs = fleet.recorded_history().runs_;
    return static_cast<std::size_t>(std::count_if(
        runs.begin() + static_cast<long>(before), runs.end(),
        [&](run_event const& run) { return run.server_ == server; }));
}

// Waits for the answer as long as the server does; nullopt: none came.
std::optional<departure_outcome>
acknowledged(memory_fleet& fleet, std::uint64_t number)
{
    fleet.run_for(ack_time);
    auto const& answers = fleet.recorded_history().departures_;
    auto const found = answers.find(number);
    if (found == answers.end())
        return std::nullopt;
    return found->second.outcome_;
}

std::optional<departure_outcome>
deregister(memory_fleet& fleet, std::int64_t process = started)
{
    fleet.deregister(gate, {"leaving", process});
    return acknowledged(fleet, fleet.await_departure(gate, "leaving"));
}

std::optional<departure_outcome>
drain(memory_fleet& fleet, std::int64_t sequence)
{
    fleet.announce(gate, draining(sequence));
    return acknowledged(fleet, fleet.await_departure(gate, "leaving"));
}

void restart(memory_fleet& fleet, std::size_t host)
{
    fleet.kill(host);
    fleet.run_for(300ms);
    fleet.start(host);
    fleet.run_for(500ms);
}

void stop_and_start(memory_fleet& fleet, std::size_t host)
{
    fleet.request_stop(host);
    REQUIRE(fleet.run_until([&] { return fleet.stopped(host); }, 30s));
    fleet.start(host);
    fleet.run_for(500ms);
}

void isolate_gate(memory_fleet& fleet)
{
    for (std::size_t host = 0; host < control_hosts; ++host)
    {
        fleet.cut(gate, host);
        fleet.cut(host, gate);
    }
}

constexpr std::optional<departure_outcome> recorded =
    departure_outcome::recorded;

} // namespace

TEST_CASE("a server that left before its daemon restarted stays away")
{
    bool const killed = GENERATE(true, false);
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(runs_within(fleet, 500ms) > 0);
    REQUIRE(deregister(fleet) == recorded);
    REQUIRE(deregister(fleet) == recorded); // the acknowledgement was lost
    if (killed)
        restart(fleet, gate);
    else
        stop_and_start(fleet, gate);
    fleet.announce(gate, ready(2));
    CHECK(runs_within(fleet, 4s) == 0);
}

TEST_CASE("a server that drains stays away after a restart of its daemon")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(drain(fleet, 4) == recorded);
    restart(fleet, gate);
    fleet.announce(gate, ready(3));
    CHECK(runs_within(fleet, 2s) == 0);
    // It goes on saying so.
    CHECK(drain(fleet, 5) == recorded);
    CHECK(runs_within(fleet, 2s) == 0);
}

TEST_CASE("a server that leaves right after a restart of its daemon stays away")
{
    std::int64_t const named = GENERATE(as<std::int64_t>{}, started, 0);
    memory_fleet fleet({});
    set_up(fleet);
    restart(fleet, gate);
    REQUIRE(deregister(fleet, named) == recorded);
    fleet.announce(gate, ready(2));
    CHECK(runs_within(fleet, 4s) == 0);
}

TEST_CASE("a departure outlasts the end of all processes at once")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(deregister(fleet) == recorded);
    for (std::size_t host = 0; host < 5; ++host)
        fleet.kill(host);
    fleet.run_for(200ms);
    for (std::size_t host = 0; host < 5; ++host)
        fleet.start(host);
    fleet.announce(gate, ready(2));
    wait_until_ready(fleet, 5);
    fleet.announce(gate, ready(3));
    CHECK(runs_within(fleet, 2s) == 0);
}

TEST_CASE("a departure that is not recorded isn't acknowledged, and binds here")
{
    memory_fleet fleet({});
    set_up(fleet);
    isolate_gate(fleet);
    CHECK(deregister(fleet) == departure_outcome::unrecorded);
    fleet.announce(gate, ready(2));
    CHECK(runs_within(fleet, 1s) == 0);
    fleet.heal_all();
    fleet.run_for(6s);
    // The server repeats what got no acknowledgement.
    CHECK(deregister(fleet) == recorded);
    restart(fleet, gate);
    fleet.announce(gate, ready(3));
    CHECK(runs_within(fleet, 2s) == 0);
}

TEST_CASE("announcements that cross a restart count once departures are known")
{
    memory_fleet fleet({});
    set_up(fleet);
    fleet.kill(gate);
    fleet.run_for(300ms);
    isolate_gate(fleet);
    fleet.start(gate);
    fleet.announce(gate, ready(2));
    CHECK(runs_within(fleet, 500ms) == 0);
    fleet.heal_all();
    // Not at the next announcement only.
    CHECK(runs_within(fleet, 2s) > 0);
}

TEST_CASE("a ready server is at work soon after a restart of its daemon")
{
    memory_fleet fleet({});
    set_up(fleet);
    fleet.kill(gate);
    fleet.run_for(300ms);
    fleet.start(gate);
    fleet.run_for(100ms);
    fleet.announce(gate, ready(2));
    CHECK(runs_within(fleet, announcement_interval) > 0);
}

TEST_CASE("a server that is ready again after draining gets work")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(drain(fleet, 2) == recorded);
    fleet.announce(gate, ready(3));
    fleet.run_for(500ms);
    CHECK(runs_within(fleet, 1s) > 0);
    restart(fleet, gate);
    fleet.announce(gate, ready(4));
    CHECK(runs_within(fleet, 2s) > 0);
    // Draining anew is a departure of its own.
    REQUIRE(drain(fleet, 5) == recorded);
    restart(fleet, gate);
    fleet.announce(gate, ready(4));
    CHECK(runs_within(fleet, 2s) == 0);
}

TEST_CASE("an announcement missed while a server drains may have revoked it")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(drain(fleet, 2) == recorded);
    REQUIRE(drain(fleet, 4) == recorded); // 3 is still on its way
    restart(fleet, gate);
    fleet.announce(gate, ready(3));
    CHECK(runs_within(fleet, 2s) == 0);
}

TEST_CASE("the next process of a server that left gets work")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(deregister(fleet) == recorded);
    bool const restarts = GENERATE(true, false);
    std::int64_t const first_number = GENERATE(as<std::int64_t>{}, 0, 1);
    if (restarts)
        restart(fleet, gate);
    calls::announcement next = ready(first_number);
    next.started_ = started + 5000;
    fleet.announce(gate, next);
    fleet.run_for(500ms);
    CHECK(runs_within(fleet, 1s) > 0);
    // A late deregistration of the former process does not end it.
    CHECK(deregister(fleet) == recorded);
    CHECK(runs_within(fleet, 1s) > 0);
}

TEST_CASE("a server that was silent for long after it left stays away")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(deregister(fleet) == recorded);
    fleet.run_for(20s); // its announcements have expired
    fleet.announce(gate, ready(2));
    CHECK(runs_within(fleet, 2s) == 0);
}

TEST_CASE("departures are forgotten in the end, and show in no history")
{
    memory_fleet fleet({});
    set_up(fleet);
    REQUIRE(deregister(fleet) == recorded);
    control::state_machine const& before =
        fleet.control_of(fleet.leader().value()).machine_;
    std::size_t const changes = before.history_.size();
    record_key const key{
        "departure", departure_name(fleet.host(gate), "leaving"), 1};
    REQUIRE(before.records_.contains(key));
    fleet.run_for(control::departure_lifetime + 1min);
    control::state_machine const& after =
        fleet.control_of(fleet.leader().value()).machine_;
    CHECK_FALSE(after.records_.contains(key));
    CHECK_FALSE(fleet.calls_of(gate).configuration_.records_.contains(key));
    CHECK(after.history_.size() == changes);
}
