// Until the first configuration is accepted no request is told that its path
// doesn't exist: its caller would not come again (DENIED).
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t entry = 4;

not_run refusal_of(memory_fleet& fleet, std::string const& path)
{
    std::uint64_t const number =
        fleet.send_request(entry, request_with_key("GET", path, "acme"));
    fleet.run_for(100ms);
    return std::get<not_run>(fleet.verdict_of(number).value());
}

} // namespace

TEST_CASE("before the first configuration a caller is told to come again")
{
    memory_fleet fleet({});
    wait_until_ready(fleet, 5);
    not_run const early = refusal_of(fleet, "/plans");
    CHECK(early.reason_ == refusal_reason::no_fresh_configuration);
    CHECK(early.retry_after_ > duration{0});
    make_change(fleet, {put_route("plans", repeatable_route("/plans", "p"))});
    fleet.run_for(1s);
    CHECK(refusal_of(fleet, "/other").reason_ == refusal_reason::no_route);
}
