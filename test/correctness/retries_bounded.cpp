// Retries over the whole chain of calls stay within the root's bound.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t depth = 5;

// A chain of services s0 -> s1 -> ... with two backend servers each, whose
// last one breaks every connection.
void set_up_chain(memory_fleet& fleet)
{
    wait_until_ready(fleet, 5);
    std::vector<edit> edits{
        put_account("acme", 1000, 1000), put_key("acme", "first")};
    for (std::size_t i = 0; i < depth; ++i)
    {
        std::string const name = "s" + std::to_string(i);
        edits.push_back(put_route(name, repeatable_route("/" + name, name)));
    }
    make_change(fleet, edits);
    for (std::size_t i = 0; i < depth; ++i)
    {
        for (std::size_t twin = 0; twin < 2; ++twin)
        {
            backend_options b;
            b.id_ = "s" + std::to_string(i) + "-" + std::to_string(twin);
            b.service_ = service_name::make("s" + std::to_string(i)).value();
            b.fails_ = i + 1 == depth;
            if (i + 1 < depth)
                b.calls_ = "/s" + std::to_string(i + 1);
            fleet.add_backend((2 * i + twin) % 5, b);
        }
    }
    fleet.run_for(3s);
}

} // namespace

TEST_CASE(
    "a chain of five with a failing end spends at most the root's retries")
{
    memory_fleet fleet({});
    set_up_chain(fleet);
    for (int i = 0; i < 20; ++i)
    {
        fleet.send_request(
            static_cast<std::size_t>(i) % 5,
            with_header(
                request_with_key("GET", "/s0", "acme", std::to_string(i)),
                request_id_header, "root-" + std::to_string(i)));
        fleet.run_for(2s);
    }
    // Without retries a root has one forward a hop.
    CHECK(check_forwards(fleet.recorded_history(), depth + 3).empty());
    std::size_t retried = 0;
    for (auto const& root : fleet.recorded_history().forwards_)
        retried += root.second > depth ? 1 : 0;
    CHECK(retried > 0);
}

TEST_CASE("a caller's resends of one request id count in the same bound")
{
    memory_fleet fleet({});
    set_up_chain(fleet);
    request const r = with_header(
        request_with_key("GET", "/s4", "acme", "x"), request_id_header, "root");
    for (int i = 0; i < 10; ++i)
    {
        fleet.send_request(0, r);
        fleet.run_for(500ms);
    }
    CHECK(check_forwards(fleet.recorded_history(), 1 + 3).empty());
    verdict_event const& last = fleet.recorded_history().verdicts_.back();
    CHECK(
        std::get<not_run>(last.verdict_).reason_ ==
        refusal_reason::retries_spent);
}
