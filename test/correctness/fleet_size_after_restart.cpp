// A control host that has just started or is cut off told daemons of a fleet of
// a few, so that each took a large part of the retry budget.
#include <catch2/catch.hpp>

#include <jackdawhall/control.hpp>

using namespace jackdawhall;
using namespace jackdawhall::control;
using namespace std::chrono_literals;

namespace
{

host_name const other = name_literal<host_name>("other");
constexpr std::int64_t daemons_elsewhere = 20;

membership after_report(instant started, instant heard)
{
    membership m;
    m.peer_hosts_ = {other};
    m.started_at_ = started;
    membership_report report;
    report.origin_ = other;
    report.daemons_ = daemons_elsewhere;
    return apply_report(std::move(m), report, heard).state_;
}

} // namespace

TEST_CASE("a control host that has just started does not know the fleet's size")
{
    instant const started = instant{} + 60s;
    membership const m = after_report(started, started + 100ms);
    CHECK(count_daemons(m, majority_contact::unknown, started + 200ms) == 0);
}

TEST_CASE("a control host that is cut off counts the daemons of the others")
{
    instant const heard = instant{} + 60s;
    membership const m = after_report(instant{}, heard);
    instant const later = heard + peer_silence_timeout;
    CHECK(
        count_daemons(m, majority_contact::unknown, later) ==
        daemons_elsewhere);
    CHECK(count_daemons(m, majority_contact::recent, later) == 0);
}
