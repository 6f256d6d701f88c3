// Each checker must find fault with a bad history.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

account_name const acme = name_literal<account_name>("acme");

request payment(std::string const& key)
{
    return {"POST", "/payments", {{idempotency_header, key}}, "40"};
}

run_event run_of(request const& r, duration at)
{
    return {at, name_literal<host_name>("h"), "s", r, "root"};
}

change_event accepted_change(
    std::string const& id, revision expected, revision got, duration asked,
    duration answered)
{
    return {
        asked, answered,
        change{id, "op", {put_account("acme", 1, 1, expected)}},
        change_outcome{accepted{got}}};
}

} // namespace

TEST_CASE("two runs under one key are found")
{
    history h;
    h.runs_ = {run_of(payment("k"), 1s)};
    CHECK(check_at_most_once(h, "/payments").empty());
    h.runs_.push_back(run_of(payment("k"), 2s));
    CHECK(check_at_most_once(h, "/payments").size() == 1);
}

TEST_CASE("a run behind 'not run' is found")
{
    history h;
    h.sent_[1] = {1s, name_literal<host_name>("h"), payment("k")};
    h.verdicts_ = {{2s, 1, not_run{refusal_reason::no_server}}};
    CHECK(check_not_run(h).empty());
    h.runs_ = {run_of(payment("k"), 1s)};
    CHECK(check_not_run(h).size() == 1);
}

TEST_CASE("a window over rate and burst is found")
{
    history h;
    for (int i = 0; i < 5; ++i)
        h.tokens_.push_back({1s, acme});
    h.tokens_.push_back({2s, acme});
    CHECK(check_rate(h, acme, 1, 5, 0).empty());
    h.tokens_.push_back({2s, acme});
    CHECK(check_rate(h, acme, 1, 5, 0).size() == 1);
}

TEST_CASE("an answer to another request, and a second answer, are found")
{
    history h;
    h.sent_[1] = {
        1s, name_literal<host_name>("h"), {"GET", "/plans", {}, "mine"}};
    h.verdicts_ = {{2s, 1, ran{{200, {}, "echo mine"}}}};
    CHECK(check_answers(h).empty());
    h.verdicts_[0].verdict_ = ran{{200, {}, "echo other"}};
    CHECK(check_answers(h).size() == 1);
    h.verdicts_ = {
        {2s, 1, ran{{200, {}, "echo mine"}}},
        {3s, 1, ran{{200, {}, "echo mine"}}}};
    CHECK(check_answers(h).size() == 1);
}

TEST_CASE("changes that are not linearizable are found")
{
    history h;
    h.changes_[1] = accepted_change("a", 0, 1, 1s, 2s);
    h.changes_[2] = accepted_change("b", 1, 2, 3s, 4s);
    CHECK(check_changes(h).empty());
    SECTION("one revision for two operations")
    {
        h.changes_[2] = accepted_change("b", 1, 1, 3s, 4s);
        CHECK_FALSE(check_changes(h).empty());
    }
    SECTION("two operators won with one expected revision")
    {
        h.changes_[2] = accepted_change("b", 0, 2, 3s, 4s);
        CHECK_FALSE(check_changes(h).empty());
    }
    SECTION("an older revision was asked for later")
    {
        h.changes_[1] = accepted_change("a", 0, 2, 1s, 2s);
        h.changes_[2] = accepted_change("b", 0, 1, 3s, 4s);
        CHECK_FALSE(check_changes(h).empty());
    }
    SECTION("one operation with two outcomes")
    {
        h.changes_[3] = accepted_change("a", 0, 3, 5s, 6s);
        CHECK_FALSE(check_changes(h).empty());
    }
}

TEST_CASE("too many forwards, reversions and late runs are found")
{
    history h;
    h.forwards_["root"] = 5;
    CHECK(check_forwards(h, 4).size() == 1);
    h.reversions_ = {"h"};
    CHECK(check_no_reversion(h).size() == 1);
    h.runs_ = {run_of({"GET", "/plans", {}, ""}, 9s)};
    CHECK(check_no_runs_after(h, "/plans", 8s).size() == 1);
    CHECK(check_no_runs_after(h, "/plans", 9s).empty());
}
