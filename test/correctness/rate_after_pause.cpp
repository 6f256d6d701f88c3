// A daemon that was paused while a call waited for a rate token: it refused the
// call as beyond its rate, though no control host had answered.
#include <catch2/catch.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace jackdawhall::test;
using namespace std::chrono_literals;

namespace
{

account_name const acme = name_literal<account_name>("acme");
std::string const key = "key-of-acme";

// An account with a granted rate, and a route that needs its key.
void learn_account(single_node& entry)
{
    route_v2 plans;
    plans.path_prefix_ = "/plans";
    plans.services_ = {{single_node::service(), 1}};
    plans.repetition_ = repetition::repeatable;
    plans.timeout_ms_ = 5000;
    renewal_response r;
    r.incarnation_ = entry.state().incarnation_;
    r.stamp_ = entry.now().time_since_epoch().count();
    r.confirmed_ = true;
    r.update_ = {
        0,
        1,
        true,
        {{{"account", acme.str(), 2}, 1, account_v2{1000, 10, 10}},
         {{"key", fingerprint(key), 2}, 1, key_v2{acme}},
         {{"route", "plans", 2}, 1, plans}},
        {}};
    entry.give(single_node::control_host(), r);
}

} // namespace

TEST_CASE("a call waits on for a token that no control host has refused")
{
    single_node entry;
    learn_account(entry);
    request const r{"GET", "/plans", {{key_header, key}}, {}};
    // A first call, so that a control host is known to grant tokens.
    entry.give(caller_request{1, r});
    grant_request const first = entry.sent<grant_request>().at(0);
    grant_response granted;
    granted.incarnation_ = first.incarnation_;
    granted.account_ = acme;
    granted.number_ = first.number_;
    granted.result_ = grant_result::granted;
    granted.grant_ = 1;
    granted.tokens_ = 1;
    granted.length_ = 2s;
    entry.give(single_node::control_host(), granted);
    entry.pass(500ms);
    entry.give(caller_request{2, r});
    REQUIRE(entry.sent<grant_request>().size() == 1);
    entry.pass(309ms);
    CHECK(
        entry.state().counters_.refusals_.at(
            static_cast<std::size_t>(refusal_reason::rate_exceeded)) == 0);
    CHECK(entry.sent<grant_request>().size() == 1);
}
