#include "scenario.hpp"

#include <cmath>
#include <stdexcept>

namespace jackdawhall::test
{

fleet_options five_control_hosts(std::uint64_t seed)
{
    fleet_options o;
    o.seed_ = seed;
    o.hosts_ = 5;
    o.control_hosts_ = 5;
    o.control_seeds_ = 3;
    o.durable_copies_ = 3;
    o.sync_time_ = 5ms;
    return o;
}

record_key account_key(std::string const& name)
{
    return {"account", name, 1};
}

edit put_account(
    std::string const& name, double rate, std::int64_t burst, revision expected)
{
    return {
        account_key(name), expected,
        account_v1{std::llround(rate * 1000), burst}};
}

edit put_key(
    std::string const& account, std::string const& key, revision expected,
    bool withdrawn)
{
    return {
        {"key", account + "/" + key, 1},
        expected,
        key_v1{
            account_name::make(account).value(), "salt",
            hash_secret(test_secret, "salt"), withdrawn}};
}

edit put_route(std::string const& name, route_v1 route, revision expected)
{
    return {{"route", name, 1}, expected, std::move(route)};
}

route_v1 repeatable_route(
    std::string const& path, std::string const& service, rank importance)
{
    route_v1 r;
    r.path_prefix_ = path;
    r.service_ = service_name::make(service).value();
    r.rank_ = importance;
    r.repeatable_ = true;
    return r;
}

route_v1 payment_route(std::string const& path, std::string const& service)
{
    route_v1 r = repeatable_route(path, service, 0);
    r.repeatable_ = false;
    r.timeout_ms_ = 3000;
    return r;
}

request request_with_key(
    std::string const& method, std::string const& path,
    std::string const& account, std::string body)
{
    presented_key const key{
        account_name::make(account).value(), name_literal<key_name>("first"),
        test_secret};
    return {method, path, {{key_header, format_key(key)}}, std::move(body)};
}

request with_header(request r, std::string const& name, std::string value)
{
    r.headers_.push_back({name, std::move(value)});
    return r;
}

std::string new_idempotency_key(memory_fleet& fleet)
{
    wall_time const wall{
        std::chrono::milliseconds{1'800'000'000'000} +
        std::chrono::duration_cast<std::chrono::milliseconds>(fleet.now())};
    return make_uuid(wall, fleet.random());
}

void wait_until_ready(memory_fleet& fleet, std::size_t hosts)
{
    auto const ready = [&]
    {
        std::optional<std::size_t> const l = fleet.leader();
        if (!l)
            return false;
        for (std::size_t i = 0; i < hosts; ++i)
        {
            if (!fleet.is_up(i) ||
                !fleet.calls_of(i).configuration_.fresh_until_)
                return false;
        }
        return true;
    };
    if (!fleet.run_until(ready, 30s))
        throw std::runtime_error(
            "no leader with a fresh configuration on every host within 30 s");
    // A new allocator waits for the grants of its predecessor to expire.
    fleet.run_for(3s);
}

revision make_change(memory_fleet& fleet, std::vector<edit> edits)
{
    change const c{
        "operation-" + fleet.random().hex(8), "test", std::move(edits)};
    for (int attempt = 0; attempt < 20; ++attempt)
    {
        std::optional<std::size_t> const l = fleet.leader();
        if (!l)
        {
            fleet.run_for(500ms);
            continue;
        }
        std::uint64_t const number = fleet.submit(*l, c);
        auto const& event = fleet.recorded_history().changes_.at(number);
        fleet.run_until([&] { return event.outcome_.has_value(); }, 6s);
        if (!event.outcome_)
            continue;
        if (accepted const* a = std::get_if<accepted>(&*event.outcome_))
            return a->revision_;
        if (!std::holds_alternative<unknown_outcome>(*event.outcome_))
            throw std::runtime_error("configuration change was refused");
    }
    throw std::runtime_error(
        "configuration change was not accepted in 20 attempts");
}

void set_up_default_fleet(memory_fleet& fleet, std::size_t hosts)
{
    wait_until_ready(fleet, hosts);
    make_change(
        fleet, {put_account("acme", 1000, 1000), put_key("acme", "first"),
                put_route("plans", repeatable_route("/plans", "plans")),
                put_route("pay", payment_route("/payments", "payments"))});
    for (std::size_t i = 0; i < hosts; ++i)
    {
        bool const pays = i % 2 == 1;
        backend_options b;
        b.id_ = (pays ? "payments-" : "plans-") + std::to_string(i);
        b.service_ = name_literal<service_name>(pays ? "payments" : "plans");
        fleet.add_backend(i, b);
    }
    fleet.run_for(2s);
}

} // namespace jackdawhall::test
