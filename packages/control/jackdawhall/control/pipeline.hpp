// Entry point of a control host. Each input passes through the filters listed
// in pipeline.cpp, in that order, and produces effects for the front end.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <variant>

#include <jackdawhall/control/allocate_grants.hpp>
#include <jackdawhall/control/answered_requests.hpp>
#include <jackdawhall/control/apply_command.hpp>
#include <jackdawhall/control/consensus.hpp>
#include <jackdawhall/control/distribute_configuration.hpp>
#include <jackdawhall/control/effect.hpp>
#include <jackdawhall/control/lend_shares.hpp>
#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/control/track_membership.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// --- Inputs -----------------------------------------------------------------

// All stores up to number_ are synced to disk.
struct stores_synced
{
    store_number number_ = 0;
    auto operator<=>(stores_synced const&) const = default;
};
// A change that an operator submitted to this host.
struct operator_change
{
    std::uint64_t number_ = 0;
    change change_;
    auto operator<=>(operator_change const&) const = default;
};
// A document that an operator submitted to this host.
struct operator_document
{
    std::uint64_t number_ = 0;
    document document_;
    auto operator<=>(operator_document const&) const = default;
};

// One of the links with a host ended: what was sent over it may be lost, and so
// may the host's answers. The host and its other links may be sound.
struct link_lost
{
    host_name host_;
    auto operator<=>(link_lost const&) const = default;
};

// No link took a message, so that it was not sent whole. The front end reports
// those for which is_operator_request() holds.
struct message_not_sent
{
    outgoing outgoing_;
    auto operator<=>(message_not_sent const&) const = default;
};

using input = std::variant<
    received, timer_expired, stores_synced, operator_change, operator_document,
    link_lost, message_not_sent>;

// --- State ------------------------------------------------------------------

// A request that this host forwarded to the leader, and how.
struct forwarded_request
{
    host_name leader_;
    std::uint64_t number_ = 0;
    term_number term_ = 0; // in which it was sent first, as known here
    std::variant<change_request, document_request> request_;
    bool sent_again_ = false;
    auto operator<=>(forwarded_request const&) const = default;
};

// Client waiting for the outcome of an operation: another control host, or this
// host's operator if host_ is empty.
struct operation_waiter
{
    std::optional<host_name> host_;
    std::uint64_t number_ = 0; // given by the requester
    instant since_;
    std::optional<forwarded_request> forwarded_ = std::nullopt;
    auto operator<=>(operation_waiter const&) const = default;
};

// Crashes of backend servers that ran a given request, as counted by the leader
// beside those that its record shows. Each is named by the fingerprint of the
// process that crashed, so that a repeated report counts once.
struct crash_count
{
    std::set<std::string> processes_;
    // Of crashes after which the request ran to a good end elsewhere.
    std::set<std::string> cleared_;
    instant last_crash_;
    std::string pending_operation_; // operation that records it; empty if none
    auto operator<=>(crash_count const&) const = default;
};

struct state
{
    consensus_state consensus_;
    state_machine machine_;
    distribution distribution_;
    membership membership_;
    grant_allocator allocator_;
    share_ledger shares_;
    // Since when a majority has been in contact without a pause.
    std::optional<instant> contact_since_;
    rate_tolerance tolerance_;
    std::multimap<std::string, operation_waiter> waiters_; // by operation id
    // Number of the last request forwarded to a leader. It starts at the
    // incarnation, so that a response to an earlier run of this host, which the
    // leader may send late, matches no request of this one.
    std::uint64_t last_forward_ = 0;
    answered_requests answered_;
    std::map<std::string, crash_count> crashes_; // by fingerprint
    instant departures_due_; // when expired departures are removed next
    auto operator<=>(state const&) const = default;
};

struct node_options
{
    location location_;
    rate_tolerance tolerance_;
    auto operator<=>(node_options const&) const = default;
};

// After this time without an outcome, the waiter is sent unknown_outcome.
inline constexpr duration operation_timeout = std::chrono::seconds(5);
// A crash count expires this long after its last crash, and a suspect's record
// this long after it was last written.
inline constexpr std::chrono::milliseconds suspect_lifetime =
    std::chrono::minutes(10);

// A departure is kept for longer than anything its server said before may be
// on its way.
inline constexpr std::chrono::milliseconds departure_lifetime =
    std::chrono::minutes(10);

state make_state(
    consensus_settings settings, recovered_state disk, random_source random,
    instant now, node_options const& options = {});

// --- Pipeline ---------------------------------------------------------------

using node_step = step<state, effect>;

node_step run(state s, input in, clock_reading at);

// Earliest instant at which timer_expired has work to do.
instant next_due(state const& s);

// Number of changes and documents whose outcome somebody waits for.
std::size_t changes_in_progress(state const& s);

// The part of an account's shared rate that this host may grant.
host_share
current_host_share(state const& s, account_name const& account, instant now);
// The same, were `shares` what the host has lent.
host_share current_host_share(
    state const& s, share_ledger const& shares, account_name const& account,
    instant now);

// Whether the message carries a change or document to the leader.
bool is_operator_request(message const& m);

// --- Without a node ---------------------------------------------------------

// Reports of a node that ends, because its disk failed, to all that wait for
// the outcome of a change: it is unknown.
effects abandon_changes(state const& s);

// Answer to a message for the control node of a host that runs none now; empty
// if the sender waits for no answer.
std::optional<outgoing> answer_without_node(message const& m);

} // namespace jackdawhall::control
