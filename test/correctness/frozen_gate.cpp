// A gate that says nothing after a link with it ended: a call that may be
// repeated is tried elsewhere soon, any other waits for its answer. The server
// of the first forward may be at work, so that forward is given up only for an
// answer.
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
    call_number second_ = 0; // the try elsewhere; 0: none
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

// The same call, tried at the other gate too.
forwarded_call try_elsewhere()
{
    forwarded_call c = forward_call(repetition::repeatable);
    c.entry_.give(link_lost{gate, c.forward_});
    c.entry_.pass(450ms);
    std::vector<forward_request> const again = c.entry_.sent<forward_request>();
    REQUIRE(again.size() == 1);
    REQUIRE(again[0].server_id_ == "server-of-other");
    c.second_ = again[0].number_;
    return c;
}

forward_response response(call_number forward, verdict v)
{
    forward_response a;
    a.number_ = forward;
    a.verdict_ = std::move(v);
    return a;
}

forward_response done(call_number forward)
{
    return response(forward, ran{{200, {}, "done"}});
}

// The other gate refuses until it is not tried any more. Returns the number of
// its refusals.
int refuse_second(forwarded_call& c)
{
    for (int refusals = 1;; ++refusals)
    {
        c.entry_.give(
            other,
            response(c.second_, not_run{refusal_reason::shed_at_gate, 100ms}));
        std::vector<forward_request> const again =
            c.entry_.sent<forward_request>();
        if (again.empty())
            return refusals;
        REQUIRE(again[0].server_id_ == "server-of-other");
        c.second_ = again[0].number_;
    }
}

bool is_open(forwarded_call const& c, call_number forward)
{
    return c.entry_.state().call_of_forward_.contains(forward);
}

std::vector<verdict> verdicts(forwarded_call const& c)
{
    std::vector<verdict> given;
    for (answer_caller const& a : c.entry_.made<answer_caller>())
        given.push_back(a.verdict_);
    return given;
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
    std::vector<forward_request> const again = c.entry_.sent<forward_request>();
    REQUIRE(again.size() == 1);
    CHECK(again[0].server_id_ == "server-of-other");
    CHECK(c.entry_.sent<cancel_forward>().empty());
    c.entry_.give(other, done(again[0].number_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
    CHECK_FALSE(c.entry_.state().call_of_forward_.contains(c.forward_));
    CHECK(
        c.entry_.sent<cancel_forward>() ==
        std::vector{cancel_forward{c.forward_}});
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

// The entry gave up a server at work for the refusal of another one.
TEST_CASE("a forward is not given up for a refusal elsewhere")
{
    forwarded_call c = try_elsewhere();
    CHECK(refuse_second(c) <= int(max_refused_tries) + 1);
    CHECK(verdicts(c).empty());
    CHECK(c.entry_.sent<cancel_forward>().empty());
    c.entry_.pass(10ms);
    CHECK(c.entry_.sent<forward_inquiry>().size() == 1);
    c.entry_.pass(2s);
    CHECK(c.entry_.sent<forward_request>().empty());
    c.entry_.give(gate, done(c.forward_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
    CHECK(c.entry_.state().calls_.empty());
    CHECK(c.entry_.state().call_of_forward_.empty());
}

// A 503 of the other server is a refusal too.
TEST_CASE("a forward is not given up for an overloaded server elsewhere")
{
    forwarded_call c = try_elsewhere();
    forward_response shed = response(c.second_, ran{{503, {}, "busy"}});
    shed.shed_ = true;
    c.entry_.give(other, shed);
    CHECK(verdicts(c).empty());
    c.entry_.give(gate, done(c.forward_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
}

// With no other server the call was cancelled and sent to the same gate.
TEST_CASE("a forward is not given up when there is no other gate")
{
    forwarded_call c = forward_call(repetition::repeatable);
    c.entry_.learn({single_node::server_at(gate, incarnation)});
    c.entry_.give(link_lost{gate, c.forward_});
    c.entry_.pass(450ms);
    CHECK(c.entry_.sent<cancel_forward>().empty());
    CHECK(c.entry_.sent<forward_request>().empty());
    CHECK(is_open(c, c.forward_));
    c.entry_.pass(3s);
    CHECK(is_open(c, c.forward_));
    c.entry_.give(gate, done(c.forward_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
}

// One inquiry that could not be sent gave up a server at work.
TEST_CASE("a forward is not given up for an inquiry that was not sent")
{
    forwarded_call c = forward_call(repetition::repeatable);
    c.entry_.give(link_lost{gate, c.forward_});
    forward_inquiry const asked = c.entry_.sent<forward_inquiry>().at(0);
    c.entry_.give(message_not_sent{{gate, asked}});
    REQUIRE(c.entry_.sent<forward_request>().size() == 1);
    c.second_ = c.entry_.sent<forward_request>()[0].number_;
    refuse_second(c);
    CHECK(verdicts(c).empty());
    c.entry_.give(gate, done(c.forward_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
}

TEST_CASE("the first answer of two tries wins and the other try is cancelled")
{
    forwarded_call c = try_elsewhere();
    CHECK(is_open(c, c.forward_));
    c.entry_.give(gate, done(c.forward_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
    CHECK(
        c.entry_.sent<cancel_forward>() ==
        std::vector{cancel_forward{c.second_}});
    CHECK(c.entry_.state().calls_.empty());
    CHECK(c.entry_.state().call_of_forward_.empty());
    for (auto const& [key, stats] : c.entry_.state().server_stats_)
        CHECK(stats.in_flight_ == 0);
}

TEST_CASE("a second try goes on when the first is not received or lost")
{
    forward_status const status =
        GENERATE(forward_status::not_received, forward_status::unknown);
    forwarded_call c = try_elsewhere();
    c.entry_.give(gate, forward_report{{{c.forward_, status}}});
    CHECK(verdicts(c).empty());
    CHECK_FALSE(is_open(c, c.forward_));
    CHECK(is_open(c, c.second_));
    c.entry_.give(other, done(c.second_));
    CHECK(verdicts(c) == std::vector{done(0).verdict_});
}

TEST_CASE("two lost tries are not followed by a third")
{
    forwarded_call c = try_elsewhere();
    verdict const lost = may_have_run{indeterminate_reason::connection_lost};
    c.entry_.give(other, response(c.second_, lost));
    CHECK(verdicts(c).empty());
    CHECK(c.entry_.sent<forward_request>().empty());
    c.entry_.give(gate, response(c.forward_, lost));
    CHECK(verdicts(c) == std::vector{lost});
    CHECK(c.entry_.sent<forward_request>().empty());
}

TEST_CASE("both tries are cancelled when the caller leaves or time is up")
{
    bool const caller_leaves = GENERATE(true, false);
    forwarded_call c = try_elsewhere();
    if (caller_leaves)
        c.entry_.give(caller_disconnected{2});
    else
        c.entry_.pass(5s);
    CHECK(c.entry_.sent<cancel_forward>().size() == 2);
    CHECK(c.entry_.state().calls_.empty());
    CHECK(c.entry_.state().call_of_forward_.empty());
}

TEST_CASE("both tries are asked for when their links end")
{
    forwarded_call c = try_elsewhere();
    c.entry_.give(link_lost{gate, c.forward_});
    REQUIRE(c.entry_.sent<forward_inquiry>().size() == 1);
    CHECK(
        c.entry_.sent<forward_inquiry>()[0].forwards_ ==
        std::vector{c.forward_});
    c.entry_.give(link_lost{other, c.second_});
    REQUIRE(c.entry_.sent<forward_inquiry>().size() == 1);
    CHECK(
        c.entry_.sent<forward_inquiry>()[0].forwards_ ==
        std::vector{c.second_});
    c.entry_.give(
        gate, forward_report{{{c.forward_, forward_status::in_progress}}});
    c.entry_.pass(3s);
    CHECK(is_open(c, c.forward_));
    CHECK(is_open(c, c.second_));
}
