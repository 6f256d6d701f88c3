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

// --- Constants
// ----------------------------------------------------------------

inline constexpr std::size_t max_body_bytes = 1 << 20;
inline constexpr std::size_t max_header_bytes = 16 << 10;
inline constexpr std::size_t max_path_bytes = 4 << 10;
inline constexpr std::size_t max_calls = 20000; // in progress at one daemon
inline constexpr std::uint32_t max_depth = 20;  // of a chain of calls

inline constexpr duration renewal_interval = std::chrono::seconds(1);
// A control host that has not answered for this long is left for the next.
inline constexpr duration control_timeout = std::chrono::milliseconds(1500);
inline constexpr duration control_resend = std::chrono::milliseconds(250);
// A call waits this long at most for a token that its account may have.
inline constexpr duration token_wait = std::chrono::milliseconds(300);
// A call on a shared rate waits for an eighth of its objective, and so long at
// most.
inline constexpr duration shared_token_wait = std::chrono::milliseconds(120);
inline constexpr int shared_wait_divisor = 8;
// A call waits this long at most while no control host allocates.
inline constexpr duration allocator_wait = std::chrono::seconds(4);
inline constexpr std::size_t max_waiting_for_tokens = 256; // per account
// Unspent tokens go back after this long without a call.
inline constexpr duration idle_token_lifetime = std::chrono::milliseconds(200);
// Tokens are asked for ahead of demand for this long.
inline constexpr duration token_prefetch = std::chrono::milliseconds(250);
// Verdicts of requests that may not be repeated are kept for resends.
inline constexpr duration recent_lifetime = std::chrono::minutes(5);
inline constexpr std::size_t max_recent = 10000;
inline constexpr std::size_t max_recent_bytes = 16 << 20;
// An announcement not repeated for this long has ended.
inline constexpr duration announcement_lifetime = std::chrono::seconds(3);
inline constexpr duration warm_up = std::chrono::seconds(5);
// What a gate told of its use counts for this long: while nothing is sent to
// it, nothing newer is told.
inline constexpr duration use_lifetime = std::chrono::milliseconds(250);
// A gate's threshold rank told to entries holds for this long.
inline constexpr duration threshold_lifetime = std::chrono::milliseconds(500);
inline constexpr std::uint32_t default_retries = 3; // of a root, in the chain
inline constexpr duration default_timeout = std::chrono::seconds(1);
// Requests broken off within this time of a crash are suspected of it.
inline constexpr duration crash_window = std::chrono::seconds(2);
inline constexpr duration root_lifetime = std::chrono::minutes(1);
// A call waits this long at most for a server of its service to be known.
inline constexpr duration server_wait = std::chrono::milliseconds(500);
inline constexpr duration server_poll = std::chrono::milliseconds(25);
// Tries of a request that a gate refused without reaching its server.
inline constexpr std::uint32_t most_refused_tries = 4;
// A better control host is gone back to after this long.
inline constexpr duration control_return = std::chrono::seconds(5);

// --- Settings
// -------------------------------------------------------------------

// How many runs a gate allows its server at once.
struct learnt_limit // from the server's latency
{
    auto operator<=>(learnt_limit const&) const = default;
};
struct announced_slots // as many as the server says that it has
{
    auto operator<=>(announced_slots const&) const = default;
};
using admission_policy = std::variant<learnt_limit, announced_slots>;

// Retries of routes that bound their attempts, of which all daemons together
// keep to a share of a service's requests. A retry at a service that makes
// calls makes retries of them too, and so must be rare.
struct retry_allowance
{
    double share_ = 0.1; // of the first tries at a service
    double slack_ = 0;   // beside that, in a window, by all daemons
    duration window_ = std::chrono::seconds(10);
    double most_ = 1;          // that a daemon may save up for a service
    double calling_cost_ = 60; // of a retry at a service that makes calls
    auto operator<=>(retry_allowance const&) const = default;
};

// What is left to spend on retries at a service.
struct retry_budget
{
    double left_ = 0;
    instant as_of_;
    bool makes_calls_ = true; // as its gates last told
    auto operator<=>(retry_budget const&) const = default;
};

// What a graceful stop may take.
struct stop_times
{
    duration accept_{0}; // new calls are still taken for so long
    duration finish_ = std::chrono::seconds(30); // all work must end by then
    auto operator<=>(stop_times const&) const = default;
};

struct settings
{
    host_name self_;
    location location_;
    endpoint gate_;                        // of this daemon, for its peers
    std::vector<host_name> control_hosts_; // in order of preference
    std::uint32_t newest_schema_ = newest_known_schema;
    std::uint32_t retries_ = default_retries;
    service_name beside_; // that runs on this host; empty: not told
    // The control hosts named are a first hint; answers name the others.
    bool learns_control_hosts_ = false;
    duration freshness_lease_ = freshness_lease;
    duration renewal_interval_ = renewal_interval;
    duration control_timeout_ = control_timeout;
    duration announcement_lifetime_ = announcement_lifetime;
    admission_policy admission_ = learnt_limit{};
    retry_allowance retry_allowance_;
    stop_times stop_times_;
    auto operator<=>(settings const&) const = default;
};

// --- Calls at the entry
// ------------------------------------------------------------

// Where a call stands in the pipeline of the entry.
struct going
{
    auto operator<=>(going const&) const = default;
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
using flow = std::variant<going, waiting, finished>;

// Who waits for the answer of a call: the front end's number, or another host
// that asked for the outcome.
struct http_caller
{
    std::uint64_t number_ = 0;
    auto operator<=>(http_caller const&) const = default;
};
struct asking_host
{
    host_name host_;
    std::uint64_t number_ = 0;
    auto operator<=>(asking_host const&) const = default;
};
using waiter = std::variant<http_caller, asking_host>;

// A claim taken for a call.
struct held_claim
{
    claim_id id_;
    std::string body_hash_;
    std::string run_;
    bool granted_ = false;
    auto operator<=>(held_claim const&) const = default;
};

// Host and id of a backend server.
using server_key = std::pair<host_name, std::string>;

// A forward in progress.
struct forwarded
{
    call_number number_ = 0;
    backend_server server_;
    instant since_;
    std::uint32_t lent_retries_ = 0;
    auto operator<=>(forwarded const&) const = default;
};

// A call that entered at this daemon, from a caller or from a backend server
// beside it.
struct entry_call
{
    call_number number_ = 0;
    std::vector<waiter> waiters_; // the first one brought the request
    request request_;
    call_context context_;
    service_name service_;
    bool open_ = false; // needs no key
    bool needs_idempotency_key_ = false;
    std::uint32_t most_arrivals_ = 0; // servers that it may reach; 0: any
    std::uint32_t arrivals_ = 0;      // servers that it reached
    std::uint32_t refused_tries_ = 0; // that reached no server
    std::string suspect_;   // fingerprint by which crashes are attributed
    std::string duplicate_; // key under which resends join; may be empty
    std::optional<call_number> parent_; // run that made this call
    instant since_;
    instant deadline_;
    std::size_t next_filter_ = 0; // where the call goes on after waiting
    std::uint32_t retries_left_ = 0;
    std::uint32_t attempts_ = 0;
    std::uint32_t losses_ = 0; // attempts that may have run
    std::vector<server_key> tried_;
    std::optional<held_claim> claim_;
    std::optional<forwarded> forward_;
    std::optional<call_number> asked_outcome_; // number of outcome_request
    std::optional<instant> wake_; // when to go on waiting is looked at again
    auto operator<=>(entry_call const&) const = default;
};

// --- Rate tokens
// --------------------------------------------------------------------

struct held_grant
{
    std::uint64_t grant_ = 0;
    std::int64_t remaining_ = 0;
    instant ends_;
    bool changed_ = false; // since it was last reported
    auto operator<=>(held_grant const&) const = default;
};

// A call that waits for a token.
struct token_wait_entry
{
    call_number number_ = 0;
    rank route_rank_ = lowest_rank;
    auto operator<=>(token_wait_entry const&) const = default;
};

// Tokens of one account at this daemon.
struct holding
{
    std::vector<held_grant> grants_;
    std::vector<token_wait_entry> waiting_; // oldest first
    std::uint64_t asked_ = 0;               // number of the request in progress
    instant asked_at_;
    std::int64_t asked_waiting_ = 0;
    instant last_call_;
    rank asked_rank_ = lowest_rank; // of the most important call asked for
    instant ask_again_; // not before, for calls of that rank or less important
    bool allocated_ = false; // an allocator gave the last answer
    // Calls in the current and the last prefetch window, as demand.
    instant window_ends_;
    std::int64_t window_calls_ = 0;
    std::int64_t last_window_calls_ = 0;
    auto operator<=>(holding const&) const = default;
};

// An account of a shared rate at this daemon.
struct rate_use
{
    double tokens_ = 0; // for when no control host answers
    instant as_of_;
    double demand_ = 0; // requests a second, a moving average
    instant demand_as_of_;
    auto operator<=>(rate_use const&) const = default;
};

// --- Routing
// -------------------------------------------------------------------------

// What this daemon learnt of a backend server from its own calls.
struct evidence
{
    std::uint32_t in_flight_ = 0; // of this daemon
    std::uint32_t in_use_ = 0;    // at the gate, as last told
    std::uint32_t limit_ = 0;     // of the gate, as last told; 0: unknown
    instant told_;                // when in_use_ and limit_ were told
    duration latency_{0};         // moving average
    rank admitted_ = lowest_rank;
    instant admitted_until_;
    std::uint32_t failures_ = 0; // in a row
    instant answered_;           // last answer to a call of this daemon
    instant set_aside_until_;
    std::uint32_t set_asides_ = 0; // in a row
    instant known_since_;
    auto operator<=>(evidence const&) const = default;
};

// --- Gate
// ------------------------------------------------------------------------------

// A run at a backend server, or queued for it.
struct gate_run
{
    call_number number_ = 0; // of the run
    host_name entry_;
    call_number forward_ = 0; // number at the entry
    std::string server_id_;
    call_context context_;
    std::string suspect_;
    request request_; // emptied once the run has started
    std::string ticket_;
    instant since_;
    instant started_;
    instant deadline_;
    std::uint32_t retries_left_ = 0;
    std::uint32_t calls_in_progress_ = 0; // made by the run
    instant calling_since_;
    duration called_{0}; // time with a call of its own in progress
    bool call_failed_ = false;
    bool running_ = false;
    bool cancelled_ = false;
    auto operator<=>(gate_run const&) const = default;
};

// A backend server beside this daemon.
struct local_server
{
    announcement announcement_;
    instant heard_;
    instant first_heard_;
    limiter limiter_;
    std::set<call_number> running_;
    std::vector<call_number> queued_;       // oldest first
    rank admitted_ = lowest_rank;           // least important rank admitted
    instant window_ends_;                   // of the threshold
    bool shed_ = false;                     // in this window
    std::map<account_name, double> served_; // recent starts, decaying
    instant served_as_of_;
    // Requests whose connection to the server broke lately, by fingerprint.
    std::deque<std::pair<instant, std::string>> broken_;
    bool probing_ = false;
    auto operator<=>(local_server const&) const = default;
};

// --- Control hosts
// -----------------------------------------------------------------------

struct control_link
{
    std::vector<host_name> hosts_; // in order of preference
    std::size_t preferred_ = 0;    // how many of hosts_ are nearest
    std::size_t current_ = 0;      // index into hosts_
    instant changed_;              // when current_ last changed
    instant renewal_due_;
    instant answered_; // last answer of the current control host
    host_name leader_;
    std::uint64_t membership_version_ = 0;
    std::int64_t renewal_stamp_ = 0; // of the last renewal
    auto operator<=>(control_link const&) const = default;
};

// Verdict of a request that may not be repeated, kept for resends.
struct recent_verdict
{
    verdict verdict_;
    std::string body_hash_;
    instant until_;
    auto operator<=>(recent_verdict const&) const = default;
};

// Retries that are left to a request id which its caller may send again.
struct root_budget
{
    std::uint32_t retries_left_ = 0;
    instant until_;
    auto operator<=>(root_budget const&) const = default;
};

// --- Counters
// -----------------------------------------------------------------------------

template <class Reason>
using reason_counters =
    std::array<std::uint64_t, static_cast<std::size_t>(Reason::last_) + 1>;

struct counters
{
    std::uint64_t requests_ = 0;
    std::uint64_t ran_ = 0;
    std::uint64_t joined_ = 0; // resends that joined a call in progress
    std::uint64_t runs_ = 0;   // started at backend servers here
    reason_counters<refusal_reason> refusals_{};
    reason_counters<indeterminate_reason> doubts_{};
    reason_counters<retry_reason> retries_{};
    auto operator<=>(counters const&) const = default;
};

// --- The node
// --------------------------------------------------------------------------------

struct state
{
    settings settings_;
    random_source random_;
    std::uint64_t incarnation_ = 0;
    call_number last_number_ = 0;
    configuration configuration_;
    control_link control_;
    bool was_fresh_ = false; // when it was last looked at
    std::map<service_name, std::vector<backend_server>> servers_;
    std::set<service_name> wanted_;
    std::map<server_key, evidence> evidence_;
    std::map<std::string, local_server> locals_; // by server id
    std::map<call_number, entry_call> calls_;
    std::map<call_number, call_number> forwards_; // forward -> call
    std::set<std::pair<instant, call_number>> call_due_;
    std::map<std::uint64_t, call_number> callers_; // http number -> call
    std::map<std::string, call_number> duplicates_;
    std::map<claim_id, call_number> claims_; // claims of calls in progress
    std::map<account_name, holding> holdings_;
    std::map<account_name, rate_use> uses_;
    std::int64_t daemons_ = 0; // in the fleet, as last told; 0: unknown
    std::map<account_name, double> retry_credits_;
    std::map<service_name, retry_budget> retry_budgets_;
    std::uint64_t own_calls_ = 0; // that the server beside this daemon made
    std::map<claim_id, recent_verdict> recent_;
    std::deque<claim_id> recent_order_;
    std::size_t recent_bytes_ = 0;
    std::map<std::string, root_budget> roots_;
    std::deque<std::pair<instant, std::string>> roots_order_;
    std::map<claim_id, held_claim> releases_; // not yet confirmed
    instant releases_due_;
    std::map<call_number, gate_run> runs_;
    std::map<std::pair<host_name, call_number>, call_number> run_of_forward_;
    std::set<std::pair<instant, call_number>> run_due_;
    std::map<std::string, call_number> tickets_;
    std::optional<instant> stopping_; // since
    bool stopped_ = false;
    counters counters_;
    auto operator<=>(state const&) const = default;
};

} // namespace jackdawhall::calls
