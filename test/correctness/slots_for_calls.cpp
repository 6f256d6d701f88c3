// Long requests of callers leave slots to the short calls of runs in progress.
// Load: a catalogue near its capacity that serves both.
#include <catch2/catch.hpp>

#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t hosts = 5;
constexpr std::uint32_t slots = 8; // of a catalogue server: 40 in all
constexpr char const* sleep_header = "fake-sleep-ms";

// Both routes have one rank: only the progress of the work tells it apart.
route_v1 ranked_route(
    std::string const& path, std::string const& service,
    std::int64_t timeout_ms)
{
    route_v1 r = repeatable_route(path, service, 3);
    r.timeout_ms_ = timeout_ms;
    return r;
}

void add_server(
    memory_fleet& fleet, std::size_t host, std::string const& service,
    std::uint32_t server_slots, duration time, std::string calls)
{
    backend_options b;
    b.id_ = service + "-" + std::to_string(host);
    b.service_ = service_name::make(service).value();
    b.slots_ = server_slots;
    b.service_time_ = time;
    b.calls_ = std::move(calls);
    fleet.add_backend(host, b);
}

void set_up(memory_fleet& fleet)
{
    wait_until_ready(fleet, hosts);
    make_change(
        fleet,
        {put_account("acme", 1e6, 1000000), put_key("acme", "first"),
         put_route("orders", ranked_route("/orders", "orders", 1000)),
         put_route("tiles", ranked_route("/tiles", "catalogue", 400)),
         put_route(
             "templates", ranked_route("/templates", "catalogue", 4000))});
    for (std::size_t i = 0; i < hosts; ++i)
    {
        add_server(fleet, i, "orders", 100, 10ms, "/tiles");
        add_server(fleet, i, "catalogue", slots, 20ms, {});
    }
    fleet.run_for(6s); // servers warm up
}

struct served
{
    std::size_t sent_ = 0;
    std::size_t answered_ = 0; // with success
};

served count(memory_fleet const& fleet, std::string const& path)
{
    served s;
    for (verdict_event const& v : fleet.recorded_history().verdicts_)
    {
        request const& r =
            fleet.recorded_history().sent_.at(v.request_).request_;
        if (r.path_ != path)
            continue;
        ++s.sent_;
        ran const* done = std::get_if<ran>(&v.verdict_);
        s.answered_ += done && done->answer_.status_ == 200 ? 1 : 0;
    }
    return s;
}

// Orders at 200 a second, whose calls need 4 of the 40 slots, and templates of
// 1 s each at `templates_per_second`.
void send_load(
    memory_fleet& fleet, duration length, std::uint64_t templates_per_second)
{
    constexpr duration step = 5ms; // of orders
    duration const end = fleet.now() + length;
    while (fleet.now() < end)
    {
        fleet.send_request(
            fleet.random().below(hosts),
            request_with_key("GET", "/orders", "acme"));
        if (fleet.random().below(200) < templates_per_second)
            fleet.send_request(
                fleet.random().below(hosts),
                with_header(
                    request_with_key("GET", "/templates", "acme"), sleep_header,
                    "1000"));
        fleet.run_for(step);
    }
    fleet.run_for(5s);
}

} // namespace

TEST_CASE("long requests beyond the capacity do not hold all slots")
{
    fleet_options o;
    o.hosts_ = hosts;
    o.seed_ = GENERATE(1, 2, 3);
    memory_fleet fleet(o);
    set_up(fleet);
    send_load(fleet, 10s, 60);
    served const orders = count(fleet, "/orders");
    served const templates = count(fleet, "/templates");
    CAPTURE(
        orders.sent_, orders.answered_, templates.sent_, templates.answered_);
    CHECK(orders.answered_ * 100 >= orders.sent_ * 95);
    // Half of what the 36 slots carry that the calls leave.
    CHECK(templates.answered_ >= 36 * 10 / 2);
}

TEST_CASE("long requests hold all free slots while no call waits")
{
    fleet_options o;
    o.hosts_ = hosts;
    memory_fleet fleet(o);
    set_up(fleet);
    send_load(fleet, 10s, 20);
    served const orders = count(fleet, "/orders");
    served const templates = count(fleet, "/templates");
    CAPTURE(
        orders.sent_, orders.answered_, templates.sent_, templates.answered_);
    CHECK(orders.answered_ * 100 >= orders.sent_ * 99);
    CHECK(templates.answered_ * 100 >= templates.sent_ * 99);
}
