// A snapshot brings a control host all that was accepted, and takes nothing
// away that the host has acknowledged.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr int entries_before_snapshot = 5600;

void submit_account(memory_fleet& fleet, int i)
{
    fleet.submit(
        fleet.leader().value(),
        {"op" + std::to_string(i),
         "anne",
         {put_account("acme", 1, 1, static_cast<revision>(i))}});
}

voter make_voter(std::string const& host)
{
    return {host_name::make(host).value(), 1};
}

// A follower whose log has ten entries of term 1, none of them known to be
// committed.
control::consensus_state make_follower()
{
    voter const self = make_voter("follower");
    control::recovered_state disk;
    disk.self_ = self;
    disk.hard_state_ = {1, std::nullopt};
    disk.entries_.push_back(
        {1, 1, voters_command{{make_voter("leader"), self}, {}}});
    for (log_index i = 2; i <= 10; ++i)
        disk.entries_.push_back({i, 1, no_op{}});
    control::consensus_settings s;
    s.self_ = self.host_;
    s.control_hosts_ = {make_voter("leader").host_, self.host_};
    return control::make_consensus(
        s, std::move(disk), random_source(1), instant{1s});
}

} // namespace

// The snapshot was taken before the entries of its step were applied, and
// labelled as if it held them.
TEST_CASE("a snapshot sent while changes are committed holds them all")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    std::size_t const behind = (fleet.leader().value() + 1) % 3;
    fleet.kill(behind);
    int sent = 0;
    for (; sent < entries_before_snapshot; ++sent)
    {
        submit_account(fleet, sent);
        if (sent % 100 == 0)
            fleet.run_for(20ms);
    }
    fleet.run_for(2s);
    fleet.start(behind);
    for (; sent < entries_before_snapshot + 300; ++sent)
    {
        submit_account(fleet, sent);
        fleet.run_for(1ms);
    }
    fleet.run_for(5s);
    control::state_machine const& whole =
        fleet.control_of(fleet.leader().value()).machine_;
    control::state_machine const& received = fleet.control_of(behind).machine_;
    CHECK(received.revision_ == whole.revision_);
    CHECK(received.records_ == whole.records_);
}

// Acknowledged entries were dropped with the log that the snapshot replaced.
TEST_CASE("a late snapshot leaves the newer entries that were acknowledged")
{
    install_snapshot late;
    late.term_ = 1;
    late.leader_ = make_voter("leader").host_;
    late.snapshot_.last_index_ = 5;
    late.snapshot_.last_term_ = 1;
    late.snapshot_.voters_ = {make_voter("leader"), make_voter("follower")};
    control::consensus_step const step =
        control::receive(make_follower(), late, {instant{2s}, {}});
    CHECK(step.state_.commit_ == 5);
    CHECK(step.state_.log_.base_index() == 5);
    CHECK(step.state_.log_.last_index() == 10);
}

TEST_CASE("a snapshot of another term replaces the whole log")
{
    install_snapshot other;
    other.term_ = 2;
    other.leader_ = make_voter("leader").host_;
    other.snapshot_.last_index_ = 5;
    other.snapshot_.last_term_ = 2;
    other.snapshot_.voters_ = {make_voter("leader"), make_voter("follower")};
    control::consensus_step const step =
        control::receive(make_follower(), other, {instant{2s}, {}});
    CHECK(step.state_.log_.last_index() == 5);
}
