// Filters of a call node and the values that they take and return. Internal to
// the package.
#pragma once

#include <jackdawhall/calls/pipeline.hpp>

namespace jackdawhall::calls
{

// A call in the filters of the entry, with the node that handles it.
struct pipeline_context
{
    indirect<state> state_;
    entry_call call_;
    flow flow_ = going{};
    effects effects_;
    clock_reading at_;
};

// A node that handles an input: its state, and the effects produced so far.
struct working_state
{
    indirect<state> state_;
    effects effects_;
    clock_reading at_;
};

// --- Entry, filters of a request. Each one passes the call on, makes it wait,
// or finishes it with a verdict.

// Checks the method and path, and the sizes of path, headers and body. Refuses
// new calls when the daemon is stopping or has too many in progress.
pipeline_context validate_request(pipeline_context p);
// Inherits the context of the run that made this call, which the request's
// ticket identifies. A call without a ticket becomes a root call.
pipeline_context accept_ticket(pipeline_context p);
// Finds the route, which gives the service and the rank of the call.
pipeline_context find_call_route(pipeline_context p);
// Refuses root calls on routes that need a key while the configuration is not
// fresh.
pipeline_context check_configuration_freshness(pipeline_context p);
// Finds the client account that the request's key belongs to.
pipeline_context authenticate(pipeline_context p);
// Shortens the deadline of the call to the timeout that the request gives.
pipeline_context set_deadline(pipeline_context p);
// Requires a valid idempotency key of requests that must run at most once.
pipeline_context check_idempotency_key(pipeline_context p);
// Joins a resent request to the original one if that is still in progress;
// otherwise charges the resend to the retry budget of its root.
pipeline_context join_duplicate(pipeline_context p);
// Refuses requests that are quarantined for crashing backend servers.
pipeline_context check_quarantine(pipeline_context p);
// Takes a token from the rate limit of the account.
pipeline_context take_token(pipeline_context p);
// Obtains the claim that a request must hold to run at most once.
pipeline_context take_claim(pipeline_context p);
// Selects a backend server.
pipeline_context choose_server(pipeline_context p);
// Forwards the call to the gate of the selected server.
pipeline_context send_forward(pipeline_context p);

// --- Entry, answers.

// Updates what the entry knows of a server from a gate's answer: its latency,
// load and failures.
working_state record_server_outcome(
    working_state w, forwarded const& f, forward_response const& a);
// Adds the fraction of a retry that a first attempt earns to the retry budget.
void earn_retry_credit(state& s, entry_call const& c, instant now);
// Returns whether an attempt that ended in `v` may have reached a backend
// server.
bool may_have_reached_server(verdict const& v);
// Charges the retry after `v` to the budgets of the call and its account, or to
// that of the service if the route limits the attempts.
entry_call charge_retry(state& s, entry_call c, verdict const& v);
// Returns the reason to retry the call after `v`, or nothing if it is not to be
// retried.
std::optional<retry_reason> decide_retry(
    state const& s, entry_call const& c, verdict const& v, bool shed,
    instant now);
// Returns the retries that a call did not use to the run that made it, and
// tells that run whether the call failed.
void return_unused_retries(
    state& s, entry_call const& c, bool failed, instant now);
// Ends a call: settles its claim, returns its unused retries, and answers all
// who wait for it.
working_state finish_call(working_state w, entry_call c, verdict v);

// --- Gate.

// Takes a forward: queues it, or refuses it.
working_state admit(working_state w, host_name const& entry, forward const& f);
// Starts queued runs as far as the server's limit allows.
working_state start_runs(working_state w, std::string const& server_id);
// Lets the memory of the accounts served lately fade.
void decay_served(local_server& server, instant now);
// The queued call that runs next; nothing if none may run now.
std::optional<call_number>
next_to_run(working_state const& w, local_server const& server);
// The queued call that matters least; there must be one.
call_number last_to_run(working_state const& w, local_server const& server);
// Takes the outcome of a run.
working_state finish_run(working_state w, run_finished const& done);
// Takes the outcome of a probe; a dead server's requests are suspects.
working_state take_probe(working_state w, probe_result const& p);
// Forgets a backend server, and refuses what is queued for it.
working_state
drop_server(working_state w, std::string const& server_id, refusal_reason why);
// Drops a forward whose entry cancelled it.
working_state
cancel(working_state w, host_name const& entry, call_number forward);
// Refuses what is queued past its deadline, and cancels such runs.
working_state expire_runs(working_state w);

// --- Shared state.

working_state take_announcement(working_state w, announcement const& a);
working_state expire_announcements(working_state w);
// Subscribes to the servers of a service.
void want_service(state& s, service_name const& service, instant now);
// Renews the freshness lease when due, and changes to another control host
// when the current one is silent or isolated.
working_state renew(working_state w);
// Takes a change of configuration.
working_state take_update(working_state w, configuration_update const& u);
// Notes when the freshness lease has ended, or is there again.
working_state watch_lease(working_state w);
working_state
take_renewal_answer(working_state w, host_name const& from, renewal_response a);
// A server that ends gets no new work; what it runs may finish.
working_state end_server(working_state w, server_deregistered const& gone);
// Takes other control hosts from the settings.
working_state
name_control_hosts(working_state w, control_hosts_changed const& named);
// What this daemon's accounts asked for lately.
std::vector<account_demand> recent_demand(state const& s, instant now);
bool has_shared_rate(state const& s, account_name const& name);
void count_shared_demand(state& s, account_name const& name, instant now);
// Spends of what this daemon may use without a control host; false if nothing
// is left.
bool spend_own_part(state& s, account_name const& name, instant now);
working_state take_grant(working_state w, grant_response const& r);
// Returns idle tokens and asks again for waiting calls.
working_state tend_tokens(working_state w);
// Takes a call off those that wait for a token.
void stop_waiting(holding& h, call_number number);
// Spends a token of the account; nothing if it holds none.
bool spend_token(working_state& w, account_name const& account);
working_state take_claim_response(working_state w, claim_response const& r);
working_state resend_claims(working_state w);
working_state answer_outcome(
    working_state w, outcome_request const& r, host_name const& from);

// --- Helpers.

// Runs the filters on the call, starting at `next_filter_`.
working_state run_filters(working_state w, entry_call c);
// Runs the filters on a call that waited, starting at the one it waited in.
working_state resume_call(working_state w, call_number call);

pipeline_context
refuse(pipeline_context p, refusal_reason reason, duration retry_after = {});
pipeline_context doubt(pipeline_context p, indeterminate_reason reason);

// Returns the Host header of a request, in lower case and without the port.
std::string virtual_host_of(request const& r);

// Returns the rank of work of rank `r` that has not started: one less important
// than that of work in progress, up to `lowest_rank`.
rank rank_of_new_work(rank r);

// Returns the leader of the control hosts, or the current control host if the
// leader is unknown.
host_name leader_host(state const& s);

call_number next_number(state& s);

server_key key_of(backend_server const& server);

// Schedules the call's wake-up or its deadline, whichever is earlier.
void schedule_timer(state& s, entry_call const& c);
void cancel_timer(state& s, entry_call const& c);

void send_message(working_state& w, host_name const& to, message m);

// Formats a duration in whole milliseconds for a log line.
std::string milliseconds_text(duration d);

} // namespace jackdawhall::calls
