// Under overload the requests that matter most are shed last, at the gate and
// at the entry; and accounts share what is left.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

struct tally
{
    int sent_ = 0;
    int ran_ = 0;
    std::map<std::string, int> refused_; // by reason
    double share() const { return double(ran_) / double(sent_); }
};

// What became of requests whose body begins with `prefix`.
tally count(memory_fleet const& fleet, std::string const& prefix)
{
    tally t;
    for (verdict_event const& v : fleet.recorded_history().verdicts_)
    {
        request const& r =
            fleet.recorded_history().sent_.at(v.request_).request_;
        if (!r.body_.starts_with(prefix))
            continue;
        ++t.sent_;
        if (not_run const* n = std::get_if<not_run>(&v.verdict_))
            ++t.refused_[std::string(to_text(n->reason_))];
        t.ran_ += std::holds_alternative<ran>(v.verdict_) ? 1 : 0;
    }
    return t;
}

// One service with 4 servers of 4 slots and 10 ms: 1,600 requests a second.
void set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    make_change(
        fleet, {put_account("acme", 1e6, 1000000), put_key("acme", "first"),
                put_account("other", 1e6, 1000000), put_key("other", "first"),
                put_route("high", repeatable_route("/high", "work", 0)),
                put_route("middle", repeatable_route("/middle", "work", 4)),
                put_route("low", repeatable_route("/low", "work", 8))});
    for (std::size_t i = 0; i < 4; ++i)
    {
        backend_options b;
        b.id_ = "work-" + std::to_string(i);
        b.service_ = name_literal<service_name>("work");
        b.slots_ = 4;
        b.service_time_ = 10ms;
        fleet.add_backend(i, b);
    }
    fleet.run_for(3s);
}

} // namespace

TEST_CASE("at three times the capacity what matters most is served")
{
    memory_fleet fleet({});
    set_up(fleet);
    for (int i = 0; i < 12000; ++i) // 4,800 a second for 2.5 s
    {
        std::uint64_t const kind = fleet.random().below(10);
        std::string const path =
            kind < 2 ? "/high" : (kind < 5 ? "/middle" : "/low");
        fleet.send_request(
            fleet.random().below(5),
            request_with_key("GET", path, "acme", path));
        fleet.run_for(208us);
    }
    fleet.run_for(3s);
    tally const high = count(fleet, "/high");
    tally const middle = count(fleet, "/middle");
    tally const low = count(fleet, "/low");
    CAPTURE(high.share(), middle.share(), low.share());
    for (auto const& refused : high.refused_)
        UNSCOPED_INFO(refused.first << " " << refused.second);
    CHECK(high.share() >= 0.99);
    CHECK(high.share() >= middle.share());
    CHECK(middle.share() > low.share());
    double const served = high.ran_ + middle.ran_ + low.ran_;
    CAPTURE(served);
    CHECK(served >= 0.9 * 1600 * 2.5); // goodput under the surge
}

TEST_CASE("an account that floods does not push another one out")
{
    memory_fleet fleet({});
    set_up(fleet);
    for (int i = 0; i < 12000; ++i)
    {
        bool const small = i % 10 == 0; // 480 a second, within a fair half
        fleet.send_request(
            fleet.random().below(5),
            request_with_key(
                "GET", "/middle", small ? "other" : "acme",
                small ? "small" : "large"));
        fleet.run_for(208us);
    }
    fleet.run_for(3s);
    tally const small = count(fleet, "small");
    CAPTURE(small.share(), count(fleet, "large").share());
    CHECK(small.share() >= 0.95);
}

TEST_CASE("once a surge has passed requests are served as before")
{
    memory_fleet fleet({});
    set_up(fleet);
    for (int i = 0; i < 12000; ++i)
    {
        fleet.send_request(
            fleet.random().below(5),
            request_with_key("GET", "/low", "acme", "surge"));
        fleet.run_for(208us);
    }
    fleet.run_for(5s); // the bound for recovery
    for (int i = 0; i < 1000; ++i)
    {
        fleet.send_request(
            fleet.random().below(5),
            request_with_key("GET", "/low", "acme", "after"));
        fleet.run_for(1ms);
    }
    fleet.run_for(2s);
    CHECK(count(fleet, "after").share() >= 0.99);
}
