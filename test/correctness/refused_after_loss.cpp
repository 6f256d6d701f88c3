// A call that was refused after another try of it may have run: its caller is
// not told that it has not run.
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

// An entry with a call that it has forwarded to the gate. The retry budget of
// the service fills before.
struct forwarded_call
{
    single_node entry_;
    call_number forward_ = 0;
};

forwarded_call forward_call()
{
    forwarded_call c;
    backend_server const there = single_node::server_at(gate, incarnation);
    c.entry_.learn({there});
    c.entry_.give(caller_request{1, {"GET", "/plans", {}, {}}});
    forward_response done;
    done.number_ = c.entry_.sent<forward_request>().at(0).number_;
    done.verdict_ = ran{{200, {}, "x"}};
    c.entry_.give(gate, done);
    c.entry_.pass(1s);
    c.entry_.give(caller_request{2, {"GET", "/plans", {}, {}}});
    c.forward_ = c.entry_.sent<forward_request>().at(0).number_;
    c.entry_.learn({there, single_node::server_at(other, incarnation)});
    return c;
}

// Refuses each try that the last input made, until the caller is answered.
verdict refuse_tries(single_node& entry)
{
    while (entry.made<answer_caller>().empty())
    {
        std::vector<forward_request> const again =
            entry.sent<forward_request>();
        REQUIRE(again.size() == 1);
        forward_response a;
        a.number_ = again[0].number_;
        a.verdict_ = not_run{refusal_reason::shed_at_gate, 100ms};
        entry.give(other, a);
    }
    return entry.made<answer_caller>()[0].verdict_;
}

} // namespace

TEST_CASE("a call that was lost and then refused may have run")
{
    forwarded_call c = forward_call();
    forward_response lost;
    lost.number_ = c.forward_;
    lost.verdict_ = may_have_run{indeterminate_reason::connection_lost};
    c.entry_.give(gate, lost);
    CHECK(std::holds_alternative<may_have_run>(refuse_tries(c.entry_)));
}

TEST_CASE("a call whose earlier forward is unknown and that is refused "
          "elsewhere may have run")
{
    forwarded_call c = forward_call();
    c.entry_.give(link_lost{gate, c.forward_});
    c.entry_.pass(450ms);
    forward_request const second = c.entry_.sent<forward_request>().at(0);
    c.entry_.give(
        gate, forward_report{{{c.forward_, forward_status::unknown}}});
    forward_response refused;
    refused.number_ = second.number_;
    refused.verdict_ = not_run{refusal_reason::shed_at_gate, 100ms};
    c.entry_.give(other, refused);
    CHECK(std::holds_alternative<may_have_run>(refuse_tries(c.entry_)));
}
