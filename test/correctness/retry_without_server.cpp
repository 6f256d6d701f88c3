// A call whose gate is silent, at a service with no other gate: it was charged
// a retry that nobody could make.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const gate = name_literal<host_name>("gate");
constexpr std::uint64_t incarnation = 77;

} // namespace

TEST_CASE("a call that no other gate can take costs no retry")
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
    double const before =
        entry.state().retry_budgets_.at(single_node::service()).available_;
    entry.give(link_lost{gate, first});
    entry.pass(450ms);
    REQUIRE(entry.sent<forward_request>().empty());
    CHECK(
        entry.state().retry_budgets_.at(single_node::service()).available_ >=
        before);
}
