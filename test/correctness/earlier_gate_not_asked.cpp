// A gate that can't reach the entry cancels a run that the entry doesn't ask
// for. A call that is tried elsewhere still asks for its earlier forward.
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

} // namespace

TEST_CASE("the gate of an earlier forward is asked again while the call is "
          "tried elsewhere")
{
    single_node entry;
    backend_server const there = single_node::server_at(gate, incarnation);
    entry.learn({there});
    entry.give(caller_request{1, {"GET", "/plans", {}, {}}});
    forward_response done;
    done.number_ = entry.sent<forward_request>().at(0).number_;
    done.verdict_ = ran{{200, {}, "x"}};
    entry.give(gate, done);
    entry.pass(1s);
    entry.give(caller_request{2, {"GET", "/plans", {}, {}}});
    call_number const first = entry.sent<forward_request>().at(0).number_;
    entry.learn({there, single_node::server_at(other, incarnation)});

    entry.give(link_lost{gate, first});
    forward_inquiry const asked = entry.sent<forward_inquiry>().at(0);
    entry.give(message_not_sent{{gate, asked}}); // the path is cut for a moment
    REQUIRE(entry.sent<forward_request>().size() == 1); // the try elsewhere
    REQUIRE(entry.state().call_of_forward_.contains(first));
    bool asked_again = false;
    for (int i = 0; i < 9; ++i)
    {
        entry.pass(100ms);
        asked_again = asked_again || !entry.sent<forward_inquiry>().empty();
    }
    CHECK(asked_again);
}
