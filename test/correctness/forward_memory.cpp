// What a gate reports of forwards that it has no run of: its memory is bounded,
// and "not received" binds.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const entry = name_literal<host_name>("entry");
constexpr instant start = instant{} + 1h;
constexpr duration time_limit = 1s;
constexpr instant answers_expired = start + time_limit + answer_retention;

forward_response answer_of(call_number number, std::size_t bytes = 1)
{
    forward_response a;
    a.number_ = number;
    a.verdict_ = ran{{200, {}, std::string(bytes, 'x')}};
    return a;
}

forward_memory
keep(forward_memory m, call_number number, std::size_t bytes, instant now)
{
    return keep_answer(
        std::move(m), {entry, number}, answer_of(number, bytes),
        now + time_limit, now);
}

forward_request forward(call_number number)
{
    forward_request f;
    f.number_ = number;
    f.service_ = single_node::service();
    f.server_id_ = "a";
    f.context_.root_ = "request-" + std::to_string(number);
    f.context_.timeout_ = time_limit;
    f.request_ = {"POST", "/plans", {}, "x"};
    return f;
}

forward_inquiry
inquiry(single_node const& gate, std::vector<call_number> const& numbers)
{
    return {gate.state().incarnation_, numbers};
}

// Status of the one forward that the last report of the node is about.
forward_status reported_status(single_node const& gate)
{
    std::vector<forward_report> const reports = gate.sent<forward_report>();
    REQUIRE(reports.size() == 1);
    REQUIRE(reports[0].forwards_.size() == 1);
    return reports[0].forwards_[0].status_;
}

// The number by which the gate knows the run that the last input started.
call_number started_run(single_node const& gate)
{
    std::vector<run_on_backend> const runs = gate.made<run_on_backend>();
    REQUIRE(runs.size() == 1);
    return runs[0].run_;
}

} // namespace

TEST_CASE("kept answers are bounded in count, and the next to expire goes")
{
    forward_memory m;
    for (std::size_t i = 0; i < max_kept_answers + 10; ++i)
        m = keep(std::move(m), i + 1, 1, start + duration(i));
    CHECK(m.answers_.size() == max_kept_answers);
    CHECK(m.answers_due_.size() == max_kept_answers);
    CHECK(m.answer_bytes_ == max_kept_answers);
    CHECK_FALSE(find_answer(m, {entry, 10}));
    CHECK(find_answer(m, {entry, 11}));
}

TEST_CASE("kept answers are bounded in bytes")
{
    constexpr std::size_t body = 1 << 20;
    forward_memory m;
    for (std::size_t i = 0; i < 40; ++i)
        m = keep(std::move(m), i + 1, body, start + duration(i));
    CHECK(m.answer_bytes_ == max_kept_answer_bytes);
    CHECK(m.answers_.size() == max_kept_answer_bytes / body);
    m = keep(std::move(m), 41, max_kept_answer_bytes + 1, start + 1ms);
    CHECK(m.answer_bytes_ <= max_kept_answer_bytes);
}

TEST_CASE("an answer is kept until its entry no longer waits, and once")
{
    forward_memory m = keep({}, 1, 5, start);
    m = keep(std::move(m), 1, 9, start + 1ms);
    CHECK(m.answer_bytes_ == 5);
    instant const until = start + time_limit + answer_retention;
    m = keep(std::move(m), 2, 1, until - duration(1));
    CHECK(find_answer(m, {entry, 1}));
    m = keep(std::move(m), 3, 1, until);
    CHECK_FALSE(find_answer(m, {entry, 1}));
    CHECK(m.answer_bytes_ == 2);
    CHECK(is_forgotten(m, {entry, 1}));
    CHECK_FALSE(is_forgotten(m, {entry, 2}));
    m = keep_answer(
        std::move(m), {entry, 4}, answer_of(4), until - answer_retention,
        until);
    CHECK_FALSE(find_answer(m, {entry, 4}));
    CHECK(is_forgotten(m, {entry, 4}));
}

TEST_CASE("after an answer was dropped, its forward alone is forgotten")
{
    forward_memory m;
    CHECK_FALSE(is_forgotten(m, {entry, 1}));
    for (std::size_t i = 0; i < max_kept_answers + 10; ++i)
        m = keep(std::move(m), i + 100, 1, start);
    for (call_number n = 100; n < 110; ++n)
        CHECK(is_forgotten(m, {entry, n}));
    CHECK_FALSE(is_forgotten(m, {entry, 99}));
    CHECK_FALSE(is_forgotten(m, {entry, 110}));
    CHECK_FALSE(is_forgotten(m, {name_literal<host_name>("other"), 100}));
}

TEST_CASE("after a number was dropped, only newer forwards are not forgotten")
{
    std::size_t const total = max_kept_answers + max_kept_numbers + 10;
    forward_memory m;
    for (std::size_t i = 0; i < total; ++i)
        m = keep(std::move(m), i + 100, 1, start);
    CHECK(m.numbers_.size() == max_kept_numbers);
    CHECK(m.numbers_due_.size() == max_kept_numbers);
    CHECK(is_forgotten(m, {entry, 109}));
    CHECK(is_forgotten(m, {entry, 1}));
    CHECK(is_forgotten(m, {entry, 110}));
    CHECK(is_forgotten(m, {entry, max_kept_numbers + 109}));
    CHECK_FALSE(is_forgotten(m, {entry, max_kept_numbers + 110}));
    CHECK_FALSE(is_forgotten(m, {name_literal<host_name>("other"), 1}));
}

TEST_CASE("numbers that begin again or anew are other forwards")
{
    call_number const last = ~call_number{0};
    forward_memory m = keep({}, 1, 1, start);
    m = keep(std::move(m), last, 1, start);
    m = keep(std::move(m), last / 2, 1, start);
    m = expire_memory(std::move(m), answers_expired);
    CHECK(m.answers_.empty());
    CHECK(is_forgotten(m, {entry, 1}));
    CHECK(is_forgotten(m, {entry, last}));
    CHECK(is_forgotten(m, {entry, last / 2}));
    CHECK_FALSE(is_forgotten(m, {entry, last - 1000}));
    m = expire_memory(std::move(m), answers_expired + number_retention);
    CHECK(m.numbers_.empty());
    CHECK(m.numbers_due_.empty());
    CHECK(is_forgotten(m, {entry, 1}));
    CHECK(is_forgotten(m, {entry, last}));
    CHECK(is_forgotten(m, {entry, last - 1000}));
    CHECK_FALSE(is_forgotten(m, {entry, 2}));
    CHECK(is_forgotten(m, {entry, last / 2}));
    CHECK_FALSE(is_forgotten(m, {entry, last / 2 + 1}));
    CHECK_FALSE(is_forgotten(m, {entry, last / 4}));
}

TEST_CASE("the runs of an entry's daemon that are remembered are bounded")
{
    forward_memory m;
    for (call_number run = 1; run <= 2 * max_remembered_runs; ++run)
        m = keep(std::move(m), run * 2 * max_forwards_of_run, 1, start);
    m = expire_memory(std::move(m), answers_expired);
    m = expire_memory(std::move(m), answers_expired + number_retention);
    CHECK(m.forgotten_.at(entry).size() == max_remembered_runs);
    CHECK(is_forgotten(
        m, {entry, 2 * max_remembered_runs * 2 * max_forwards_of_run}));
}

TEST_CASE("refused forwards are bounded and expire")
{
    forward_memory m;
    for (std::size_t i = 0; i < max_refused_forwards + 1; ++i)
        m = refuse_forward(std::move(m), {entry, i + 1}, start);
    CHECK(m.refused_.size() == max_refused_forwards);
    CHECK(is_refused(m, {entry, max_refused_forwards}));
    CHECK_FALSE(is_refused(m, {entry, max_refused_forwards + 1}));
    m = refuse_forward(
        std::move(m), {entry, 99999}, start + refused_forward_lifetime);
    CHECK(is_refused(m, {entry, 99999}));
    CHECK(m.refused_.size() == 1);
    CHECK(m.refused_due_.size() == 1);
    // They are never run even then.
    CHECK(is_forgotten(m, {entry, max_refused_forwards}));
}

TEST_CASE("a forward reported as not received never runs")
{
    single_node gate;
    gate.announce("a");
    gate.give(entry, inquiry(gate, {5}));
    REQUIRE(reported_status(gate) == forward_status::not_received);
    gate.pass(300ms);
    gate.give(entry, forward(5));
    CHECK(gate.made<run_on_backend>().empty());
    CHECK(gate.sent<forward_response>().empty());
    CHECK(gate.state().runs_.empty());
    // The same number of another entry is another forward.
    gate.give(name_literal<host_name>("other"), forward(5));
    CHECK(gate.made<run_on_backend>().size() == 1);
}

TEST_CASE("a forward reported as not received never runs, however late it is")
{
    single_node gate;
    gate.announce("a");
    gate.give(entry, inquiry(gate, {5}));
    gate.pass(refused_forward_lifetime);
    gate.announce("a", 2);
    gate.give(entry, forward(5));
    CHECK(gate.made<run_on_backend>().empty());
    REQUIRE(gate.sent<forward_response>().size() == 1);
    CHECK(std::holds_alternative<may_have_run>(
        gate.sent<forward_response>()[0].verdict_));
    gate.give(entry, forward(6));
    CHECK(gate.made<run_on_backend>().size() == 1);
}

TEST_CASE("a payment whose answer expired is not reported as not received")
{
    single_node gate;
    gate.announce("a");
    gate.give(entry, forward(5));
    call_number const run = started_run(gate);
    gate.pass(time_limit + answer_retention);
    gate.give(run_finished{run, answered{{200, {}, "done"}}});
    gate.give(entry, inquiry(gate, {5}));
    CHECK(reported_status(gate) == forward_status::unknown);
}

namespace
{

// A gate that has answered forward 6 so long ago that the answer is not kept.
single_node gate_that_forgot_an_answer()
{
    single_node gate;
    gate.announce("a");
    gate.give(entry, forward(6));
    gate.give(run_finished{started_run(gate), answered{{200, {}, "done"}}});
    gate.pass(time_limit + answer_retention);
    REQUIRE(gate.state().forward_memory_.answers_.empty());
    return gate;
}

} // namespace

// Its caller got "may have run" of a payment that no server had seen.
TEST_CASE("a forward older than a forgotten one is reported as not received")
{
    single_node gate = gate_that_forgot_an_answer();
    gate.give(entry, inquiry(gate, {5}));
    CHECK(reported_status(gate) == forward_status::not_received);
    gate.give(entry, inquiry(gate, {6}));
    CHECK(reported_status(gate) == forward_status::unknown);
}

TEST_CASE("a forward that is overtaken by a forgotten one runs")
{
    single_node gate = gate_that_forgot_an_answer();
    gate.announce("a", 2);
    gate.give(entry, forward(5));
    CHECK(gate.made<run_on_backend>().size() == 1);
    gate.give(entry, forward(6));
    CHECK(gate.made<run_on_backend>().empty());
}

TEST_CASE("a forward that ran is never reported as not received")
{
    single_node gate = gate_that_forgot_an_answer();
    for (int half_minutes = 0; half_minutes < 6; ++half_minutes)
    {
        gate.give(entry, inquiry(gate, {6}));
        CHECK(reported_status(gate) == forward_status::unknown);
        gate.pass(30s);
    }
    CHECK(gate.state().forward_memory_.numbers_.empty());
}

TEST_CASE("a forward that arrives after its cancellation does not run")
{
    single_node gate;
    gate.announce("a");
    gate.give(entry, cancel_forward{5});
    gate.give(entry, forward(5));
    CHECK(gate.made<run_on_backend>().empty());
    CHECK(gate.state().runs_.empty());
}

TEST_CASE("a copy of a forward in progress or answered does not run")
{
    single_node gate;
    gate.announce("a");
    gate.give(entry, forward(5));
    call_number const run = started_run(gate);
    gate.give(entry, forward(5));
    CHECK(gate.made<run_on_backend>().empty());
    CHECK(gate.state().runs_.size() == 1);
    gate.give(entry, inquiry(gate, {5}));
    CHECK(reported_status(gate) == forward_status::in_progress);
    gate.give(run_finished{run, answered{{200, {}, "done"}}});
    REQUIRE(gate.sent<forward_response>().size() == 1);
    forward_response const given = gate.sent<forward_response>()[0];
    gate.give(entry, forward(5));
    CHECK(gate.made<run_on_backend>().empty());
    CHECK(gate.state().runs_.empty());
    gate.give(entry, inquiry(gate, {5}));
    CHECK(gate.sent<forward_report>().empty());
    CHECK(gate.sent<forward_response>() == std::vector{given});
}

TEST_CASE("a gate whose memory of refused forwards is full says unknown")
{
    single_node gate;
    gate.announce("a");
    std::vector<call_number> numbers;
    for (std::size_t i = 0; i < max_refused_forwards; ++i)
        numbers.push_back(i + 1);
    gate.give(entry, inquiry(gate, numbers));
    REQUIRE(gate.state().forward_memory_.refused_.size() == numbers.size());
    call_number const next = max_refused_forwards + 1;
    gate.give(entry, inquiry(gate, {next}));
    CHECK(reported_status(gate) == forward_status::unknown);
    gate.give(entry, inquiry(gate, {1}));
    CHECK(reported_status(gate) == forward_status::not_received);
    gate.give(entry, forward(next));
    CHECK(gate.made<run_on_backend>().size() == 1);
}

TEST_CASE("a gate that dropped answers says unknown of earlier forwards")
{
    single_node gate;
    gate.announce("a");
    for (call_number n = 1; n <= max_kept_answers + 1; ++n)
    {
        gate.give(entry, forward(n));
        gate.give(run_finished{started_run(gate), answered{{200, {}, "x"}}});
    }
    gate.give(entry, inquiry(gate, {1}));
    CHECK(reported_status(gate) == forward_status::unknown);
    gate.give(entry, inquiry(gate, {max_kept_answers + 1}));
    CHECK(gate.sent<forward_response>().size() == 1);
}

TEST_CASE("a new process says unknown of forwards to the former one")
{
    single_node const former(7);
    single_node gate(8);
    gate.announce("a");
    REQUIRE(former.state().incarnation_ != gate.state().incarnation_);
    gate.give(entry, inquiry(former, {5}));
    CHECK(reported_status(gate) == forward_status::unknown);
    CHECK(gate.state().forward_memory_.refused_.empty());
}
