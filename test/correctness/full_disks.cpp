// Disks of control hosts that are full for seconds: what was accepted stays,
// and once there is room again changes are accepted as before.
#include <catch2/catch.hpp>

#include <algorithm>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t control_hosts = 5;
// Bound of the infrastructure's pages on the acknowledgement of an order.
constexpr duration ack_timeout = 4s;

// Submits a change to a random host every 200 ms, from now on.
void submit_steadily(memory_fleet& fleet, int left)
{
    if (left == 0)
        return;
    std::string const name = "steady" + std::to_string(left);
    std::size_t const host = fleet.random().below(control_hosts);
    fleet.submit(host, {name, "anne", {put_account(name, 1, 1)}});
    fleet.at(
        fleet.now() + 200ms,
        [&fleet, left] { submit_steadily(fleet, left - 1); });
}

// An operator tries one host after the other, up to a second each.
bool is_accepted_within(
    memory_fleet& fleet, std::string const& name, duration t)
{
    duration const end = fleet.now() + t;
    for (std::size_t i = 0; fleet.now() < end; i = (i + 1) % control_hosts)
    {
        std::uint64_t const number =
            fleet.submit(i, {name, "anne", {put_account(name, 1, 1)}});
        change_event const& sent = fleet.recorded_history().changes_.at(number);
        fleet.run_until([&] { return sent.outcome_.has_value(); }, 1s);
        if (sent.outcome_ && std::holds_alternative<accepted>(*sent.outcome_))
            return true;
        fleet.run_for(50ms);
    }
    return false;
}

bool holds(memory_fleet const& fleet, std::size_t i, std::string const& account)
{
    return fleet.has_control(i) &&
           fleet.control_of(i).machine_.records_.contains(account_key(account));
}

bool all_hold(memory_fleet const& fleet, std::string const& account)
{
    for (std::size_t i = 0; i < control_hosts; ++i)
    {
        if (!holds(fleet, i, account))
            return false;
    }
    return true;
}

std::vector<std::string> accepted_accounts(memory_fleet const& fleet)
{
    std::vector<std::string> names;
    for (auto const& [number, sent] : fleet.recorded_history().changes_)
    {
        if (sent.outcome_ && std::holds_alternative<accepted>(*sent.outcome_))
            names.push_back(sent.change_.edits_.front().key_.name_);
    }
    return names;
}

std::vector<std::size_t> shuffled_hosts(memory_fleet& fleet)
{
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    for (std::size_t i = order.size() - 1; i > 0; --i)
        std::swap(order[i], order[fleet.random().below(i + 1)]);
    return order;
}

// Each disk in turn is full for up to 5 s, never two at once.
void fill_each_disk(memory_fleet& fleet)
{
    for (std::size_t const i : shuffled_hosts(fleet))
    {
        fleet.fill_disk(i);
        fleet.run_for(1s + 1ms * fleet.random().below(4000));
        fleet.free_disk(i);
        fleet.run_for(1ms * fleet.random().below(1500));
    }
}

} // namespace

// Changes stayed unanswered to the end of the day after the last was full.
TEST_CASE("disks that are full one after the other end no changes")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 41))));
    fleet.run_for(group_formed);
    submit_steadily(fleet, 200);
    fill_each_disk(fleet);
    CHECK(is_accepted_within(fleet, "last", ack_timeout));
    CHECK(fleet.run_until([&] { return all_hold(fleet, "last"); }, 2s));
    for (std::string const& name : accepted_accounts(fleet))
        CHECK(fleet.run_until([&] { return all_hold(fleet, name); }, 2s));
}

// The operator waited for a second and more, at one host after the other.
TEST_CASE("changes forwarded to a leader with a full disk are answered at once")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 9))));
    fleet.run_for(group_formed);
    std::size_t const leader = fleet.leader().value();
    fleet.fill_disk(leader);
    for (std::string const name : {"taken", "without a node"})
    {
        std::uint64_t const number = fleet.submit(
            (leader + 1) % control_hosts,
            {name, "anne", {put_account(name, 1, 1)}});
        change_event const& sent = fleet.recorded_history().changes_.at(number);
        CHECK(
            fleet.run_until([&] { return sent.outcome_.has_value(); }, 100ms));
    }
}

TEST_CASE("a full disk of one host holds no change up for long")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 21))));
    fleet.run_for(group_formed);
    fleet.fill_disk(fleet.leader().value());
    CHECK(is_accepted_within(fleet, "beside", ack_timeout));
}

TEST_CASE("changes go on after all disks were full at once")
{
    memory_fleet fleet(five_control_hosts(GENERATE(range(1, 21))));
    fleet.run_for(group_formed);
    REQUIRE(is_accepted_within(fleet, "first", 1s));
    for (std::size_t i = 0; i < control_hosts; ++i)
        fleet.fill_disk(i);
    CHECK_FALSE(is_accepted_within(fleet, "in vain", 5s));
    for (std::size_t i = 0; i < control_hosts; ++i)
        fleet.free_disk(i);
    CHECK(is_accepted_within(fleet, "last", ack_timeout));
    CHECK(fleet.run_until([&] { return all_hold(fleet, "first"); }, 2s));
}
