// A gate that says nothing after a link with it ended: a call that may be
// repeated is tried elsewhere soon, any other waits for its answer.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const gate = name_literal<host_name>("gate");
host_name const other = name_literal<host_name>("other");
constexpr std::uint64_t incarnation = 77;

// An entry with a call that it has forwarded to the gate, the only one that it
// knows then. The retry budget of the service fills before.
struct forwarded_call
{
    single_node entry_;
    call_number forward_ = 0;
};

forwarded_call forward_call(repetition repeated)
{
    forwarded_call c;
    single_node& entry = c.entry_;
    backend_server const there = single_node::server_at(gate, incarnation);
    entry.learn({there}, repeated);
    entry.give(caller_request{1, {"GET", "/plans", {}, {}}});
    REQUIRE(entry.sent<forward_request>().size() == 1);
    forward_response done;
    done.number_ = entry.sent<forward_request>()[0].number_;
    done.verdict_ = ran{{200, {}, "x"}};
    entry.give(gate, done);
    entry.pass(1s);
    entry.give(caller_request{2, {"GET", "/plans", {}, {}}});
    REQUIRE(entry.sent<forward_request>().size() == 1);
    c.forward_ = entry.sent<forward_request>()[0].number_;
    entry.learn({there, single_node::server_at(other, incarnation)}, repeated);
    return c;
}

} // namespace

TEST_CASE("a repeatable call is tried elsewhere when no report comes")
{
    forwarded_call c = forward_call(repetition::repeatable);
    c.entry_.give(link_lost{gate, c.forward_});
    CHECK(c.entry_.sent<forward_inquiry>().size() == 1);
    c.entry_.pass(350ms);
    CHECK(c.entry_.state().call_of_forward_.contains(c.forward_));
    c.entry_.pass(100ms);
    CHECK_FALSE(c.entry_.state().call_of_forward_.contains(c.forward_));
    CHECK(
        c.entry_.sent<cancel_forward>() ==
        std::vector{cancel_forward{c.forward_}});
    std::vector<forward_request> const again = c.entry_.sent<forward_request>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].server_id_ == "server-of-other");
}

TEST_CASE("a report in progress keeps a repeatable call waiting")
{
    forwarded_call c = forward_call(repetition::repeatable);
    c.entry_.give(link_lost{gate, c.forward_});
    c.entry_.pass(300ms);
    c.entry_.give(
        gate, forward_report{{{c.forward_, forward_status::in_progress}}});
    c.entry_.pass(3s);
    CHECK(c.entry_.state().call_of_forward_.contains(c.forward_));
}

TEST_CASE("a call that can't be repeated waits until its deadline")
{
    forwarded_call c = forward_call(repetition::once_per_attempt);
    c.entry_.give(link_lost{gate, c.forward_});
    CHECK(c.entry_.sent<forward_inquiry>().size() == 1);
    c.entry_.pass(4900ms);
    CHECK(c.entry_.state().call_of_forward_.contains(c.forward_));
    CHECK(c.entry_.made<answer_caller>().empty());
    c.entry_.pass(200ms);
    std::vector<answer_caller> const given = c.entry_.made<answer_caller>();
    REQUIRE(given.size() == 1);
    CHECK(
        given[0].verdict_ ==
        verdict{may_have_run{indeterminate_reason::deadline_passed}});
    CHECK(c.entry_.sent<forward_request>().empty());
}

TEST_CASE("a call that can't be repeated gets its late answer")
{
    forwarded_call c = forward_call(repetition::once_per_attempt);
    c.entry_.give(link_lost{gate, c.forward_});
    c.entry_.pass(3s);
    forward_response late;
    late.number_ = c.forward_;
    late.verdict_ = ran{{200, {}, "late"}};
    c.entry_.give(gate, late);
    std::vector<answer_caller> const given = c.entry_.made<answer_caller>();
    REQUIRE(given.size() == 1);
    CHECK(given[0].verdict_ == late.verdict_);
}

TEST_CASE("a payment at work outlasts an inquiry that could not be sent")
{
    forwarded_call c = forward_call(repetition::once_per_attempt);
    single_node& entry = c.entry_;
    entry.give(link_lost{gate, c.forward_});
    forward_inquiry const asked = entry.sent<forward_inquiry>().at(0);
    entry.give(message_not_sent{{gate, asked}});
    CHECK(entry.state().call_of_forward_.contains(c.forward_));
    entry.pass(250ms);
    CHECK(entry.sent<forward_inquiry>() == std::vector{asked});
    entry.give(
        gate, forward_report{{{c.forward_, forward_status::in_progress}}});
    entry.give(message_not_sent{{gate, asked}});
    entry.pass(2s);
    CHECK(entry.state().call_of_forward_.contains(c.forward_));
    CHECK(entry.sent<forward_inquiry>().empty());
}

TEST_CASE("a payment is not awaited from a gate that stays out of reach")
{
    forwarded_call c = forward_call(repetition::once_per_attempt);
    single_node& entry = c.entry_;
    entry.give(link_lost{gate, c.forward_});
    forward_inquiry const asked = entry.sent<forward_inquiry>().at(0);
    entry.pass(1s);
    entry.give(message_not_sent{{gate, asked}});
    std::vector<answer_caller> const given = entry.made<answer_caller>();
    REQUIRE(given.size() == 1);
    CHECK(
        given[0].verdict_ ==
        verdict{may_have_run{indeterminate_reason::peer_lost}});
}
