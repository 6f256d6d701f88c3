// Inputs and effects of a call node. Those common to all nodes, such as
// received and send, are declared in the model.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

// Identifies a call or a run. Numbering starts at a random value each time a
// daemon starts, so that a late answer does not match a call made after a
// restart.
using call_number = std::uint64_t;

// --- Inputs -----------------------------------------------------------------

// A request arrived over HTTP. The front end assigns `number_`.
struct caller_request
{
    std::uint64_t number_ = 0;
    request request_;
    auto operator<=>(caller_request const&) const = default;
};
// The caller's connection broke before it was answered: it has left.
struct caller_disconnected
{
    std::uint64_t number_ = 0;
    auto operator<=>(caller_disconnected const&) const = default;
};
// The caller sends nothing more. Either it has left, or it waits for its
// answer: both begin alike.
struct caller_finished
{
    std::uint64_t number_ = 0;
    auto operator<=>(caller_finished const&) const = default;
};
// No byte of a message was written to its peer.
struct message_not_sent
{
    outgoing outgoing_;
    // It took too much memory; the link with the peer goes on.
    bool withdrawn_ = false;
    auto operator<=>(message_not_sent const&) const = default;
};
// The daemon holds too much for others: what this node keeps, as held_bytes()
// counts it, is to fall to `bytes_`.
struct reduce_held_bytes
{
    std::size_t bytes_ = 0;
    auto operator<=>(reduce_held_bytes const&) const = default;
};
// The daemon holds too much for others: the request of this caller is to be
// given back, as far as its call can go on without.
struct give_back_request
{
    std::uint64_t number_ = 0;
    auto operator<=>(give_back_request const&) const = default;
};
// One of the links with a host ended. What was written to it may not have
// arrived; the host and its other links may be sound.
struct link_lost
{
    host_name host_;
    // Newest forward written to this link; 0: none.
    call_number newest_written_ = 0;
    auto operator<=>(link_lost const&) const = default;
};

// Outcome of a run at a backend server.
struct answered
{
    answer answer_; // its length was checked, so it is complete
    auto operator<=>(answered const&) const = default;
};
struct not_connected // no byte was sent
{
    bool server_failed_ = true; // false: abandoned before connecting
    auto operator<=>(not_connected const&) const = default;
};
struct connection_broken // after the first byte of the request was sent
{
    indeterminate_reason reason_ = indeterminate_reason::connection_lost;
    auto operator<=>(connection_broken const&) const = default;
};
struct backend_refused // the server reports that it did not run the request
{
    refusal_reason reason_ = refusal_reason::refused_by_server;
    auto operator<=>(backend_refused const&) const = default;
};
using backend_outcome =
    std::variant<answered, not_connected, connection_broken, backend_refused>;

struct run_finished
{
    call_number run_ = 0;
    backend_outcome outcome_;
    auto operator<=>(run_finished const&) const = default;
};

// Periodic announcement from a backend server on this daemon's host.
struct announcement
{
    std::string id_;
    service_name service_;
    endpoint address_;
    std::uint32_t slots_ = 1;
    std::uint32_t connections_ = 1;
    server_state state_ = server_state::ready;
    std::vector<service_name> calls_; // services that it calls
    // The server's start time by its own clock and a sequence number, which
    // together order the announcements of one server. 0: not given.
    std::int64_t started_ = 0;
    std::int64_t sequence_ = 0;
    auto operator<=>(announcement const&) const = default;
};
// A backend server is shutting down; runs in progress on it may finish.
struct server_deregistered
{
    std::string server_id_;
    // Start time of the process that leaves, as in its announcements. 0: not
    // given.
    std::int64_t started_ = 0;
    auto operator<=>(server_deregistered const&) const = default;
};
// A server that leaves waits for the acknowledgement of what it said last: that
// it is draining, or its deregistration. answer_departure follows.
struct departure_awaited
{
    std::uint64_t number_ = 0; // assigned by the front end
    std::string server_id_;
    auto operator<=>(departure_awaited const&) const = default;
};
// Result of probe_server: whether the server accepts connections.
struct probe_result
{
    std::string server_id_;
    bool alive_ = false;
    auto operator<=>(probe_result const&) const = default;
};
struct stop_requested
{
    auto operator<=>(stop_requested const&) const = default;
};

// The list of control hosts in the settings changed.
struct control_hosts_changed
{
    std::vector<host_name> hosts_;
    auto operator<=>(control_hosts_changed const&) const = default;
};

using input = std::variant<
    received, timer_expired, caller_request, caller_disconnected,
    caller_finished, message_not_sent, link_lost, run_finished, announcement,
    server_deregistered, departure_awaited, probe_result, stop_requested,
    control_hosts_changed, reduce_held_bytes, give_back_request>;

// --- Effects ----------------------------------------------------------------

// Answers a caller_request with the verdict of its call.
struct answer_caller
{
    std::uint64_t number_ = 0; // of the caller_request
    verdict verdict_;
    std::string root_; // request id of the root call, for the log and caller
    account_name account_; // empty: the call has no account
    service_name service_; // empty: no route was found
    std::string server_;   // of the last attempt; empty: none was made
    std::uint32_t attempts_ = 0;
    duration took_{0};
    auto operator<=>(answer_caller const&) const = default;
};
// Sends a request to a backend server. Exactly one run_finished follows.
struct run_on_backend
{
    call_number run_ = 0;
    std::string server_id_;
    endpoint address_;
    request request_;
    duration timeout_{0};
    account_name account_; // empty: the route needs no key
    service_name caller_;  // empty: unknown
    std::string root_;     // request id of the root call
    bool repeatable_ = false;
    auto operator<=>(run_on_backend const&) const = default;
};
// Closes the connection of a run; its run_finished still follows.
struct cancel_run
{
    call_number run_ = 0;
    auto operator<=>(cancel_run const&) const = default;
};
// Connects to a backend server; a probe_result follows.
struct probe_server
{
    std::string server_id_;
    endpoint address_;
    auto operator<=>(probe_server const&) const = default;
};
// The work that stop_requested found is finished or given up. What was
// answered must be delivered by the end of the drain period.
struct stopped
{
    instant drained_by_;
    auto operator<=>(stopped const&) const = default;
};

enum class departure_outcome : std::uint8_t
{
    recorded,   // no daemon gives the server work again, also after a restart
    unrecorded, // the control hosts did not record it in time
    last_ = unrecorded
};
// Answers a departure_awaited.
struct answer_departure
{
    std::uint64_t number_ = 0; // of the departure_awaited
    departure_outcome outcome_ = departure_outcome::unrecorded;
    auto operator<=>(answer_departure const&) const = default;
};

// Stages of a request whose durations are measured.
enum class stage
{
    link,       // at the entry: time of the forward less that at the gate
    gate_queue, // at the gate: time until the run starts
    server,     // at the gate: time until the backend server answers
    last_ = server
};
std::string_view to_text(stage s);

// Adds the time that a request spent in a stage to the stage's histogram.
struct observe_duration
{
    stage stage_ = stage::link;
    duration time_{0};
    auto operator<=>(observe_duration const&) const = default;
};

using effect = std::variant<
    send, log_message, observe_duration, answer_caller, run_on_backend,
    cancel_run, probe_server, answer_departure, stopped>;
using effects = std::vector<effect>;

} // namespace jackdawhall::calls
