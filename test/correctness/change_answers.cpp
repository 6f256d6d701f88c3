// The outcome that an operator is told is that of the operator's own change,
// whatever became of the host that took it.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

document a_document(std::int64_t version, std::int64_t base)
{
    document d;
    d.version_ = version;
    d.base_ = base;
    d.digest_ = "digest-" + std::to_string(version);
    d.text_ = "text " + std::to_string(version);
    d.contents_.push_back({{"service", "plans", 2}, service_v2{}});
    return d;
}

change a_change(std::string const& operation)
{
    change c;
    c.operation_id_ = operation;
    c.edits_.push_back({{"account", "acme", 1}, 0, account_v1{1000, 5}});
    return c;
}

std::optional<change_outcome>
outcome_of(memory_fleet const& fleet, std::uint64_t number)
{
    return fleet.recorded_history().changes_.at(number).outcome_;
}

bool is_answered(memory_fleet const& fleet, std::uint64_t number)
{
    return outcome_of(fleet, number).has_value();
}

template <class Outcome>
bool is(memory_fleet const& fleet, std::uint64_t number)
{
    std::optional<change_outcome> const outcome = outcome_of(fleet, number);
    return outcome && std::holds_alternative<Outcome>(*outcome);
}

// Five control hosts with a leader; `asked_` is none of the others, which are
// the followers that must acknowledge a change.
struct group
{
    memory_fleet fleet_{[]
                        {
                            fleet_options o;
                            o.control_hosts_ = 5;
                            return o;
                        }()};
    std::size_t leader_ = 0;
    std::size_t asked_ = 0;
    std::vector<std::size_t> others_;
};

group make_group()
{
    group g;
    REQUIRE(
        g.fleet_.run_until([&] { return g.fleet_.leader().has_value(); }, 8s));
    g.fleet_.run_for(1s);
    g.leader_ = g.fleet_.leader().value();
    g.asked_ = (g.leader_ + 1) % 5;
    for (std::size_t i = 0; i < 5; ++i)
    {
        if (i != g.leader_ && i != g.asked_)
            g.others_.push_back(i);
    }
    return g;
}

// Submits `first` to a host whose process ends before the answer, and `second`
// to its next process, while no majority can commit.
template <class Change>
std::pair<std::uint64_t, std::uint64_t>
submit_around_a_restart(group& g, Change first, Change second)
{
    for (std::size_t const i : g.others_)
        g.fleet_.freeze(i);
    std::uint64_t const earlier = g.fleet_.submit(g.asked_, std::move(first));
    g.fleet_.run_for(80ms);
    g.fleet_.kill(g.asked_);
    g.fleet_.start(g.asked_);
    g.fleet_.run_for(500ms);
    std::uint64_t const later = g.fleet_.submit(g.asked_, std::move(second));
    g.fleet_.run_for(200ms);
    for (std::size_t const i : g.others_)
        g.fleet_.thaw(i);
    g.fleet_.run_until([&] { return is_answered(g.fleet_, later); }, 8s);
    return {earlier, later};
}

} // namespace

TEST_CASE(
    "a document is not acknowledged by the answer to one before a restart")
{
    group g = make_group();
    std::uint64_t const base = g.fleet_.submit(g.leader_, a_document(1, 0));
    REQUIRE(
        g.fleet_.run_until([&] { return is<accepted>(g.fleet_, base); }, 3s));
    auto const [earlier, later] =
        submit_around_a_restart(g, a_document(2, 1), a_document(3, 1));
    CHECK(is_answered(g.fleet_, later));
    g.fleet_.run_for(3s);
    std::int64_t const version =
        g.fleet_.control_of(g.leader_).machine_.document_version_;
    CHECK((!is<accepted>(g.fleet_, later) || version == 3));
    CHECK_FALSE(is_answered(g.fleet_, earlier));
}

// The operator heard after 5 s.
TEST_CASE("a change forwarded to a leader that ends is answered at once")
{
    group g = make_group();
    for (std::size_t const i : g.others_)
        g.fleet_.freeze(i);
    std::uint64_t const sent = g.fleet_.submit(g.asked_, a_change("first"));
    g.fleet_.run_for(50ms);
    REQUIRE_FALSE(is_answered(g.fleet_, sent));
    g.fleet_.kill(g.leader_);
    g.fleet_.run_for(100ms);
    CHECK(is<unknown_outcome>(g.fleet_, sent));
}

TEST_CASE("a change is not acknowledged by the answer to one before a restart")
{
    group g = make_group();
    auto const [earlier, later] =
        submit_around_a_restart(g, a_change("first"), a_change("second"));
    CHECK(is_answered(g.fleet_, later));
    CHECK_FALSE(is<accepted>(g.fleet_, later));
    CHECK_FALSE(is_answered(g.fleet_, earlier));
}
