// Common test fixture: a fleet with a leader, a client account with a key, and
// routes.
#pragma once

#include <string>

#include "memory_fleet.hpp"

namespace jackdawhall::test
{

using namespace std::chrono_literals;

// Five control hosts that start from three seeds; a change needs the disks of
// three. A group of all five has formed after group_formed.
fleet_options five_control_hosts(std::uint64_t seed);
inline constexpr duration group_formed = 8s;

// Secret of every test key; its hash is stored with the salt "salt".
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

// Returns a request that presents the key "<account>/first".
request request_with_key(
    std::string const& method, std::string const& path,
    std::string const& account, std::string body = {});
request with_header(request r, std::string const& name, std::string value);

// Returns a new idempotency key for the current wall-clock time of the fleet.
std::string new_idempotency_key(memory_fleet& fleet);

// Runs until there is a leader that allocates grants and the configuration of
// every host is fresh. Throws if that takes more than 30 s.
void wait_until_ready(memory_fleet& fleet, std::size_t hosts);

// Submits the edits to the current leader, repeatedly under one operation id,
// until they are accepted; returns their revision. Throws if they are refused
// or after 20 attempts.
revision make_change(memory_fleet& fleet, std::vector<edit> edits);

// Settles the fleet and adds account "acme" (large rate and burst), key
// "first", a repeatable route /plans to service plans and a non-repeatable
// route /payments to service payments. Each host gets one backend server: of
// plans on even hosts, of payments on odd hosts.
void set_up_default_fleet(memory_fleet& fleet, std::size_t hosts);

} // namespace jackdawhall::test
