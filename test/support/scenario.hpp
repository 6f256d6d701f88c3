// What most tests begin with: a fleet with a leader, a client account with a
// key, and routes.
#pragma once

#include <string>

#include "memory_fleet.hpp"

namespace jackdawhall::test
{

using namespace std::chrono_literals;

// Secret of every test key; its hash is kept with the salt "salt".
inline std::string const test_secret(key_secret_bytes * 2, 'a');

record_key account_key(std::string const& name);
edit put_account(
    std::string const& name, double rate, std::int64_t burst,
    revision expected = 0);
edit put_key(
    std::string const& account, std::string const& key, revision expected = 0,
    bool withdrawn = false);
edit put_route(std::string const& name, route_v1 route, revision expected = 0);
route_v1 repeatable_route(
    std::string const& path, std::string const& service, rank importance = 5);
route_v1 payment_route(std::string const& path, std::string const& service);

// A request with the key "<account>/first".
request keyed(
    std::string const& method, std::string const& path,
    std::string const& account, std::string body = {});
request with_header(request r, std::string const& name, std::string value);

// A fresh idempotency key for the fleet's present wall clock.
std::string fresh_uuid(memory_fleet& fleet);

// Runs until there is a leader that allocates and all hosts are fresh.
void settle(memory_fleet& fleet, std::size_t hosts);

// Submits edits at any control host that is up until they are accepted.
revision make_change(memory_fleet& fleet, std::vector<edit> edits);

// Account "acme" (rate and burst large), key "first", a repeatable route
// /plans to service plans and a payment route /payments to service payments,
// with a backend server of each on hosts 0, 1, ... in turn.
void set_up_usual(memory_fleet& fleet, std::size_t hosts);

} // namespace jackdawhall::test
