// Two schema versions of a record live side by side while a change rolls out
// over mixed daemons, and back.
#include <catch2/catch.hpp>

#include <jackdawhall/calls.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

configuration_update update_to(revision to, std::vector<record> records)
{
    configuration_update u;
    u.from_ = to - 1;
    u.to_ = to;
    u.records_ = std::move(records);
    return u;
}

account_name const acme = name_literal<account_name>("acme");

record old_account(revision r)
{
    return {{"account", "acme", 1}, r, account_v1{5000, 5}};
}

record new_account(revision r)
{
    return {{"account", "acme", 2}, r, account_v2{7000, 7, 25}};
}

} // namespace

TEST_CASE("each daemon uses the newest schema that it knows, and back")
{
    calls::configuration old_daemon;
    old_daemon.newest_schema_ = 1;
    calls::configuration new_daemon;
    for (calls::configuration* c : {&old_daemon, &new_daemon})
        *c = calls::apply_update(*c, update_to(1, {old_account(1)}));
    CHECK(old_daemon.accounts_.at(acme).burst_ == 5);
    CHECK(new_daemon.accounts_.at(acme).burst_ == 5);

    for (calls::configuration* c : {&old_daemon, &new_daemon})
        *c = calls::apply_update(*c, update_to(2, {new_account(2)}));
    CHECK(old_daemon.accounts_.at(acme).burst_ == 5);
    CHECK(old_daemon.unused_records_ == 1);
    CHECK(new_daemon.accounts_.at(acme).burst_ == 7);
    CHECK(new_daemon.accounts_.at(acme).retry_percent_ == 25);

    configuration_update back;
    back.from_ = 2;
    back.to_ = 3;
    back.removals_ = {{{"account", "acme", 2}, 3}};
    for (calls::configuration* c : {&old_daemon, &new_daemon})
        *c = calls::apply_update(*c, back);
    CHECK(old_daemon.accounts_.at(acme).burst_ == 5);
    CHECK(old_daemon.unused_records_ == 0);
    CHECK(new_daemon.accounts_.at(acme).burst_ == 5);
}

TEST_CASE("a record of an unknown kind is kept and counted")
{
    calls::configuration c;
    record const future{{"account", "acme", 9}, 1, unknown_record{"bytes"}};
    c = calls::apply_update(c, update_to(1, {future, old_account(1)}));
    CHECK(c.unused_records_ == 1);
    CHECK(c.records_.size() == 2);
    CHECK(c.accounts_.at(acme).burst_ == 5);
}

TEST_CASE("the fleet reports which schema each daemon knows")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    std::size_t reported = 0;
    for (std::size_t i = 0; i < 3; ++i)
    {
        for (auto const& daemon :
             fleet.control_of(i).distribution_.subscribers_)
            reported +=
                daemon.second.newest_schema_ == calls::newest_known_schema ? 1
                                                                           : 0;
    }
    CHECK(reported >= 5);
}
