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
#include <jackdawhall/calls/forward_memory.hpp>
#include <jackdawhall/calls/limiter.hpp>
#include <jackdawhall/calls/new_work_share.hpp>
#include <jackdawhall/calls/run_statistics.hpp>
#include <jackdawhall/calls/settings.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

// Retry budget of this daemon at one service.
struct retry_budget
{
    double available_ = 0; // in retries at a service that makes no calls
    instant updated_at_;
    // Whether the service makes nested calls, as last reported by its gates.
    bool makes_calls_ = true;
    auto operator<=>(retry_budget const&) const = default;
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
    bool finished_ = false; // it sends nothing more, and may have left
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

// A question for the outcome of a request to the daemon whose call of it holds
// the claim, not answered yet.
struct open_outcome_request
{
    call_number number_ = 0;
    host_name holder_;
    std::optional<instant> unsent_since_; // since when it could not be sent
    auto operator<=>(open_outcome_request const&) const = default;
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
    // Since when the gate was asked what became of the forward and has not
    // reported; nullopt: it was not asked, or has reported.
    std::optional<instant> unreported_since_;
    auto operator<=>(active_forward const&) const = default;
};

// A cancellation that may have been lost with its link.
struct sent_cancellation
{
    instant until_; // when it is forgotten
    host_name gate_;
    call_number forward_ = 0;
    auto operator<=>(sent_cancellation const&) const = default;
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
    bool body_given_back_ = false; // so that it can't be tried again
    std::vector<server_key> tried_servers_;
    std::optional<held_claim> claim_;
    std::optional<active_forward> forward_;
    // A forward whose gate did not report, open while the call is tried
    // elsewhere. Only of a call that may be repeated.
    std::optional<active_forward> earlier_forward_;
    std::optional<open_outcome_request> outcome_request_;
    // Next check of a waiting call. Of a call that is forwarded: when its gate
    // is asked again what became of it.
    std::optional<instant> wake_at_;
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
    // Of a shared rate: other control hosts asked since the current one had no
    // token, and the shortest time after which one of them will have.
    std::size_t others_asked_ = 0;
    duration shortest_retry_after_{0};
    instant others_empty_until_; // no other control host is asked before
    // Demand: calls in the current and the last prefetch window.
    instant window_ends_;
    std::int64_t window_calls_ = 0;
    std::int64_t last_window_calls_ = 0;
    auto operator<=>(token_pool const&) const = default;
};

// Use of one account with a shared rate at this daemon.
struct shared_rate_usage
{
    double lent_tokens_ = 0; // of the part that the control host lent
    instant lent_updated_at_;
    double standby_tokens_ = 0;
    instant standby_updated_at_;
    // Rounds the standby capacity up or down to whole tokens; 0 to 1.
    std::optional<double> standby_rounding_;
    std::uint64_t unlogged_tokens_ = 0; // spent since the last log line
    instant next_log_line_;
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
    instant avoided_until_; // by its gate's run statistics
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
    // The run counts as abandoned unless its entry asks for it before; nullopt:
    // the entry was not out of reach.
    std::optional<instant> abandoned_at_;
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
    // Whether an earlier process with the same id was known.
    bool restarted_ = false;
    limiter limiter_;
    new_work_share new_work_share_;
    run_statistics run_statistics_;
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
    // When the server last ran each request to a good end, by fingerprint.
    std::map<std::string, instant> completed_requests_;
    bool probing_ = false;
    // Whether the control hosts have recorded that it leaves.
    bool departure_recorded_ = false;
    auto operator<=>(local_server const&) const = default;
};

// A departure that the configuration does not hold yet, reported until it does.
struct pending_departure
{
    std::int64_t started_ = 0; // as in departure_v1
    std::int64_t sequence_ = 0;
    instant heard_at_;
    instant report_due_;
    auto operator<=>(pending_departure const&) const = default;
};

// A server that waits for the acknowledgement of its departure.
struct departure_waiter
{
    std::uint64_t number_ = 0; // of the departure_awaited
    std::string server_id_;
    instant until_;
    auto operator<=>(departure_waiter const&) const = default;
};

// A backend server whose process has ended, until the runs at it have finished:
// those that break off may have crashed it.
struct ended_server
{
    std::string server_id_;
    std::int64_t started_ = 0; // as in crash_report
    std::set<call_number> unfinished_;
    std::set<std::string> suspects_; // fingerprints of those that broke off
    instant report_due_;             // at the latest
    auto operator<=>(ended_server const&) const = default;
};

// A report of a crash, repeated until what it reports is in the configuration.
struct repeated_crash_report
{
    crash_report report_;
    // Crashes that the configuration held against each suspect before.
    std::map<std::string, std::int64_t> crashes_before_;
    instant made_at_;
    auto operator<=>(repeated_crash_report const&) const = default;
};

// --- Control hosts ----------------------------------------------------------

// What the daemon knows of a control host that it may switch to.
struct alternate_control_host
{
    instant next_request_at_;             // earliest, for a confirmation
    duration request_interval_{0};        // grows while the host is silent
    std::optional<instant> confirmed_at_; // its last answer from a recent state
    auto operator<=>(alternate_control_host const&) const = default;
};

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
    // When the current control host last answered, from whatever state.
    instant last_heard_at_;
    std::map<host_name, alternate_control_host> alternates_;
    host_name leader_;
    std::uint64_t membership_version_ = 0;
    std::uint64_t membership_incarnation_ = 0; // of the control host's run
    // Of the last renewal; 0: the next answer does not set membership_version_.
    std::int64_t renewal_stamp_ = 0;
    auto operator<=>(control_link const&) const = default;
};

// Parts of shared rates that a control host lent to this daemon, to be spent
// while no control host answers.
struct borrowed_shares
{
    host_name host_;            // the control host that lent them
    std::uint64_t lender_ = 0;  // its run
    std::int64_t stamp_ = 0;    // of the renewal that was answered
    instant starts_;            // spent from then on
    instant ends_;              // and not after this
    bool lender_ended_ = false; // its host answered from a later run
    std::map<account_name, std::int64_t> parts_; // in units of whole_rate
    // Stamp of the first renewal that showed them to another run.
    std::optional<std::int64_t> shown_since_;
    auto operator<=>(borrowed_shares const&) const = default;
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

// Where a token of a shared rate comes from.
enum class token_source : std::uint8_t
{
    granted, // by a control host
    lent,    // the part of the rate that a control host lent to the daemon
    standby, // the daemon's part of the tolerance
    last_ = standby
};

struct counters
{
    std::uint64_t requests_ = 0;
    std::uint64_t ran_ = 0;
    std::uint64_t joined_ = 0; // resends that joined a call in progress
    std::uint64_t runs_ = 0;   // started on local backend servers
    reason_counters<refusal_reason> refusals_{};
    reason_counters<indeterminate_reason> doubts_{};
    reason_counters<retry_reason> retries_{};
    reason_counters<token_source> tokens_{}; // of shared rates, spent
    auto operator<=>(counters const&) const = default;
};

// --- Node state -------------------------------------------------------------

struct state
{
    settings settings_;
    random_source random_;
    std::uint64_t incarnation_ = 0;
    instant started_at_;
    call_number last_number_ = 0;
    configuration configuration_;
    control_link control_;
    // Whether configuration_ was fresh at the last check.
    bool was_fresh_ = false;
    std::map<service_name, std::vector<backend_server>> servers_;
    std::set<service_name> wanted_; // whose server lists are requested
    std::map<server_key, server_stats> server_stats_;
    std::map<service_name, usual_run_time> usual_run_times_;
    std::map<std::string, local_server> local_servers_; // by server id
    std::map<std::string, pending_departure>
        pending_departures_;                         // by server id
    std::deque<departure_waiter> departure_waiters_; // oldest first
    // The newest announcement of each server that spoke before the departures
    // recorded for this host were known.
    std::map<std::string, announcement> held_announcements_;
    std::map<call_number, entry_call> calls_;
    std::map<call_number, call_number> call_of_forward_; // forward -> call
    std::deque<sent_cancellation> sent_cancellations_;   // oldest first
    // Next wake-up or deadline of each call.
    std::set<std::pair<instant, call_number>> call_due_;
    std::map<std::uint64_t, call_number> call_of_caller_; // http number -> call
    std::map<std::string, call_number> call_of_duplicate_key_;
    std::map<claim_id, call_number> claims_; // of calls in progress
    std::map<account_name, token_pool> token_pools_;
    std::map<account_name, shared_rate_usage> shared_rate_usage_;
    borrowed_shares borrowed_shares_;
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
    std::size_t queued_bytes_ = 0; // bodies of the runs that have not started
    std::map<std::pair<host_name, call_number>, call_number> run_of_forward_;
    std::deque<ended_server> ended_servers_;          // oldest first
    std::deque<repeated_crash_report> crash_reports_; // oldest first
    instant crash_reports_due_;
    // When the completion of each suspect was last reported, by fingerprint.
    std::map<std::string, instant> reported_completions_;
    forward_memory forward_memory_; // of forwards that were answered or refused
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
