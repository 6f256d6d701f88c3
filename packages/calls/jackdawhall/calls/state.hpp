// State of a call node.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/calls/configuration.hpp>
#include <jackdawhall/calls/effect.hpp>
#include <jackdawhall/calls/limiter.hpp>
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

// Retry budget of this daemon at one service.
struct retry_budget
{
    double available_ = 0; // in retries at a service that makes no calls
    instant updated_at_;
    // Whether the service makes nested calls, as last reported by its gates.
    bool makes_calls_ = true;
    auto operator<=>(retry_budget const&) const = default;
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
    duration announcement_lifetime_ = announcement_lifetime;
    admission_policy admission_ = adaptive_limit{};
    retry_budget_policy retry_budget_policy_;
    shutdown_periods shutdown_periods_;
    auto operator<=>(settings const&) const = default;
};

// --- Calls at the entry -----------------------------------------------------

// Progress of a call through the filters of the entry.
struct advancing
{
    auto operator<=>(advancing const&) const = default;
};
struct waiting
{
    auto operator<=>(waiting const&) const = default;
};
struct finished
{
    verdict verdict_;
    auto operator<=>(finished const&) const = default;
};
using call_progress = std::variant<advancing, waiting, finished>;

// Who receives the answer of a call: an HTTP caller, by the front end's number,
// or a host that requested the outcome.
struct http_caller
{
    std::uint64_t number_ = 0;
    auto operator<=>(http_caller const&) const = default;
};
struct outcome_requester
{
    host_name host_;
    std::uint64_t number_ = 0;
    auto operator<=>(outcome_requester const&) const = default;
};
using waiter = std::variant<http_caller, outcome_requester>;

// Claim of a call in progress.
struct held_claim
{
    claim_id id_;
    std::string body_hash_;
    std::string run_;
    bool granted_ = false;
    auto operator<=>(held_claim const&) const = default;
};

// Host and server id.
using server_key = std::pair<host_name, std::string>;

// A call forwarded to a gate, not answered yet.
struct active_forward
{
    call_number number_ = 0;
    backend_server server_;
    instant created_at_;
    std::uint32_t delegated_retries_ = 0; // lent to the gate
    auto operator<=>(active_forward const&) const = default;
};

// A call accepted by this daemon, from a caller or from the local backend
// server.
struct entry_call
{
    call_number number_ = 0;
    std::vector<waiter> waiters_; // the first one sent the request
    request request_;
    call_context context_;
    service_name service_;
    bool open_ = false; // needs no key
    bool needs_idempotency_key_ = false;
    std::uint32_t max_servers_reached_ = 0; // 0: unlimited
    std::uint32_t servers_reached_ = 0;
    std::uint32_t refused_tries_ = 0; // retried tries that reached no server
    // Fingerprint of the request, used to attribute crashes.
    std::string suspect_;
    std::string duplicate_key_;         // identifies resends; may be empty
    std::optional<call_number> parent_; // run that issued this call
    instant created_at_;
    instant deadline_;
    std::size_t next_filter_ = 0; // where the call resumes after waiting
    std::uint32_t retries_left_ = 0;
    std::uint32_t tries_ = 0;
    std::uint32_t lost_tries_ = 0; // retried tries that may have run
    std::vector<server_key> tried_servers_;
    std::optional<held_claim> claim_;
    std::optional<active_forward> forward_;
    std::optional<call_number> outcome_request_; // number of the request
    std::optional<instant> wake_at_;             // next check of a waiting call
    auto operator<=>(entry_call const&) const = default;
};

// --- Rate tokens ------------------------------------------------------------

struct held_grant
{
    std::uint64_t grant_ = 0;
    std::int64_t remaining_ = 0;
    instant ends_;
    bool changed_ = false; // since the last report
    auto operator<=>(held_grant const&) const = default;
};

// A call that waits for a rate token.
struct token_waiter
{
    call_number number_ = 0;
    rank route_rank_ = lowest_rank;
    auto operator<=>(token_waiter const&) const = default;
};

// Rate tokens of one account at this daemon.
struct token_pool
{
    std::vector<held_grant> grants_;
    std::vector<token_waiter> waiting_; // oldest first
    std::uint64_t pending_request_ = 0; // its number; 0: none
    instant requested_at_;
    std::int64_t requested_waiting_ = 0;
    instant last_call_at_;
    rank requested_rank_ = lowest_rank; // best rank of the last request
    // Earliest next request for calls not more important than requested_rank_.
    instant next_request_at_;
    // Whether a control host that allocates tokens answered the last request.
    bool allocated_ = false;
    // Demand: calls in the current and the last prefetch window.
    instant window_ends_;
    std::int64_t window_calls_ = 0;
    std::int64_t last_window_calls_ = 0;
    auto operator<=>(token_pool const&) const = default;
};

// Use of one account with a shared rate at this daemon.
struct shared_rate_usage
{
    double tokens_ = 0; // available while no control host answers
    instant updated_at_;
    double demand_ = 0; // requests per second, moving average
    instant demand_updated_at_;
    auto operator<=>(shared_rate_usage const&) const = default;
};

// --- Routing ----------------------------------------------------------------

// Statistics of a backend server, from the calls of this daemon and the load
// reports that its gate sends with the answers. A server is ejected (metric
// servers_set_aside) after consecutive failures.
struct server_stats
{
    std::uint32_t in_flight_ = 0; // forwards of this daemon
    std::uint32_t in_use_ = 0;    // running and queued at the gate, as reported
    std::uint32_t limit_ = 0;     // concurrency limit, as reported; 0: unknown
    instant load_reported_at_;    // when in_use_ and limit_ were reported
    duration latency_{0};         // moving average
    rank admitted_ = lowest_rank; // admission threshold, as reported
    instant admitted_until_;      // when admitted_ no longer applies
    std::uint32_t failures_ = 0;  // consecutive, since the last ejection
    instant last_answer_at_;      // to a call of this daemon
    instant ejected_until_;
    std::uint32_t consecutive_ejections_ = 0;
    instant known_since_;
    auto operator<=>(server_stats const&) const = default;
};

// --- Gate -------------------------------------------------------------------

// A run on a backend server, queued or started.
struct gate_run
{
    call_number number_ = 0;
    host_name entry_;
    call_number forward_ = 0; // its number at the entry
    std::string server_id_;
    call_context context_;
    std::string suspect_;
    request request_; // moved out when the run starts
    std::string ticket_;
    instant created_at_;
    instant started_at_;
    instant deadline_;
    std::uint32_t retries_left_ = 0;
    std::uint32_t calls_in_progress_ = 0; // nested calls of the run
    instant calling_since_;     // when calls_in_progress_ last rose from 0
    duration time_in_calls_{0}; // time with nested calls in progress
    bool call_failed_ = false;  // a nested call failed
    bool running_ = false;
    bool cancelled_ = false;
    auto operator<=>(gate_run const&) const = default;
};

// A backend server on the host of this daemon.
struct local_server
{
    announcement announcement_;
    instant last_heard_at_;
    instant first_heard_at_;
    limiter limiter_;
    std::set<call_number> running_;
    std::vector<call_number> queued_; // oldest first
    // Admission threshold: the least important rank that is admitted.
    rank admitted_ = lowest_rank;
    instant window_ends_;                        // of the admission threshold
    bool shed_ = false;                          // in the current window
    std::map<account_name, double> recent_runs_; // decaying count of starts
    instant recent_runs_updated_at_;
    // Times and fingerprints of requests whose connection to the server broke.
    std::deque<std::pair<instant, std::string>> broken_requests_;
    bool probing_ = false;
    auto operator<=>(local_server const&) const = default;
};

// --- Control hosts ----------------------------------------------------------

struct control_link
{
    std::vector<host_name> hosts_; // in order of preference
    std::size_t preferred_ = 0;    // the first preferred_ of hosts_ are nearest
    std::size_t current_ = 0;      // index into hosts_
    instant switched_at_;          // when current_ last changed
    instant renewal_due_;
    // When the current control host last answered from a recent state, or when
    // it became the current one.
    instant last_answer_at_;
    host_name leader_;
    std::uint64_t membership_version_ = 0;
    // Of the last renewal; 0: the next answer does not set membership_version_.
    std::int64_t renewal_stamp_ = 0;
    auto operator<=>(control_link const&) const = default;
};

// Verdict of a non-repeatable request, kept for resends.
struct recent_verdict
{
    verdict verdict_;
    std::string body_hash_;
    instant until_;
    auto operator<=>(recent_verdict const&) const = default;
};

// Unused retries of a finished root call, for resends of the same request.
struct root_retry_budget
{
    std::uint32_t retries_left_ = 0;
    instant until_;
    auto operator<=>(root_retry_budget const&) const = default;
};

// --- Counters ---------------------------------------------------------------

template <class Reason>
using reason_counters =
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::last_) + 1>;

struct counters
{
    std::uint64_t requests_ = 0;
    std::uint64_t ran_ = 0;
    std::uint64_t joined_ = 0; // resends that joined a call in progress
    std::uint64_t runs_ = 0;   // started on local backend servers
    reason_counters<refusal_reason> refusals_{};
    reason_counters<indeterminate_reason> doubts_{};
    reason_counters<retry_reason> retries_{};
    auto operator<=>(counters const&) const = default;
};

// --- Node state -------------------------------------------------------------

struct state
{
    settings settings_;
    random_source random_;
    std::uint64_t incarnation_ = 0;
    call_number last_number_ = 0;
    configuration configuration_;
    control_link control_;
    // Whether configuration_ was fresh at the last check.
    bool was_fresh_ = false;
    std::map<service_name, std::vector<backend_server>> servers_;
    std::set<service_name> wanted_; // whose server lists are requested
    std::map<server_key, server_stats> server_stats_;
    std::map<std::string, local_server> local_servers_; // by server id
    std::map<call_number, entry_call> calls_;
    std::map<call_number, call_number> call_of_forward_; // forward -> call
    // Next wake-up or deadline of each call.
    std::set<std::pair<instant, call_number>> call_due_;
    std::map<std::uint64_t, call_number> call_of_caller_; // http number -> call
    std::map<std::string, call_number> call_of_duplicate_key_;
    std::map<claim_id, call_number> claims_; // of calls in progress
    std::map<account_name, token_pool> token_pools_;
    std::map<account_name, shared_rate_usage> shared_rate_usage_;
    std::int64_t daemons_ = 0; // in the fleet, as last reported; 0: unknown
    std::map<account_name, double> retry_credits_;
    std::map<service_name, retry_budget> retry_budgets_;
    std::uint64_t local_server_calls_ = 0; // by local backend servers
    std::map<claim_id, recent_verdict> recent_verdicts_;
    std::deque<claim_id> recent_verdict_order_;
    std::size_t recent_verdict_bytes_ = 0;
    std::map<std::string, root_retry_budget> root_budgets_; // by duplicate key
    std::deque<std::pair<instant, std::string>> root_budget_order_;
    std::map<claim_id, held_claim> pending_releases_; // not confirmed yet
    instant releases_due_;
    std::map<call_number, gate_run> runs_;
    std::map<std::pair<host_name, call_number>, call_number> run_of_forward_;
    // When each run is refused if queued, or cancelled if running and
    // repeatable.
    std::set<std::pair<instant, call_number>> run_due_;
    std::map<std::string, call_number> run_of_ticket_;
    std::optional<instant> stopping_since_;
    bool stopped_ = false;
    counters counters_;
    auto operator<=>(state const&) const = default;
};

} // namespace jackdawhall::calls
