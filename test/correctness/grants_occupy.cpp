// The allocator alone: unspent grants occupy the bucket, and a new allocator
// waits out its predecessor's.
#include <catch2/catch.hpp>

#include <jackdawhall/control.hpp>

using namespace jackdawhall;
using namespace jackdawhall::control;
using namespace std::chrono_literals;

namespace
{

account_name const acme = name_literal<account_name>("acme");
host_name const one = name_literal<host_name>("one");
host_name const two = name_literal<host_name>("two");

state_machine with_account(std::int64_t rate, std::int64_t burst)
{
    state_machine m;
    record_key const key{"account", "acme", 1};
    m.records_[key] = {key, 1, account_v1{rate * 1000, burst}};
    return m;
}

grant_request
ask(host_name const& host, std::int64_t waiting,
    std::vector<grant_report> reports = {})
{
    static std::uint64_t number = 0;
    return {host, 1, acme, ++number, waiting, 0, {}, std::move(reports)};
}

// An allocator, driven by hand.
struct driver
{
    grant_response give(grant_request const& r)
    {
        allocator_step step = allocate_from_leader_bucket(
            std::move(allocator_), machine_, r, true, now_);
        allocator_ = std::move(step.state_);
        return step.response_.value();
    }

    state_machine machine_;
    instant now_{1h};
    grant_allocator allocator_ =
        start_allocator(grant_allocator{}, 1, instant{1h} - 10min);
};

} // namespace

TEST_CASE("while a holder keeps a whole burst unspent, nobody gets another")
{
    driver d{with_account(10, 10)};
    grant_response const held = d.give(ask(one, 10));
    REQUIRE(held.tokens_ == 10);
    d.now_ += 1900ms; // 19 tokens' time, but the grant still lives
    CHECK(d.give(ask(two, 10)).result_ == grant_result::exhausted);
}

TEST_CASE("spent tokens accrue again, and returned ones are there at once")
{
    driver d{with_account(10, 10)};
    grant_response const held = d.give(ask(one, 10));
    // 4 were spent, 6 come back.
    grant_response const next = d.give(ask(two, 10, {}));
    CHECK(next.result_ == grant_result::exhausted);
    grant_request report = ask(one, 0, {{held.grant_, 6, true}});
    report.number_ = 0;
    d.allocator_ =
        allocate_from_leader_bucket(
            std::move(d.allocator_), d.machine_, report, true, d.now_)
            .state_;
    CHECK(d.give(ask(two, 10)).tokens_ == 6);
    d.now_ += 200ms;
    CHECK(d.give(ask(two, 10)).tokens_ == 2);
}

TEST_CASE("a grant whose holder is lost counts as spent until it ends")
{
    driver d{with_account(10, 10)};
    d.give(ask(one, 10));
    d.now_ += with_drift_margin(grant_lifetime) + 1ms;
    CHECK(d.give(ask(two, 10)).result_ == grant_result::exhausted);
    d.now_ += 500ms;
    CHECK(d.give(ask(two, 10)).tokens_ == 5);
}

TEST_CASE("a new allocator grants nothing while its predecessor's may live")
{
    driver d{with_account(10, 10)};
    instant const elected{1h};
    d.allocator_ = start_allocator(std::move(d.allocator_), 1, elected);
    d.now_ = elected + grant_lifetime;
    CHECK(d.give(ask(one, 10)).result_ == grant_result::unavailable);
    d.now_ = elected + with_drift_margin(grant_lifetime);
    CHECK(d.give(ask(one, 10)).result_ == grant_result::exhausted);
    d.now_ += 300ms; // it starts from an empty bucket
    CHECK(d.give(ask(one, 10)).tokens_ == 3);
}

TEST_CASE("a report of another holder, or sent twice, changes nothing more")
{
    driver d{with_account(1, 10)};
    grant_response const held = d.give(ask(one, 10));
    d.give(ask(two, 0, {{held.grant_, 0, true}}));
    CHECK(d.allocator_.leader_buckets_.at(acme).outstanding_ == 10);
    d.give(ask(one, 0, {{held.grant_, 4, true}}));
    d.give(ask(one, 0, {{held.grant_, 4, true}}));
    CHECK(d.allocator_.leader_buckets_.at(acme).outstanding_ == 0);
    CHECK(d.allocator_.leader_buckets_.at(acme).level_ == 4 * token_unit);
}
