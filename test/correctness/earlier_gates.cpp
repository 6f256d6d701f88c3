// Gates of earlier builds report nothing of forwards: what was written to a
// link that ended is given up, and what was written later is not.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const gate = name_literal<host_name>("gate");
constexpr std::uint64_t earlier_build = 0;

call_number forward_new_call(single_node& entry)
{
    static std::uint64_t caller = 0;
    entry.give(caller_request{++caller, {"GET", "/plans", {}, {}}});
    std::vector<forward_request> const sent = entry.sent<forward_request>();
    REQUIRE(sent.size() == 1);
    return sent[0].number_;
}

bool is_awaited(single_node const& entry, call_number forward)
{
    return entry.state().call_of_forward_.contains(forward);
}

} // namespace

TEST_CASE("forwards to an earlier gate are lost with the link they went over")
{
    single_node entry;
    entry.learn({single_node::server_at(gate, earlier_build)});
    call_number const before = forward_new_call(entry);
    call_number const newest = forward_new_call(entry);
    call_number const later = forward_new_call(entry);
    entry.give(link_lost{gate, newest});
    CHECK_FALSE(is_awaited(entry, before));
    CHECK_FALSE(is_awaited(entry, newest));
    CHECK(is_awaited(entry, later));
    CHECK(entry.sent<forward_inquiry>().empty());
}

TEST_CASE("an earlier gate is not asked, nor its silence waited for")
{
    single_node entry;
    entry.learn({single_node::server_at(gate, earlier_build)});
    call_number const n = forward_new_call(entry);
    entry.give(link_lost{gate, 0});
    CHECK(entry.sent<forward_inquiry>().empty());
    entry.pass(1s);
    CHECK(is_awaited(entry, n));
}

TEST_CASE("a gate that reports is asked for just its own forwards")
{
    single_node entry;
    entry.learn({single_node::server_at(gate, 77)});
    call_number const n = forward_new_call(entry);
    entry.learn({single_node::server_at(gate, earlier_build)});
    call_number const lost = forward_new_call(entry);
    entry.give(link_lost{gate, lost});
    CHECK_FALSE(is_awaited(entry, lost));
    CHECK(is_awaited(entry, n));
    std::vector<forward_inquiry> const asked = entry.sent<forward_inquiry>();
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].incarnation_ == 77);
    CHECK(asked[0].forwards_ == std::vector{n});
}

TEST_CASE("a call lost at an earlier gate has never two forwards open")
{
    repetition const repeated =
        GENERATE(repetition::repeatable, repetition::once_per_attempt);
    single_node entry;
    backend_server const there = single_node::server_at(gate, earlier_build);
    host_name const other = name_literal<host_name>("other");
    entry.learn({there}, repeated);
    forward_response done;
    done.number_ = forward_new_call(entry);
    done.verdict_ = ran{{200, {}, "x"}};
    entry.give(gate, done);
    entry.pass(1s); // the retry budget fills
    call_number const n = forward_new_call(entry);
    entry.learn(
        {there, single_node::server_at(other, earlier_build)}, repeated);
    entry.give(link_lost{gate, n});
    CHECK_FALSE(is_awaited(entry, n));
    CHECK(entry.state().call_of_forward_.size() <= 1);
    bool const again = !entry.sent<forward_request>().empty();
    CHECK(again == (repeated == repetition::repeatable));
    if (!again)
    {
        REQUIRE(entry.made<answer_caller>().size() == 1);
        CHECK(
            entry.made<answer_caller>()[0].verdict_ ==
            verdict{may_have_run{indeterminate_reason::peer_lost}});
    }
}
