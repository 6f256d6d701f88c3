// What passes through the filters of a call node, and the filters themselves.
// Not for users of the package.
#pragma once

#include <jackdawhall/calls/pipeline.hpp>

namespace jackdawhall::calls
{

// A call on its way through the filters of the entry.
struct passage
{
    indirect<state> state_;
    entry_call call_;
    flow flow_ = going{};
    effects effects_;
    clock_reading at_;
};

// The node between calls: its state, and what was decided so far.
struct work
{
    indirect<state> state_;
    effects effects_;
    clock_reading at_;
};

// --- Entry, downwards: each filter passes the call on, makes it wait, or
// finishes it with a verdict.

// Bounds the request's method, path, headers and body.
passage bound_request(passage p);
// Takes the context of the run that made this call, by its ticket.
passage accept_ticket(passage p);
// Finds the route, and with it the service and the rank.
passage find_call_route(passage p);
// Refuses calls on routes that need a key without a fresh configuration.
passage check_freshness(passage p);
// Finds the client account of the key.
passage authenticate(passage p);
// Bounds the time left for the call.
passage set_deadline(passage p);
// Asks a request that may not be repeated for a usable idempotency key.
passage check_idempotency_key(passage p);
// Lets a resend join its first request, and counts it as a retry.
passage join_duplicate(passage p);
// Refuses requests that crashed backend servers.
passage check_suspect(passage p);
// Takes a token of the account's rate.
passage take_token(passage p);
// Takes the claim for a request that may not be repeated.
passage take_claim(passage p);
// Chooses a backend server.
passage choose_server(passage p);
// Forwards the call to the gate of its server.
passage send_forward(passage p);

// --- Entry, upwards.

// Learns from a gate's answer about its server.
work learn(work w, forwarded const& f, forward_response const& a);
// Earns a part of a retry for a first try.
void earn_credit(state& s, entry_call const& c, instant now);
// Says whether a try that ended in `v` may have arrived at a backend server.
bool reached_server(verdict const& v);
// Takes the retry after `v` from what the call, its account or all may spend.
entry_call pay_for_retry(state& s, entry_call c, verdict const& v);
// Says why the call should be tried again after `v`; nothing if it should not.
std::optional<retry_reason> decide_retry(
    state const& s, entry_call const& c, verdict const& v, bool shed,
    instant now);
// Gives the retries left to a call back to the run that made it.
void give_back_retries(state& s, entry_call const& c, bool failed, instant now);
// Ends a call: settles its claim, and answers all who wait for it.
work finish_call(work w, entry_call c, verdict v);

// --- Gate.

// Takes a forward: queues it, or refuses it.
work admit(work w, host_name const& entry, forward const& f);
// Starts queued runs as far as the server's limit allows.
work start_runs(work w, std::string const& server_id);
// Lets the memory of the accounts served lately fade.
void decay_served(local_server& server, instant now);
// The queued call that runs next; nothing if none may run now.
std::optional<call_number>
next_to_run(work const& w, local_server const& server);
// The queued call that matters least; there must be one.
call_number last_to_run(work const& w, local_server const& server);
// Takes the outcome of a run.
work finish_run(work w, backend_done const& done);
// Takes the outcome of a probe; a dead server's requests are suspects.
work take_probe(work w, probed const& p);
// Forgets a backend server, and refuses what is queued for it.
work drop_server(work w, std::string const& server_id, refusal_reason why);
// Drops a forward whose entry cancelled it.
work cancel(work w, host_name const& entry, call_number forward);
// Refuses what is queued past its deadline, and cancels such runs.
work expire_runs(work w);

// --- Shared state.

work take_announcement(work w, announcement const& a);
work expire_announcements(work w);
// Subscribes to the servers of a service.
void want_service(state& s, service_name const& service, instant now);
// Renews the freshness lease when due, and changes to another control host
// when the current one is silent or isolated.
work renew(work w);
// Takes a change of configuration.
work take_update(work w, configuration_update const& u);
// Notes when the freshness lease has ended, or is there again.
work watch_lease(work w);
work take_renewal_answer(work w, host_name const& from, renewal_response a);
// A server that ends gets no new work; what it runs may finish.
work end_server(work w, server_gone const& gone);
// Takes other control hosts from the settings.
work name_control_hosts(work w, control_hosts_named const& named);
// What this daemon's accounts asked for lately.
std::vector<account_demand> recent_demand(state const& s, instant now);
bool has_shared_rate(state const& s, account_name const& name);
void count_shared_demand(state& s, account_name const& name, instant now);
// Spends of what this daemon may use without a control host; false if nothing
// is left.
bool spend_own_part(state& s, account_name const& name, instant now);
work take_grant(work w, grant_response const& r);
// Returns idle tokens and asks again for waiting calls.
work tend_tokens(work w);
// Takes a call off those that wait for a token.
void stop_waiting(holding& h, call_number number);
// Spends a token of the account; nothing if it holds none.
bool spend_token(work& w, account_name const& account);
work take_claim_response(work w, claim_response const& r);
work resend_claims(work w);
work answer_outcome(work w, outcome_request const& r, host_name const& from);

// --- Helpers.

// Runs the call through the filters from where it stands.
work advance(work w, entry_call c);
// Goes on with a call that waited.
work resume(work w, call_number call);

passage refuse(passage p, refusal_reason reason, duration retry_after = {});
passage doubt(passage p, indeterminate_reason reason);

// Host that a request names, in lower case and without a port.
std::string virtual_host_of(request const& r);

// Rank of work that has not begun.
rank below_begun_work(rank r);

// Host of the leader of the control hosts; the current control host if the
// leader is unknown.
host_name leader_host(state const& s);

call_number next_number(state& s);

server_key key_of(backend_server const& server);

// Adds a call to those whose deadline or wake-up is watched.
void watch(state& s, entry_call const& c);
void unwatch(state& s, entry_call const& c);

void tell(work& w, host_name const& to, message m);

// Whole milliseconds, for a log line.
std::string milliseconds_text(duration d);

} // namespace jackdawhall::calls
