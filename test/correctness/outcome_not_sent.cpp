// A resent payment whose question for the outcome could not be sent once: it
// waits for the outcome still.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

TEST_CASE("a payment's outcome is asked for again when a question was not sent")
{
    host_name const holder = name_literal<host_name>("holder");
    single_node entry;
    entry.learn({}, repetition::once_per_key);
    std::string const key = "00000000-0000-7000-8000-000000000001";
    entry.give(caller_request{
        1, {"POST", "/plans", {{std::string(idempotency_header), key}}, "x"}});
    claim_request const asked = entry.sent<claim_request>().at(0);
    claim_response held;
    held.id_ = asked.id_;
    held.run_ = asked.run_;
    held.result_ = claim_result::held;
    held.holder_ = holder;
    entry.give(single_node::control_host(), held);
    outcome_request const question = entry.sent<outcome_request>().at(0);
    entry.give(message_not_sent{{holder, question}});
    CHECK(entry.made<answer_caller>().empty());
    entry.pass(300ms);
    CHECK(entry.sent<outcome_request>().size() == 1);
    entry.pass(800ms);
    entry.give(message_not_sent{{holder, question}});
    REQUIRE(entry.made<answer_caller>().size() == 1);
    CHECK(
        entry.made<answer_caller>()[0].verdict_ ==
        verdict{may_have_run{indeterminate_reason::already_claimed}});
}
