// What passes through the filters of a call node, and the filters themselves.
// Not for users of the package.
#pragma once

#include <jackdawhall/calls/pipeline.hpp>

namespace jackdawhall::calls
{

// A call on its way through the filters of the entry.
struct pipeline_context
{
    owned<state> state_;
    entry_call call_;
    flow flow_ = going{};
    effects effects_;
    present at_;
};

// The node between calls: its state, and what was decided so far.
struct working_state
{
    owned<state> state_;
    effects effects_;
    present at_;
};

// --- Entry, downwards: each filter passes the call on, makes it wait, or
// finishes it with a verdict.

// Bounds the request's method, path, headers and body.
pipeline_context validate_request(pipeline_context p);
// Takes the context of the run that made this call, by its ticket.
pipeline_context accept_ticket(pipeline_context p);
// Finds the route, and with it the service and the rank.
pipeline_context find_call_route(pipeline_context p);
// Refuses calls on routes that need a key without a fresh configuration.
pipeline_context check_configuration_freshness(pipeline_context p);
// Finds the client account of the key.
pipeline_context authenticate(pipeline_context p);
// Bounds the time left for the call.
pipeline_context set_deadline(pipeline_context p);
// Asks a request that may not be repeated for a usable idempotency key.
pipeline_context check_idempotency_key(pipeline_context p);
// Lets a resend join its first request, and counts it as a retry.
pipeline_context join_duplicate(pipeline_context p);
// Refuses requests that crashed backend servers.
pipeline_context check_quarantine(pipeline_context p);
// Takes a token of the account's rate.
pipeline_context take_token(pipeline_context p);
// Takes the claim for a request that may not be repeated.
pipeline_context take_claim(pipeline_context p);
// Chooses a backend server.
pipeline_context choose_server(pipeline_context p);
// Forwards the call to the gate of its server.
pipeline_context send_forward(pipeline_context p);

// --- Entry, upwards.

// Learns from a gate's answer about its server.
working_state record_server_outcome(
    working_state w, forwarded const& f, forward_answer const& a);
// Earns a part of a retry for a first try.
void earn_retry_credit(state& s, entry_call const& c, instant now);
// Says whether a try that ended in `v` may have arrived at a backend server.
bool may_have_reached_server(verdict const& v);
// Takes the retry after `v` from what the call, its account or all may spend.
entry_call charge_retry(state& s, entry_call c, verdict const& v);
// Says why the call should be tried again after `v`; nothing if it should not.
std::optional<retry_reason> decide_retry(
    state const& s, entry_call const& c, verdict const& v, bool shed,
    instant now);
// Gives the retries left to a call back to the run that made it.
void return_unused_retries(
    state& s, entry_call const& c, bool failed, instant now);
// Ends a call: settles its claim, and answers all who wait for it.
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
take_renewal_answer(working_state w, host_name const& from, renewal_answer a);
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

// Runs the call through the filters from where it stands.
working_state run_filters(working_state w, entry_call c);
// Goes on with a call that waited.
working_state resume_call(working_state w, call_number call);

pipeline_context
refuse(pipeline_context p, refusal_reason reason, duration retry_after = {});
pipeline_context doubt(pipeline_context p, doubt_reason reason);

// Host that a request names, in lower case and without a port.
std::string virtual_host_of(request const& r);

// Rank of work that has not begun.
rank rank_of_new_work(rank r);

// Host of the leader of the control hosts; the current control host if the
// leader is unknown.
host_name leader_host(state const& s);

call_number next_number(state& s);

server_key key_of(backend_server const& server);

// Adds a call to those whose deadline or wake-up is watched.
void schedule_timer(state& s, entry_call const& c);
void cancel_timer(state& s, entry_call const& c);

void send_message(working_state& w, host_name const& to, message m);

// Whole milliseconds, for a log line.
std::string milliseconds_text(duration d);

} // namespace jackdawhall::calls
