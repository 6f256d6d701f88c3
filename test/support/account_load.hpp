// Client accounts with shared rates, and their requests at random moments to
// random daemons.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "scenario.hpp"

namespace jackdawhall::test
{

struct client_account
{
    account_name name_;
    std::string key_;
    double rate_ = 0; // requests per second; the burst is as many requests
};

client_account make_account(std::string const& name, double rate);

// A request of an account, in the order of sending.
struct sent_request
{
    duration at_{0};
    std::uint64_t number_ = 0;
};
using sent_requests = std::map<std::string, std::vector<sent_request>>;

// The daemons beside servers: those after the control hosts.
struct daemon_range
{
    std::size_t first_ = 0;
    std::size_t count_ = 0;
};

// Five control hosts, and daemons beside servers of the service plans.
fleet_options fleet_with_accounts(
    std::uint64_t seed, daemon_range const& daemons,
    rate_tolerance const& tolerance);

// Waits for the group, makes the accounts, a route to plans and its servers,
// and lets the token buckets fill.
void set_up_accounts(
    memory_fleet& fleet, daemon_range const& daemons,
    std::vector<client_account> const& known);

// Schedules requests of the account at `load` times its rate from `begin` on.
// Those to daemons that are down are left out.
void schedule_requests(
    memory_fleet& fleet, daemon_range const& daemons, client_account const& a,
    double load, duration begin, duration length,
    std::shared_ptr<sent_requests> const& sent);

// Sends requests of each account at `load` times its rate for `length`.
sent_requests send_at_random(
    memory_fleet& fleet, daemon_range const& daemons,
    std::vector<client_account> const& known, double load, duration length);

bool was_refused(memory_fleet const& fleet, std::uint64_t number);

// Most requests that were served in any window of this length, by the time of
// their sending.
std::size_t most_served(
    memory_fleet const& fleet, std::vector<sent_request> const& sent,
    duration window);

// Most requests of the account that may run in a window of the tolerance.
double most_allowed(client_account const& a, rate_tolerance const& tolerance);

} // namespace jackdawhall::test
