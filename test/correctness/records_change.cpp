// Changes: compare-and-set, operation ids, all edits or none, and in force on
// every daemon.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

change_outcome submit_and_wait(memory_fleet& fleet, change const& c)
{
    std::uint64_t const n = fleet.submit(fleet.leader().value(), c);
    auto const& event = fleet.recorded_history().changes_.at(n);
    fleet.run_until([&] { return event.outcome_.has_value(); }, 10s);
    return event.outcome_.value();
}

} // namespace

TEST_CASE("two operators with equal revisions: one wins, one conflicts")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    std::uint64_t const a =
        fleet.submit(0, {"op-a", "anne", {put_account("acme", 1, 1)}});
    std::uint64_t const b =
        fleet.submit(1, {"op-b", "bert", {put_account("acme", 2, 2)}});
    fleet.run_for(2s);
    auto const& changes = fleet.recorded_history().changes_;
    change_outcome const first = changes.at(a).outcome_.value();
    change_outcome const second = changes.at(b).outcome_.value();
    bool const a_won = std::holds_alternative<accepted>(first);
    bool const b_won = std::holds_alternative<accepted>(second);
    CHECK(a_won != b_won);
    conflict const lost = std::get<conflict>(a_won ? second : first);
    CHECK(lost.actual_ == 1);
    CHECK(lost.key_ == account_key("acme"));
}

TEST_CASE("a resend under the same operation id gets the first outcome")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    change const c{"op-1", "anne", {put_account("acme", 1, 1)}};
    change_outcome const first = submit_and_wait(fleet, c);
    change_outcome const again = submit_and_wait(fleet, c);
    CHECK(first == change_outcome{accepted{1}});
    CHECK(again == first);
    CHECK(fleet.control_of(0).machine_.revision_ == 1);
}

TEST_CASE("a change with one bad edit makes none")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    route_v1 bad = repeatable_route("no-slash", "plans");
    change_outcome const outcome = submit_and_wait(
        fleet,
        {"op-1", "anne", {put_account("acme", 1, 1), put_route("r", bad)}});
    CHECK(std::holds_alternative<rejected>(outcome));
    CHECK(fleet.control_of(0).machine_.records_.empty());
}

TEST_CASE("a removal reaches daemons that had the record")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    make_change(fleet, {put_account("acme", 1, 1)});
    fleet.run_for(2s);
    make_change(fleet, {{account_key("acme"), 1, std::nullopt}});
    fleet.run_for(2s);
    for (std::size_t i = 0; i < 5; ++i)
    {
        CHECK(fleet.calls_of(i).configuration_.records_.empty());
        CHECK(fleet.calls_of(i).configuration_.revision_ == 2);
    }
}

TEST_CASE("a change is on every daemon soon after it is accepted")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    revision const r = make_change(fleet, {put_account("acme", 1, 1)});
    fleet.run_for(100ms);
    for (std::size_t i = 0; i < 5; ++i)
        CHECK(fleet.calls_of(i).configuration_.revision_ == r);
}

TEST_CASE("hundreds of changes survive a restart of every control host")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    for (int i = 0; i < 300; ++i)
        make_change(
            fleet, {put_account("a" + std::to_string(i), i + 1, i + 1)});
    for (std::size_t i = 0; i < 3; ++i)
        fleet.kill(i);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start(i);
    wait_until_ready(fleet, 5);
    CHECK(fleet.control_of(0).machine_.revision_ == 300);
    CHECK(fleet.control_of(1).machine_.records_.size() == 300);
}
