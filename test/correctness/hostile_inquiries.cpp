// Inquiries and reports that no sound daemon sends change nothing of others'
// calls and runs, and overflow nothing.
#include <catch2/catch.hpp>

#include <array>
#include <limits>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const gate = name_literal<host_name>("gate");
host_name const stranger = name_literal<host_name>("stranger");
constexpr std::uint64_t incarnation = 77;

constexpr std::array all_statuses{
    forward_status::in_progress, forward_status::answered,
    forward_status::not_received, forward_status::unknown};

std::vector<call_number> const odd_numbers{
    0, 1, std::numeric_limits<call_number>::max()};

forward_request forward(call_number number, duration timeout)
{
    forward_request f;
    f.number_ = number;
    f.service_ = single_node::service();
    f.server_id_ = "a";
    f.context_.timeout_ = timeout;
    f.request_ = {"GET", "/plans", {}, {}};
    return f;
}

call_number forward_call(single_node& entry)
{
    entry.learn({single_node::server_at(gate, incarnation)});
    entry.give(caller_request{1, {"GET", "/plans", {}, {}}});
    REQUIRE(entry.sent<forward_request>().size() == 1);
    return entry.sent<forward_request>()[0].number_;
}

} // namespace

TEST_CASE("a gate refuses odd numbers that it reports as not received")
{
    single_node node;
    node.announce("a");
    node.give(
        stranger, forward_inquiry{node.state().incarnation_, odd_numbers});
    std::vector<forward_report> const reports = node.sent<forward_report>();
    REQUIRE(reports.size() == 1);
    REQUIRE(reports[0].forwards_.size() == odd_numbers.size());
    for (std::size_t i = 0; i < odd_numbers.size(); ++i)
    {
        CHECK(
            reports[0].forwards_[i] ==
            reported_forward{odd_numbers[i], forward_status::not_received});
        CHECK(is_refused(
            node.state().forward_memory_, {stranger, odd_numbers[i]}));
    }
    CHECK(node.state().forward_memory_.refused_.size() == odd_numbers.size());
}

TEST_CASE("an empty inquiry or report is not answered")
{
    single_node node;
    node.give(stranger, forward_inquiry{node.state().incarnation_, {}});
    CHECK(node.sent<forward_report>().empty());
    node.give(stranger, forward_report{});
    CHECK(node.sent<cancel_forward>().empty());
}

TEST_CASE("a host learns nothing of the forwards of another, nor ends them")
{
    single_node node;
    node.announce("a");
    node.give(gate, forward(5, 1s));
    REQUIRE(node.state().runs_.size() == 1);
    node.give(stranger, forward_inquiry{node.state().incarnation_, {5}});
    REQUIRE(node.sent<forward_report>().size() == 1);
    CHECK(
        node.sent<forward_report>()[0].forwards_[0].status_ ==
        forward_status::not_received);
    CHECK(node.state().runs_.size() == 1);
    CHECK(node.made<cancel_run>().empty());
}

TEST_CASE("reports of numbers that nobody knows change no call")
{
    single_node entry;
    call_number const n = forward_call(entry);
    for (forward_status const status : all_statuses)
    {
        entry.give(
            gate, forward_report{{{0, status}, {n + 1, status}, {~n, status}}});
        CHECK(entry.state().call_of_forward_.contains(n));
        CHECK(entry.made<answer_caller>().empty());
        CHECK(entry.sent<forward_request>().empty());
    }
}

TEST_CASE("a report of a host that isn't the gate of a forward changes nothing")
{
    single_node entry;
    call_number const n = forward_call(entry);
    for (forward_status const status : all_statuses)
    {
        entry.give(stranger, forward_report{{{n, status}}});
        CHECK(entry.state().call_of_forward_.contains(n));
        CHECK(entry.made<answer_caller>().empty());
        CHECK(entry.sent<forward_inquiry>().empty());
    }
    // It does not stop the wait for the report of the gate.
    entry.give(link_lost{gate, n});
    entry.give(stranger, forward_report{{{n, forward_status::in_progress}}});
    entry.pass(500ms);
    CHECK(entry.sent<forward_inquiry>().size() == 1);
}

TEST_CASE("a forward named twice in a report ends once")
{
    single_node entry;
    call_number const n = forward_call(entry);
    entry.give(
        gate, forward_report{
                  {{n, forward_status::unknown},
                   {n, forward_status::not_received},
                   {n, forward_status::answered},
                   {n, forward_status::in_progress}}});
    CHECK(entry.made<answer_caller>().size() == 1);
    CHECK(entry.state().calls_.empty());
}

TEST_CASE("time limits that no clock holds are taken as some limit")
{
    single_node node;
    node.announce("a");
    node.give(gate, forward(1, duration::max()));
    node.give(gate, forward(2, duration::min()));
    node.give(gate, forward(3, duration::max() - 100us));
    node.give(link_lost{gate, 0});
    node.pass(1s);
    node.give(gate, forward_inquiry{node.state().incarnation_, {1, 2, 3}});
    for (auto const& [number, run] : node.state().runs_)
        CHECK(run.deadline_ > node.now());
    std::vector<call_number> runs;
    for (auto const& [number, run] : node.state().runs_)
        runs.push_back(number);
    CHECK(runs.size() == 2);
    for (call_number const number : runs)
        node.give(run_finished{number, answered{{200, {}, "x"}}});
    CHECK(node.state().runs_.empty());
}
