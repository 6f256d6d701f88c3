// Inputs and effects of a call node, besides those that every node has.
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

// Number of a call or a run. Numbers begin at random in each run of a daemon,
// so that a late answer never meets a later call.
using call_number = std::uint64_t;

// --- Inputs -----------------------------------------------------------------

// A request came in over HTTP. `number_` is the front end's own.
struct caller_request
{
    std::uint64_t number_ = 0;
    request request_;
    auto operator<=>(caller_request const&) const = default;
};
// The caller closed its connection before its answer.
struct caller_left
{
    std::uint64_t number_ = 0;
    auto operator<=>(caller_left const&) const = default;
};
// A message was not written to its peer, not even in part.
struct undelivered
{
    outgoing outgoing_;
    auto operator<=>(undelivered const&) const = default;
};
// The link to a peer broke after messages had been written.
struct peer_lost
{
    host_name host_;
    call_number newest_written_ = 0; // later forwards are not affected
    auto operator<=>(peer_lost const&) const = default;
};

// What a backend server did with a run.
struct answered
{
    answer answer_; // whole: its length was checked
    auto operator<=>(answered const&) const = default;
};
struct not_connected // no byte was sent
{
    bool server_failed_ = true; // false: given up before connecting
    auto operator<=>(not_connected const&) const = default;
};
struct broken // after the first byte was sent
{
    indeterminate_reason reason_ = indeterminate_reason::connection_lost;
    auto operator<=>(broken const&) const = default;
};
struct turned_away // the server says that it did not run the request
{
    refusal_reason reason_ = refusal_reason::refused_by_server;
    auto operator<=>(turned_away const&) const = default;
};
using backend_outcome =
    std::variant<answered, not_connected, broken, turned_away>;

struct backend_done
{
    call_number run_ = 0;
    backend_outcome outcome_;
    auto operator<=>(backend_done const&) const = default;
};

// A backend server beside this daemon announces itself; it repeats this.
struct announcement
{
    std::string id_;
    service_name service_;
    endpoint address_;
    std::uint32_t slots_ = 1;
    std::uint32_t connections_ = 1;
    server_state state_ = server_state::ready;
    std::vector<service_name> calls_; // services that it calls
    // Order of what one server says: when this run of it started, by its own
    // clock, and a count; 0: not told.
    std::int64_t started_ = 0;
    std::int64_t sequence_ = 0;
    auto operator<=>(announcement const&) const = default;
};
// A backend server says that it ends; what runs on it may finish.
struct server_gone
{
    std::string server_id_;
    auto operator<=>(server_gone const&) const = default;
};
// Whether a backend server still accepts connections.
struct probed
{
    std::string server_id_;
    bool alive_ = false;
    auto operator<=>(probed const&) const = default;
};
struct stop_requested
{
    auto operator<=>(stop_requested const&) const = default;
};

// The settings name other control hosts than before.
struct control_hosts_named
{
    std::vector<host_name> hosts_;
    auto operator<=>(control_hosts_named const&) const = default;
};

using input = std::variant<
    received, timer_expired, caller_request, caller_left, undelivered,
    peer_lost, backend_done, announcement, server_gone, probed, stop_requested,
    control_hosts_named>;

// --- Effects
// ------------------------------------------------------------------

struct answer_caller
{
    std::uint64_t number_ = 0; // the front end's own
    verdict verdict_;
    std::string root_;     // request id, for the log and the caller
    account_name account_; // empty: none
    service_name service_; // empty: no route was found
    std::string server_;   // tried last; empty: none
    std::uint32_t tries_ = 0;
    duration took_{0};
    auto operator<=>(answer_caller const&) const = default;
};
// Send a request to a backend server, and give backend_done once.
struct run_on_backend
{
    call_number run_ = 0;
    std::string server_id_;
    endpoint address_;
    request request_;
    duration timeout_{0};
    account_name account_; // empty: an open route
    service_name caller_;  // empty: unknown
    std::string root_;     // request id
    auto operator<=>(run_on_backend const&) const = default;
};
// Close the run's connection; backend_done still follows.
struct cancel_run
{
    call_number run_ = 0;
    auto operator<=>(cancel_run const&) const = default;
};
// Connect to a backend server, and give probed.
struct probe_server
{
    std::string server_id_;
    endpoint address_;
    auto operator<=>(probe_server const&) const = default;
};
// All work is finished after stop_requested.
struct stopped
{
    auto operator<=>(stopped const&) const = default;
};

// Stages of a request's way that are timed.
enum class stage
{
    link,       // at the entry: the forward, less the time at the gate
    gate_queue, // at the gate, until the run starts
    server,     // at the gate, until the backend server's answer
    last_ = server
};
std::string_view to_text(stage s);

// Effect: count how long a request was in a stage.
struct took
{
    stage stage_ = stage::link;
    duration time_{0};
    auto operator<=>(took const&) const = default;
};

using effect = std::variant<
    send, log_message, took, answer_caller, run_on_backend, cancel_run,
    probe_server, stopped>;
using effects = std::vector<effect>;

} // namespace jackdawhall::calls
