// A forward that left its queue since its daemon held too much counted as a
// failure of its server, which was sound.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;

TEST_CASE("a withdrawn forward is no failure of its server")
{
    bool const withdrawn = GENERATE(true, false);
    host_name const gate = name_literal<host_name>("gate");
    single_node entry;
    backend_server const there = single_node::server_at(gate, 77);
    entry.learn({there});
    entry.give(caller_request{1, {"GET", "/plans", {}, {}}});
    forward_request const f = entry.sent<forward_request>().at(0);
    entry.give(message_not_sent{{gate, f}, withdrawn});
    std::uint32_t const failures =
        entry.state().server_stats_.at({gate, there.id_}).failures_;
    CHECK(failures == (withdrawn ? 0U : 1U));
}
