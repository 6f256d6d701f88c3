// An operator is told the true outcome of a change or document that another
// host forwarded to the leader, though a link between the two ended, and the
// change takes effect once.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hosts = 5;
// Longer than a message takes from one host to another.
constexpr duration delivered = 10ms;

change a_change()
{
    change c;
    c.operation_id_ = "first";
    c.edits_.push_back({{"account", "acme", 1}, 0, account_v1{1000, 5}});
    return c;
}

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

// Five control hosts. `asked_` forwards what its operator submits to the
// leader; a change needs one of the others as well.
struct group
{
    memory_fleet fleet_{[]
                        {
                            fleet_options o;
                            o.control_hosts_ = hosts;
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
    g.asked_ = (g.leader_ + 1) % hosts;
    for (std::size_t i = 0; i < hosts; ++i)
    {
        if (i != g.leader_ && i != g.asked_)
            g.others_.push_back(i);
    }
    return g;
}

std::optional<change_outcome> outcome_of(group const& g, std::uint64_t number)
{
    return g.fleet_.recorded_history().changes_.at(number).outcome_;
}

template <class Outcome>
bool is(group const& g, std::uint64_t number)
{
    std::optional<change_outcome> const outcome = outcome_of(g, number);
    return outcome && std::holds_alternative<Outcome>(*outcome);
}

bool answered_within(group& g, std::uint64_t number, duration limit)
{
    return g.fleet_.run_until(
        [&] { return outcome_of(g, number).has_value(); }, limit);
}

template <class Command>
std::size_t entries_with(control::state const& s)
{
    control::entry_log const& log = s.consensus_.log_;
    std::size_t count = 0;
    for (log_index i = log.base_index() + 1; i <= log.last_index(); ++i)
        count += std::holds_alternative<Command>(log.at(i).command_) ? 1 : 0;
    return count;
}

control::state const& leader_state(group const& g)
{
    return g.fleet_.control_of(g.leader_);
}

template <class Wanted>
void check_request_lost_with_its_link(Wanted const& wanted)
{
    group g = make_group();
    g.fleet_.cut(g.asked_, g.leader_);
    std::uint64_t const sent = g.fleet_.submit(g.asked_, wanted);
    g.fleet_.run_for(delivered);
    g.fleet_.heal(g.asked_, g.leader_);
    g.fleet_.end_link(g.asked_, g.leader_);
    CHECK(answered_within(g, sent, 1s));
    CHECK(is<accepted>(g, sent));
}

template <class Command, class Wanted>
void check_link_ends_while_the_leader_works(Wanted const& wanted)
{
    group g = make_group();
    for (std::size_t const i : g.others_)
        g.fleet_.freeze(i);
    std::uint64_t const sent = g.fleet_.submit(g.asked_, wanted);
    g.fleet_.run_for(delivered);
    g.fleet_.end_link(g.asked_, g.leader_);
    g.fleet_.run_for(delivered);
    CHECK_FALSE(outcome_of(g, sent).has_value());
    CHECK(leader_state(g).waiters_.size() == 1);
    CHECK(entries_with<Command>(leader_state(g)) == 1);
    for (std::size_t const i : g.others_)
        g.fleet_.thaw(i);
    CHECK(answered_within(g, sent, 2s));
    CHECK(is<accepted>(g, sent));
}

// Loses what the leader sends to `asked_`, while it commits the change.
template <class Wanted>
std::uint64_t lose_answer(group& g, Wanted const& wanted)
{
    g.fleet_.cut(g.leader_, g.asked_);
    std::uint64_t const sent = g.fleet_.submit(g.asked_, wanted);
    g.fleet_.run_for(4 * delivered);
    REQUIRE_FALSE(outcome_of(g, sent).has_value());
    REQUIRE(leader_state(g).waiters_.empty());
    return sent;
}

template <class Command, class Wanted>
void check_answer_lost_with_its_link(Wanted const& wanted)
{
    group g = make_group();
    std::uint64_t const sent = lose_answer(g, wanted);
    g.fleet_.heal(g.leader_, g.asked_);
    g.fleet_.end_link(g.asked_, g.leader_);
    CHECK(answered_within(g, sent, delivered));
    CHECK(is<accepted>(g, sent));
    g.fleet_.run_for(1s);
    CHECK(entries_with<Command>(leader_state(g)) == 1);
}

// Effects of one input at the leader.
control::node_step at_leader(control::state s, host_name const& from, message m)
{
    instant const now = s.membership_.report_due_;
    return control::run(
        std::move(s), received{from, std::move(m)}, {now, wall_time{}});
}

std::vector<outgoing> requests_sent(control::effects const& effects)
{
    std::vector<outgoing> sent;
    for (control::effect const& e : effects)
    {
        send const* s = std::get_if<send>(&e);
        if (s && control::is_operator_request(s->outgoing_.message_))
            sent.push_back(s->outgoing_);
    }
    return sent;
}

std::vector<change_outcome> outcomes_told(control::effects const& effects)
{
    std::vector<change_outcome> told;
    for (control::effect const& e : effects)
    {
        send const* s = std::get_if<send>(&e);
        change_response const* r =
            s ? std::get_if<change_response>(&s->outgoing_.message_) : nullptr;
        if (r)
            told.push_back(r->outcome_);
    }
    return told;
}

} // namespace

TEST_CASE("a change that was lost with its link is sent again")
{
    check_request_lost_with_its_link(a_change());
}

TEST_CASE("a document that was lost with its link is sent again")
{
    check_request_lost_with_its_link(a_document(1, 0));
}

TEST_CASE("a link ends while the leader works on a change")
{
    check_link_ends_while_the_leader_works<change_command>(a_change());
}

TEST_CASE("a link ends while the leader works on a document")
{
    check_link_ends_while_the_leader_works<document_command>(a_document(1, 0));
}

TEST_CASE("the answer to a change was lost with its link")
{
    check_answer_lost_with_its_link<change_command>(a_change());
}

TEST_CASE("the answer to a document was lost with its link")
{
    check_answer_lost_with_its_link<document_command>(a_document(1, 0));
}

TEST_CASE("the leader repeats its answer when only it sees the link end")
{
    group g = make_group();
    std::uint64_t const sent = lose_answer(g, a_change());
    g.fleet_.heal(g.leader_, g.asked_);
    g.fleet_.end_link(g.leader_, g.asked_);
    CHECK(answered_within(g, sent, 3ms));
    CHECK(is<accepted>(g, sent));
}

// Taken a second time it would be accepted, on top of the other document.
TEST_CASE("a refused document takes no effect when it is sent again")
{
    group g = make_group();
    std::uint64_t const refused = lose_answer(g, a_document(2, 1));
    std::uint64_t const base = g.fleet_.submit(g.leader_, a_document(1, 0));
    REQUIRE(answered_within(g, base, 4 * delivered));
    REQUIRE(is<accepted>(g, base));
    g.fleet_.heal(g.leader_, g.asked_);
    g.fleet_.end_link(g.asked_, g.leader_);
    CHECK(answered_within(g, refused, 1s));
    CHECK(is<conflict>(g, refused));
    g.fleet_.run_for(1s);
    CHECK(leader_state(g).machine_.document_version_ == 1);
}

TEST_CASE("a request that arrives twice is proposed once")
{
    group g = make_group();
    host_name const from = g.fleet_.host(g.asked_);
    change_request const once{7, from, a_change()};
    control::node_step const first = at_leader(leader_state(g), from, once);
    control::node_step const again = at_leader(first.state_, from, once);
    CHECK(entries_with<change_command>(again.state_) == 1);
    CHECK(again.state_.waiters_.size() == 1);
    CHECK(outcomes_told(again.effects_).empty());
}

// The earlier copy may be in the log, refused or not yet applied.
TEST_CASE("a document that was first sent to a leader of another term is not "
          "proposed again")
{
    group g = make_group();
    host_name const from = g.fleet_.host(g.asked_);
    term_number const term = leader_state(g).consensus_.hard_state_.term_;
    document_request const request{7, from, a_document(1, 0)};
    control::node_step const refused =
        at_leader(leader_state(g), from, resent_document{term - 1, request});
    REQUIRE(outcomes_told(refused.effects_).size() == 1);
    CHECK(std::holds_alternative<unknown_outcome>(
        outcomes_told(refused.effects_).front()));
    CHECK(entries_with<document_command>(refused.state_) == 0);
    control::node_step const proposed =
        at_leader(leader_state(g), from, resent_document{term, request});
    CHECK(entries_with<document_command>(proposed.state_) == 1);
}

// The operator heard after 5 s.
TEST_CASE("a change that cannot be sent to the leader is answered at once")
{
    group g = make_group();
    g.fleet_.kill(g.leader_);
    std::uint64_t const sent = g.fleet_.submit(g.asked_, a_change());
    CHECK(answered_within(g, sent, 100ms));
    CHECK(is<unknown_outcome>(g, sent));
}

TEST_CASE("a request that no link took is sent once more, then given up")
{
    group g = make_group();
    control::state const& follower = g.fleet_.control_of(g.asked_);
    clock_reading const at{follower.membership_.report_due_, wall_time{}};
    control::node_step const taken =
        control::run(follower, control::operator_change{1, a_change()}, at);
    std::vector<outgoing> const first = requests_sent(taken.effects_);
    REQUIRE(first.size() == 1);
    control::node_step const again = control::run(
        taken.state_, control::message_not_sent{first.front()}, at);
    CHECK(requests_sent(again.effects_) == first);
    CHECK(again.state_.waiters_.size() == 1);
    control::node_step const given_up = control::run(
        again.state_, control::message_not_sent{first.front()}, at);
    CHECK(requests_sent(given_up.effects_).empty());
    CHECK(given_up.state_.waiters_.empty());
}
