// Bodies of requests that wait for their answers filled a daemon's memory.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;

namespace
{

host_name const gate = name_literal<host_name>("gate");
request const upload{"GET", "/plans", {}, std::string(1 << 20, 'x')};

} // namespace

TEST_CASE("a call at its gate gives its body back and takes its answer")
{
    single_node entry;
    entry.learn({single_node::server_at(gate, 1)});
    entry.give(caller_request{1, upload});
    call_number const forward = entry.sent<forward_request>().at(0).number_;
    entry.give(give_back_request{1});
    CHECK(entry.made<answer_caller>().empty());
    CHECK(entry.state().calls_.begin()->second.request_.body_.empty());
    forward_response done;
    done.number_ = forward;
    done.verdict_ = ran{{200, {}, "done"}};
    entry.give(gate, done);
    CHECK(std::holds_alternative<ran>(
        entry.made<answer_caller>().at(0).verdict_));
}

TEST_CASE("a call without its body is not tried again")
{
    single_node entry;
    entry.learn({single_node::server_at(gate, 1)});
    entry.give(caller_request{1, upload});
    call_number const forward = entry.sent<forward_request>().at(0).number_;
    entry.give(give_back_request{1});
    forward_response refused;
    refused.number_ = forward;
    refused.verdict_ = not_run{refusal_reason::shed_at_gate};
    entry.give(gate, refused);
    CHECK(entry.sent<forward_request>().empty());
    CHECK(std::holds_alternative<not_run>(
        entry.made<answer_caller>().at(0).verdict_));
}

TEST_CASE("a call that waits for a server is refused as not run")
{
    single_node entry;
    entry.learn({});
    entry.give(caller_request{1, upload});
    REQUIRE(entry.made<answer_caller>().empty());
    entry.give(give_back_request{1});
    CHECK(
        entry.made<answer_caller>().at(0).verdict_ ==
        verdict{not_run{refusal_reason::overloaded}});
}
