// A caller that ends its sending side is not lost: it is told the truth of its
// request, and a request that may not be repeated runs on for its answer.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

host_name const gate = name_literal<host_name>("gate");
constexpr std::uint64_t first = 1;
constexpr std::uint64_t second = 2;

request const plans{"GET", "/plans", {{"x-request-id", "plans-1"}}, {}};

// A node whose call by `first` was forwarded; returns the forward's number.
call_number forward_call(single_node& entry, repetition repeated)
{
    entry.learn({single_node::server_at(gate, 1)}, repeated);
    entry.give(caller_request{first, plans});
    REQUIRE(entry.sent<forward_request>().size() == 1);
    return entry.sent<forward_request>()[0].number_;
}

void give_answer(single_node& entry, call_number forward)
{
    forward_response a;
    a.number_ = forward;
    a.verdict_ = ran{{200, {}, "plan"}};
    entry.give(gate, a);
}

template <class Verdict>
std::vector<std::uint64_t> callers_told(single_node const& entry)
{
    std::vector<std::uint64_t> told;
    for (answer_caller const& a : entry.made<answer_caller>())
    {
        if (std::holds_alternative<Verdict>(a.verdict_))
            told.push_back(a.number_);
    }
    return told;
}

using numbers = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("a repeatable request ends when its caller finishes, and it is told")
{
    single_node entry;
    call_number const forward = forward_call(entry, repetition::repeatable);
    entry.give(caller_finished{first});
    REQUIRE(entry.sent<cancel_forward>().size() == 1);
    CHECK(entry.sent<cancel_forward>()[0].number_ == forward);
    CHECK(callers_told<may_have_run>(entry) == numbers{first});
    CHECK(entry.state().calls_.empty());
    entry.give(caller_disconnected{first});
    CHECK(entry.made<answer_caller>().empty());
}

TEST_CASE("a request that never began is refused when its caller finishes")
{
    repetition const repeated =
        GENERATE(repetition::repeatable, repetition::once_per_attempt);
    single_node entry;
    entry.learn({}, repeated);
    entry.give(caller_request{first, plans});
    REQUIRE(entry.state().calls_.size() == 1);
    entry.give(caller_finished{first});
    CHECK(callers_told<not_run>(entry) == numbers{first});
}

TEST_CASE("a request that runs once goes on, and its caller gets the answer")
{
    single_node entry;
    call_number const forward =
        forward_call(entry, repetition::once_per_attempt);
    entry.give(caller_finished{first});
    CHECK(entry.sent<cancel_forward>().empty());
    CHECK(entry.made<answer_caller>().empty());
    give_answer(entry, forward);
    CHECK(callers_told<ran>(entry) == numbers{first});
}

TEST_CASE("a caller that finished and then left gets no answer")
{
    single_node entry;
    call_number const forward =
        forward_call(entry, repetition::once_per_attempt);
    entry.give(caller_finished{first});
    entry.give(caller_disconnected{first});
    give_answer(entry, forward);
    CHECK(entry.made<answer_caller>().empty());
}

TEST_CASE("a request goes on while another caller of it still waits")
{
    single_node entry;
    call_number const forward = forward_call(entry, repetition::repeatable);
    entry.give(caller_request{second, plans});
    REQUIRE(entry.state().calls_.size() == 1);
    entry.give(caller_finished{first});
    CHECK(entry.made<answer_caller>().empty());
    bool const second_leaves = GENERATE(true, false);
    if (second_leaves)
    {
        entry.give(caller_disconnected{second});
        CHECK(callers_told<may_have_run>(entry) == numbers{first});
    }
    else
    {
        give_answer(entry, forward);
        CHECK(callers_told<ran>(entry) == numbers{first, second});
    }
}
