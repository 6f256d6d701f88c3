// Constants and settings of a call node.
#pragma once

#include <compare>
#include <cstdint>
#include <variant>
#include <vector>

#include <jackdawhall/calls/configuration.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

// --- Constants --------------------------------------------------------------

inline constexpr std::size_t max_body_bytes = 1 << 20;
inline constexpr std::size_t max_header_bytes = 16 << 10;
inline constexpr std::size_t max_path_bytes = 4 << 10;
inline constexpr std::size_t max_calls = 20000; // in progress per daemon
inline constexpr std::uint32_t max_depth = 20;  // of nested calls

inline constexpr duration renewal_interval = std::chrono::seconds(1);
// The daemon switches to the next control host when the current one has not
// answered for this long.
inline constexpr duration control_timeout = std::chrono::milliseconds(1500);
inline constexpr duration control_resend_interval =
    std::chrono::milliseconds(250);
// Longest wait of a call for a rate token if a control host that allocates
// tokens answered the last token request of the account.
inline constexpr duration max_token_wait = std::chrono::milliseconds(300);
// A call on a shared rate waits for its latency objective divided by
// shared_token_wait_divisor, up to max_shared_token_wait.
inline constexpr duration max_shared_token_wait =
    std::chrono::milliseconds(120);
inline constexpr int shared_token_wait_divisor = 8;
// Other control hosts that are asked for tokens of a shared rate when the
// current one has none, and for how long none is asked once all had none.
inline constexpr std::size_t max_other_token_hosts = 2;
inline constexpr duration other_token_hosts_pause = std::chrono::seconds(1);
// A control host that has not answered a request for tokens of a shared rate
// for this long counts as out of reach.
inline constexpr duration token_answer_timeout = std::chrono::milliseconds(100);
// Longest wait otherwise: no control host allocates tokens, or the last request
// was not answered.
inline constexpr duration max_allocator_wait = std::chrono::seconds(4);
inline constexpr std::size_t max_waiting_for_tokens = 256; // per account
// The unspent tokens of an account are returned after this long without a call.
inline constexpr duration idle_token_lifetime = std::chrono::milliseconds(200);
// Tokens are requested ahead of demand, for the calls expected in a window of
// this length.
inline constexpr duration token_prefetch_window =
    std::chrono::milliseconds(250);
// Verdicts of non-repeatable requests are kept for resends, within these
// bounds.
inline constexpr duration recent_verdict_lifetime = std::chrono::minutes(5);
inline constexpr std::size_t max_recent_verdicts = 10000;
inline constexpr std::size_t max_recent_verdict_bytes = 16 << 20;
// An announcement expires when it is not repeated for this long.
inline constexpr duration announcement_lifetime = std::chrono::seconds(3);
inline constexpr duration warm_up_period = std::chrono::seconds(5);
// A load report of a gate is ignored once it is older than this. Reports come
// only with answers, so the last one goes stale while nothing is sent to the
// gate.
inline constexpr duration gate_load_lifetime = std::chrono::milliseconds(250);
// An entry applies a gate's reported admission threshold for this long.
inline constexpr duration admission_threshold_lifetime =
    std::chrono::milliseconds(500);
// A server whose gate reported too many failures, or slow runs, gets calls
// again after this time, or when no other server has room.
inline constexpr duration avoided_server_pause = std::chrono::seconds(3);
// Retry budget of a root call, shared with all calls nested in it.
inline constexpr std::uint32_t default_retries = 3;
inline constexpr duration default_timeout = std::chrono::seconds(1);
// Requests whose connection broke within this time before a crash was detected
// are suspected of causing it.
inline constexpr duration crash_window = std::chrono::seconds(2);
// The unused retries of a finished root call are kept this long for resends.
inline constexpr duration root_retry_budget_lifetime = std::chrono::minutes(1);
// Longest wait of a call until a server of its service is known.
inline constexpr duration max_server_wait = std::chrono::milliseconds(500);
inline constexpr duration server_poll_interval = std::chrono::milliseconds(25);
// Most retries of one call after tries that reached no server, on routes that
// bound the servers per attempt.
inline constexpr std::uint32_t max_refused_tries = 4;
// Shortest time with a farther control host before the daemon switches back to
// one of the nearest.
inline constexpr duration control_failback_delay = std::chrono::seconds(5);

// --- Settings ---------------------------------------------------------------

// How a gate limits the concurrent runs of its server.
struct adaptive_limit // adapts to the server's latency
{
    auto operator<=>(adaptive_limit const&) const = default;
};
struct announced_slots // the slots that the server announced
{
    auto operator<=>(announced_slots const&) const = default;
};
using admission_policy = std::variant<adaptive_limit, announced_slots>;

// Retry budget of routes that bound the servers per attempt. All daemons
// together keep the retries at a service below `share_` of its first tries,
// plus `slack_` per window. A retry at a service that makes calls repeats those
// calls too, so it costs more.
struct retry_budget_policy
{
    double share_ = 0.1; // retries per first try at a service
    double slack_ = 0;   // further retries of all daemons per window
    duration window_ = std::chrono::seconds(10);
    double max_saved_ = 1;          // most saved up per daemon and service
    double nested_retry_cost_ = 60; // of a retry at a service making calls
    auto operator<=>(retry_budget_policy const&) const = default;
};

// Phases of a graceful shutdown, both counted from its start.
struct shutdown_periods
{
    duration accept_period_{0};                        // new calls accepted
    duration drain_period_ = std::chrono::seconds(30); // all work must end
    auto operator<=>(shutdown_periods const&) const = default;
};

struct settings
{
    host_name self_;
    location location_;
    endpoint gate_;                        // where peers reach this daemon
    std::vector<host_name> control_hosts_; // in order of preference
    std::uint32_t newest_schema_ = newest_known_schema;
    std::uint32_t retries_ = default_retries;
    // Service on this host, taken as the caller of root calls; empty: unknown.
    service_name beside_;
    // Whether control_hosts_ are only seeds, and the current control hosts are
    // learnt from renewal answers.
    bool discovers_control_hosts_ = false;
    duration freshness_lease_ = freshness_lease;
    duration renewal_interval_ = renewal_interval;
    duration control_timeout_ = control_timeout;
    rate_tolerance tolerance_; // of shared rates
    duration announcement_lifetime_ = announcement_lifetime;
    admission_policy admission_ = adaptive_limit{};
    retry_budget_policy retry_budget_policy_;
    shutdown_periods shutdown_periods_;
    auto operator<=>(settings const&) const = default;
};

} // namespace jackdawhall::calls
