// Filters of a call node and the values that they take and return. Internal to
// the package.
#pragma once

#include <jackdawhall/calls/pipeline.hpp>

namespace jackdawhall::calls
{

// What a filter takes and returns: a call, its progress, and the node that
// handles it.
struct pipeline_context
{
    indirect<state> state_;
    entry_call call_;
    call_progress progress_ = advancing{};
    effects effects_;
    clock_reading at_;
};

// A node while it handles an input: its state, and the effects produced so far.
// Taken and returned by the handlers of inputs.
struct working_state
{
    indirect<state> state_;
    effects effects_;
    clock_reading at_;
};

// --- Entry, filters of a request. Each one passes the call on, makes it wait,
// or finishes it with a verdict.

// Checks the method and path, and the sizes of path, headers and body. Refuses
// new calls when the daemon has too many in progress.
pipeline_context validate_request(pipeline_context p);
// Inherits the context of the run that made this call, which the request's
// ticket identifies. A call without a ticket becomes a root call.
pipeline_context accept_ticket(pipeline_context p);
// Finds the route, which gives the service and the rank of the call.
pipeline_context find_call_route(pipeline_context p);
// Refuses new calls once the accept period of a shutdown is over, but not those
// that runs in progress on this host may have made.
pipeline_context check_shutdown(pipeline_context p);
// Refuses root calls on routes that need an API key while the daemon holds no
// valid freshness lease on its configuration.
pipeline_context check_configuration_freshness(pipeline_context p);
// Sets the client account of a root call to the owner of its API key. A nested
// call keeps the account that it inherited and must have one. Open routes need
// no key.
pipeline_context authenticate(pipeline_context p);
// Shortens the deadline of the call to the timeout that the request gives.
pipeline_context set_deadline(pipeline_context p);
// Requires a valid idempotency key of requests that must run at most once.
pipeline_context check_idempotency_key(pipeline_context p);
// Joins a resent request to the original one if that is still in progress,
// answers it from the recent verdicts if the original has finished under the
// same claim, and otherwise charges the resend to the retry budget of its root.
pipeline_context join_duplicate(pipeline_context p);
// Refuses requests that are quarantined for crashing backend servers.
pipeline_context check_quarantine(pipeline_context p);
// Spends a rate token of the account, or waits for one.
pipeline_context take_token(pipeline_context p);
// Obtains the claim that a request must hold to run at most once.
pipeline_context take_claim(pipeline_context p);
// Selects a backend server, or waits until one is known.
pipeline_context choose_server(pipeline_context p);
// Forwards the call to the gate of the selected server.
pipeline_context send_forward(pipeline_context p);

// --- Entry, answers.

// Updates what the entry knows of a server from a gate's answer: its latency,
// load and failures.
working_state record_server_outcome(
    working_state w, active_forward const& f, forward_response const& a);
// Credits the retry budget of the account, or of the service if the route
// limits the attempts, with the fraction of a retry that a first attempt earns.
void earn_retry_credit(state& s, entry_call const& c, instant now);
// Returns whether an attempt that ended in `v` may have reached a backend
// server.
bool may_have_reached_server(verdict const& v);
// Charges the retry after `v` to the budgets of the call and its account, or to
// that of the service if the route limits the attempts.
entry_call charge_retry(state& s, entry_call c, verdict const& v);
// Returns the reason to retry the call after `v`, or nullopt if it is not to be
// retried.
std::optional<retry_reason> decide_retry(
    state const& s, entry_call const& c, verdict const& v, bool shed,
    instant now);
// Returns the retries that a call did not use to the run that made it, and
// tells that run whether the call failed.
void return_unused_retries(
    state& s, entry_call const& c, bool failed, instant now);
// Ends a forward by its answer: retries the call or finishes it.
working_state handle_forward_response(working_state w, forward_response a);
// Ends a forward that will get no answer and may have run.
working_state lose_forward(working_state w, call_number forward);
// Ends a forward that its gate will never run, through no fault of the server.
working_state withdraw_forward(working_state w, call_number forward);
// Retries a call, whose last forward ended in `v` or stays open: charges the
// retry and chooses a server.
working_state
retry_call(working_state w, entry_call c, retry_reason why, verdict const& v);
// Whether a server of the call's service is known behind another gate than that
// of its forward.
bool has_other_gate(state const& s, entry_call const& c);
// Tries a call elsewhere whose gate does not report. Its forward stays open.
working_state try_elsewhere(working_state w, call_number call);
// Ends a call that is no longer in state::calls_ and can't be retried. If an
// earlier forward of it is open, anything but the answer of a server that did
// not shed it makes the call wait for that forward again.
working_state
finish_or_wait_again(working_state w, entry_call c, forward_response a);
// Whether a forward is the earlier one of a call that is tried elsewhere.
bool is_earlier(state const& s, call_number forward);
// Ends such a forward: its answer finishes the call, and without one the call
// goes on with its other try.
working_state end_earlier(working_state w, forward_response a);
// Cancels the earlier forward of a call, if one is open.
void cancel_earlier(working_state& w, entry_call& c);
// Asks a gate, after a link with it ended, what became of the forwards that it
// has not answered.
working_state inquire_after_link_loss(working_state w, link_lost const& l);
working_state handle_forward_report(
    working_state w, host_name const& gate, forward_report const& r);
// Tries the calls of an inquiry elsewhere whose gate can't be reached, if they
// can be retried, and ends the forwards to a gate that has been out of reach
// for long.
working_state handle_inquiry_not_sent(
    working_state w, host_name const& gate, forward_inquiry const& asked);
// When a gate of a call that is forwarded is asked next for its forward;
// nullopt: all that were asked have reported.
std::optional<instant> next_inquiry(entry_call const& c, instant now);
// Asks the gates of a call's forwards again, or tries the call elsewhere if it
// can be retried and the gate has not reported in time.
working_state repeat_inquiry(working_state w, call_number call);
// Cancels a forward that is not waited for any more.
void cancel_at_gate(
    working_state& w, host_name const& gate, call_number forward);
// Gives recent cancellations again, after a link with their gate ended.
working_state cancel_again(working_state w, host_name const& gate);
// Ends a call that nobody waits for any more, unless its outcome must become
// known.
working_state
handle_caller_disconnected(working_state w, caller_disconnected const& left);
// The same for a caller that may still read: it is answered when its call ends.
working_state
handle_caller_finished(working_state w, caller_finished const& done);
// Finishes a call that is no longer in state::calls_: settles its claim,
// returns its unused retries, and answers all who wait for it.
working_state finish_call(working_state w, entry_call c, verdict v);

// --- Gate.

// Queues a forwarded call or refuses it.
working_state admit_forward(
    working_state w, host_name const& entry, forward_request const& f);
// Starts queued runs up to the server's concurrency limit.
working_state start_runs(working_state w, std::string const& server_id);
// Decays the count of recent runs of each account.
void decay_recent_runs(local_server& server, instant now);
// Returns the queued run to start next, or nullopt if none may start now.
std::optional<call_number>
select_next_run(working_state const& w, local_server const& server);
// Returns the least important queued run. The queue must not be empty.
call_number
select_run_to_shed(working_state const& w, local_server const& server);
// Reports the outcome of a run to its entry and starts the next runs.
working_state finish_run(working_state w, run_finished done);
// Removes a server that failed its probe, and reports the requests that broke
// off shortly before as suspects.
working_state handle_probe_result(working_state w, probe_result const& p);
// Reports the requests that may have crashed a server: `suspects`, and the runs
// at it that break off within a moment.
void note_ended_server(
    working_state& w, local_server const& server,
    std::set<std::string> suspects);
// Whether a run that finished was at a server that had ended before. If so and
// it `broke` off, it may have crashed that server.
bool note_end_of_run(working_state& w, gate_run const& run, bool broke);
// Reports the crashes that are due, and keeps the reports.
working_state report_due_crashes(working_state w);
// When report_due_crashes has something to do; nullopt: it waits for nothing.
std::optional<instant> next_crash_report(state const& s);
// Notes that a server ran a request to a good end, which therefore crashes
// none; reports it if crashes are held against the request.
void note_completion(working_state& w, gate_run const& run, answer const& a);
// Whether the server ran the request to a good end a short time ago.
bool completed_lately(
    local_server const& server, std::string const& suspect, instant now);
// Removes a backend server and refuses the runs queued for it.
working_state remove_server(
    working_state w, std::string const& server_id, refusal_reason why);
// Removes the run of a cancelled forward from the queue, or cancels it if it
// has started and is repeatable.
working_state handle_cancellation(
    working_state w, host_name const& entry, call_number forward);
// Sets when a run counts as abandoned by its entry; nullopt: it does not.
void set_abandoned(state& s, gate_run& run, std::optional<instant> at);
// Tells an entry, after a link with it ended, which of its forwards are in
// progress or answered.
working_state report_after_link_loss(working_state w, host_name const& entry);
// Sends the answers that are kept, and reports on the other forwards.
working_state answer_inquiry(
    working_state w, host_name const& entry, forward_inquiry const& asked);
// Lets the runs of a report count as abandoned soon, since their entry can't be
// reached, unless it asks for them.
working_state handle_report_not_sent(
    working_state w, host_name const& entry, forward_report const& r);
// Refuses queued runs that are due, and cancels repeatable runs in progress
// that are past their deadline.
working_state expire_runs(working_state w);

// Drops the body of a caller's request if its call only waits for a gate, which
// is then its last try; refuses the call otherwise.
working_state give_back_body(working_state w, give_back_request const& asked);

// Drops kept answers, oldest first, and then refuses queued runs, the least
// important first, until the node holds `bytes` at most.
working_state reduce_held(working_state w, std::size_t bytes);

// --- Shared state.

working_state handle_announcement(working_state w, announcement const& a);
working_state expire_announcements(working_state w);

// Whether the configuration holds all departures that daemons on this host
// acknowledged before this one started. Until then a server that announces
// itself may have left.
bool are_departures_known(state const& s);
// Whether a server had said by then that it leaves, at the time of `a`.
bool is_departed(working_state const& w, announcement const& a);
// Keeps an announcement until the departures are known.
void hold_announcement(state& s, announcement const& a);
// Takes the announcements held, once the departures are known.
working_state take_held_announcements(working_state w);
// Reports the departure of a process to the control hosts, unless they have
// recorded it.
void note_departure(
    working_state& w, std::string const& server_id, std::int64_t started,
    std::int64_t sequence);
working_state
await_departure(working_state w, departure_awaited const& awaited);
// Answers the servers whose departures the configuration holds now.
working_state settle_departures(working_state w);
// Repeats the reports that are due, and answers the servers that have waited
// too long.
working_state maintain_departures(working_state w);
// When maintain_departures has something to do; nullopt: it waits for nothing.
std::optional<instant> next_departure_due(state const& s);

// Subscribes to the list of backend servers of a service.
void subscribe_to_service(state& s, service_name const& service, instant now);
// Sends a renewal of the freshness lease when due.
working_state send_renewal(working_state w);
working_state handle_confirmation_response(
    working_state w, host_name const& from, confirmation_response a);

working_state
handle_configuration_update(working_state w, configuration_update const& u);
// Logs when the freshness lease expires or is acquired again.
working_state track_lease(working_state w);
working_state renew_lease(working_state w, confirmation const& by);
working_state handle_renewal_response(
    working_state w, host_name const& from, renewal_response a);
// Marks a server that shuts down as draining: it gets no new runs, and its runs
// in progress may finish.
// A deregistration of an earlier process with its id is ignored.
working_state
handle_server_deregistered(working_state w, server_deregistered const& gone);
// Takes the control hosts of changed settings, and adds new ones to those in
// use.
working_state
set_control_hosts(working_state w, control_hosts_changed const& named);
// Returns the recent demand on each shared rate at this daemon, to be reported
// to the control host.
std::vector<account_demand> recent_demand(state const& s, instant now);
bool has_shared_rate(state const& s, account_name const& name);
// Counts a request towards the demand on a shared rate.
void count_shared_demand(state& s, account_name const& name, instant now);
// Spends a token of a shared rate without asking a control host, none of which
// answers: one that was lent, or one of the standby. Returns false if none is
// left.
bool spend_local_share(pipeline_context& p, account_name const& name);
// How long after the last answer to a renewal the daemon begins to spend what
// it was lent; its control host gives that up before.
duration contact_timeout(settings const& s);
// Notes in which run a control host answered: if it is the lender of what the
// daemon holds, in a later run, nobody else grants that any more.
void note_lender_run(
    state& s, host_name const& from, std::uint64_t run, instant now);
// Takes the shares that an answer lends, unless it comes from another run of a
// control host, which has not been shown those that are held.
void take_shares(
    state& s, host_name const& from, renewal_response const& a, instant now);
// Adds what the daemon holds to a renewal, once its lender has given it up or
// ended. A
// control host that has just started grants it in place of the daemon.
void show_shares(state& s, renewal_request& r, instant now);
void count_token(state& s, token_source from);
working_state handle_grant_response(working_state w, grant_response const& r);
// Returns the tokens of idle accounts to the leader of the control hosts, and
// repeats the grant requests that are due for waiting calls.
working_state maintain_tokens(working_state w);
// Removes a call from those that wait for a token of the pool.
void remove_waiting_call(token_pool& h, call_number number);
// Spends a token of the account, and requests or reports tokens when due.
// Returns false if the daemon holds no token of the account.
bool spend_token(working_state& w, account_name const& account);
working_state handle_claim_response(working_state w, claim_response const& r);
// Resends the claim releases that have not been confirmed.
working_state resend_claim_releases(working_state w);
// Asks a daemon again, after a link with it ended, for the outcomes that calls
// here wait for.
working_state ask_outcomes_again(working_state w, host_name const& holder);
// Ends a call that waited for the outcome of another run of its request.
working_state
handle_outcome_response(working_state w, outcome_response const& r);
// Lets a call whose question for an outcome was not sent ask again. It ends
// when the holder of the claim has been out of reach for long.
working_state
handle_outcome_request_not_sent(working_state w, outcome_request const& r);
// Answers a daemon that requests the outcome of a claimed request: at once, or
// when the call in progress here under that claim finishes. A question that is
// asked again is answered again.
working_state answer_outcome(
    working_state w, outcome_request const& r, host_name const& from);

// --- Shutdown.

// Begins a graceful shutdown, unless one has begun.
working_state begin_stop(working_state w);
// Completes the shutdown when the drain period is over, or earlier when no work
// and no claim release is left, the accept period is over, and one renewal
// interval has passed, within which the shutdown is announced to the control
// hosts.
working_state finish_stop(working_state w);
// When a node that is stopping gives up what is left.
instant drained_by(state const& s);
// When finish_stop has something to do at the latest, for a node that is
// stopping and gets no input.
instant stop_due(state const& s);

// --- Helpers.

// Runs the filters on the call, starting at `next_filter_`.
working_state run_filters(working_state w, entry_call c);
// Runs the filters on a call that waited, starting at the one it waited in.
working_state resume_call(working_state w, call_number call);

// Finishes the call as not run; finish_as_indeterminate, as possibly run.
pipeline_context
refuse(pipeline_context p, refusal_reason reason, duration retry_after = {});
pipeline_context
finish_as_indeterminate(pipeline_context p, indeterminate_reason reason);

// Whether a call in progress may have run: it was forwarded, an earlier try of
// it was lost, or another run of the request holds its claim.
bool possibly_ran(entry_call const& c);

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
