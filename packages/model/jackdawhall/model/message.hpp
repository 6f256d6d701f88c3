// Messages between daemons. Every message is a value; only package wire
// encodes and decodes it. A response repeats the `number_` of its request,
// where messages have one.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/model/forward_message.hpp>
#include <jackdawhall/model/log.hpp>
#include <jackdawhall/model/name.hpp>
#include <jackdawhall/model/rate.hpp>
#include <jackdawhall/model/record.hpp>
#include <jackdawhall/model/request.hpp>
#include <jackdawhall/model/server.hpp>
#include <jackdawhall/model/time.hpp>
#include <jackdawhall/model/verdict.hpp>

namespace jackdawhall
{

// --- Consensus ------------------------------------------------------------

struct vote_request
{
    term_number term_ = 0;
    voter candidate_;
    voter recipient_; // the voter that the candidate addresses
    log_index last_index_ = 0;
    term_number last_term_ = 0;
    bool pre_vote_ = false; // only asks whether it could win
    auto operator<=>(vote_request const&) const = default;
};
struct vote_response
{
    term_number term_ = 0;
    voter voter_;
    bool pre_vote_ = false;
    bool granted_ = false;
    auto operator<=>(vote_response const&) const = default;
};
struct append_request
{
    term_number term_ = 0;
    host_name leader_;
    log_index previous_index_ = 0;
    term_number previous_term_ = 0;
    std::vector<log_entry> entries_;
    log_index leader_commit_ = 0;
    std::int64_t leader_time_ = 0;  // time of sending by the leader's clock
    std::int64_t echoed_stamp_ = 0; // last stamp_ received from this follower
    std::uint64_t echoed_incarnation_ = 0; // incarnation_ sent with that stamp_
    duration majority_age_{0}; // time since a majority acknowledged this leader
    bool commit_in_current_term_ =
        false; // leader_commit_ covers an entry of this term
    auto operator<=>(append_request const&) const = default;
};
struct append_response
{
    term_number term_ = 0;
    voter voter_;
    bool success_ = false;
    // On success, the last entry known to match the leader's log; otherwise a
    // hint: the leader resumes after this entry.
    log_index match_index_ = 0;
    std::int64_t leader_time_ = 0;  // copied from the request
    std::int64_t stamp_ = 0;        // time of sending by the follower's clock
    std::uint64_t incarnation_ = 0; // differs for each run of the follower
    auto operator<=>(append_response const&) const = default;
};
struct install_snapshot
{
    term_number term_ = 0;
    host_name leader_;
    snapshot snapshot_;
    std::int64_t leader_time_ = 0;
    auto operator<=>(install_snapshot const&) const = default;
};
// Sent by a control host that is not a voter yet, or that hears from no leader
// and so may have been removed.
struct join_request
{
    voter voter_;
    bool log_empty_ = true; // the log has no entries
    auto operator<=>(join_request const&) const = default;
};

// Answers a join_request: control hosts that the joining host may not know.
struct control_host_list
{
    std::vector<host_name> hosts_;
    auto operator<=>(control_host_list const&) const = default;
};

// --- Configuration and membership -----------------------------------------

// Records changed after `from_`, up to `to_`.
struct configuration_update
{
    revision from_ = 0;
    revision to_ = 0;
    bool full_ = false; // replaces the whole configuration
    std::vector<record> records_;
    std::vector<removal> removals_;
    auto operator<=>(configuration_update const&) const = default;
};

// Recent request rate of an account at a daemon.
struct account_demand
{
    account_name account_;
    std::int64_t milli_rate_ = 0; // thousandths of a request per second
    auto operator<=>(account_demand const&) const = default;
};

// A control host that was seen recently, and its location.
struct located_host
{
    host_name host_;
    location location_;
    auto operator<=>(located_host const&) const = default;
};

// Sent by a daemon to renew its freshness lease and announce its backend
// servers.
struct renewal_request
{
    host_name host_;
    std::uint64_t incarnation_ = 0; // differs for each run of the daemon
    std::int64_t stamp_ = 0;        // time of sending by its clock
    revision known_revision_ = 0;
    std::uint32_t newest_schema_ = 1;
    location location_;
    std::vector<backend_server> servers_;
    std::vector<service_name> wanted_; // services that the daemon calls
    std::uint64_t membership_version_ = 0;
    std::vector<account_demand> demand_;
    // Run of the control host that membership_version_ counts in; 0: unknown.
    std::uint64_t membership_incarnation_ = 0;
    std::int64_t answered_stamp_ = 0; // of its last renewal that was answered
    // How long after an answer it begins to spend its local shares.
    duration contact_timeout_{0};
    // Shown to a run of a control host that did not lend them.
    std::vector<local_share> local_shares_;
    std::int64_t known_daemons_ = 0; // as it was told last; 0: just started
    auto operator<=>(renewal_request const&) const = default;
};

// A server among those of its service.
struct listed_server
{
    host_name host_;
    std::string id_;
    auto operator<=>(listed_server const&) const = default;
};

// All backend servers of a service, or those that changed since the version
// that the daemon named.
struct service_servers
{
    service_name service_;
    std::vector<backend_server> servers_;
    bool partial_ = false;
    std::vector<listed_server> removed_; // of a partial list
    auto operator<=>(service_servers const&) const = default;
};

// Sent by a daemon to the leader of the control hosts: a process of a backend
// server on its host leaves. Repeated until the configuration holds its record.
struct departure_report
{
    host_name host_;
    std::string server_id_;
    std::int64_t started_ = 0; // as in departure_v1
    std::int64_t sequence_ = 0;
    auto operator<=>(departure_report const&) const = default;
};

struct renewal_response
{
    std::uint64_t incarnation_ = 0; // echoed
    std::int64_t stamp_ = 0;        // echoed
    duration age_{0}; // upper bound on the age of the control host's state
    bool confirmed_ = false; // age_ is known
    configuration_update update_;
    host_name leader_; // empty: unknown
    std::uint64_t membership_version_ = 0;
    std::vector<service_servers> services_; // those that changed
    std::vector<located_host> control_hosts_;
    std::int64_t daemons_ = 0; // seen recently by all control hosts; 0: unknown
    std::uint64_t membership_incarnation_ = 0;
    std::vector<local_share> local_shares_; // lent to the daemon
    auto operator<=>(renewal_response const&) const = default;
};

// Sent by a daemon to the other control hosts while its own does not confirm
// the configuration. It neither attaches nor subscribes the daemon there.
struct confirmation_request
{
    host_name host_;
    std::uint64_t incarnation_ = 0; // of the daemon's run
    std::int64_t stamp_ = 0;        // time of sending by its clock
    revision known_revision_ = 0;
    auto operator<=>(confirmation_request const&) const = default;
};
struct confirmation_response
{
    std::uint64_t incarnation_ = 0; // echoed
    std::int64_t stamp_ = 0;        // echoed
    duration age_{0}; // upper bound on the age of the control host's state
    bool confirmed_ = false; // age_ is known
    configuration_update update_;
    std::uint64_t membership_incarnation_ = 0; // of the control host's run
    auto operator<=>(confirmation_response const&) const = default;
};

// A daemon that has taken the answer of its new control host to the renewal of
// this stamp, and so holds nothing that another host lent to it before.
struct served_daemon
{
    host_name host_;
    std::uint64_t incarnation_ = 0; // of the daemon's run
    std::int64_t stamp_ = 0;
    auto operator<=>(served_daemon const&) const = default;
};

// Sent by a control host to another: the backend servers of the daemons
// attached to the sender.
struct membership_report
{
    host_name origin_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t from_version_ = 0; // 0: full report
    std::uint64_t to_version_ = 0;
    std::vector<backend_server> present_;
    std::vector<std::pair<host_name, std::string>> removed_; // host, server id
    location location_;                       // of the control host
    std::int64_t daemons_ = 0;                // attached to it
    std::vector<account_demand> demand_;      // of the daemons attached to it
    std::vector<served_daemon> newly_served_; // since its last report
    auto operator<=>(membership_report const&) const = default;
};
struct membership_request
{
    host_name requester_;
    auto operator<=>(membership_request const&) const = default;
};

// --- Rate grants ------------------------------------------------------------

// Tokens that a holder has left of a grant.
struct grant_report
{
    std::uint64_t grant_ = 0;
    std::int64_t remaining_ = 0; // tokens
    bool closed_ = false;        // the remaining tokens are returned
    auto operator<=>(grant_report const&) const = default;
};
// Calls on routes of one rank that wait for a token.
struct ranked_calls
{
    rank rank_ = lowest_rank;
    std::int64_t count_ = 0;
    auto operator<=>(ranked_calls const&) const = default;
};
struct grant_request
{
    host_name host_;
    std::uint64_t incarnation_ = 0;
    account_name account_;
    std::uint64_t number_ = 0; // 0: reports only, requests no tokens
    std::int64_t waiting_ = 0; // calls that wait for a token
    std::int64_t wanted_ = 0;  // tokens for calls expected soon
    std::vector<ranked_calls> waiting_by_rank_;
    std::vector<grant_report> reports_;
    auto operator<=>(grant_request const&) const = default;
};
enum class grant_result : std::uint8_t
{
    granted,
    exhausted,   // the rate of the account is exhausted
    unavailable, // this host does not allocate grants at present
    last_ = unavailable
};
struct grant_response
{
    std::uint64_t incarnation_ = 0; // of the holder, echoed
    account_name account_;
    std::uint64_t number_ = 0;
    grant_result result_ = grant_result::unavailable;
    std::uint64_t grant_ = 0;
    std::int64_t tokens_ = 0;
    duration length_{0}; // counted from when the holder sent the request
    duration retry_after_{0};
    auto operator<=>(grant_response const&) const = default;
};

// --- Claims -----------------------------------------------------------------

struct claim_request
{
    claim_id id_;
    std::string body_hash_;
    std::string run_;
    host_name holder_;
    auto operator<=>(claim_request const&) const = default;
};
enum class claim_result : std::uint8_t
{
    granted,
    held,          // by another run; the request may have been executed
    body_mismatch, // the key was used with a different body
    expired,       // the key predates the retention period of the ledger
    too_new,       // the time in the key is in the future
    unavailable,   // no decision was made, or it is not known yet
    last_ = unavailable
};
struct claim_response
{
    claim_id id_;
    std::string run_;
    claim_result result_ = claim_result::unavailable;
    host_name holder_;    // of the claim in effect
    host_name requester_; // recipient of this response
    auto operator<=>(claim_response const&) const = default;
};
struct claim_release
{
    claim_id id_;
    std::string run_;
    host_name holder_;
    auto operator<=>(claim_release const&) const = default;
};
struct claim_released
{
    claim_id id_;
    std::string run_;
    host_name holder_;
    auto operator<=>(claim_released const&) const = default;
};

// Asks the holder of a claim for the outcome of the request.
struct outcome_request
{
    std::uint64_t number_ = 0;
    claim_id id_;
    auto operator<=>(outcome_request const&) const = default;
};
struct outcome_response
{
    std::uint64_t number_ = 0;
    verdict verdict_;
    auto operator<=>(outcome_response const&) const = default;
};

// --- Operators --------------------------------------------------------------

// A change forwarded to the leader.
struct change_request
{
    std::uint64_t number_ = 0;
    host_name requester_;
    change change_;
    auto operator<=>(change_request const&) const = default;
};
struct change_response
{
    std::uint64_t number_ = 0;
    change_outcome outcome_;
    std::string operation_; // id of the operation that has this outcome;
                            // empty: sent by a build that does not name it
    auto operator<=>(change_response const&) const = default;
};

// A document forwarded to the leader; answered by change_response.
struct document_request
{
    std::uint64_t number_ = 0;
    host_name requester_;
    document document_;
    auto operator<=>(document_request const&) const = default;
};

// The same document, sent again because a link with the leader ended. A host
// that leads another term than the one in which it was sent first cannot tell
// whether it is in the log already, and proposes it no second time.
struct resent_document
{
    std::uint64_t first_sent_in_ = 0; // term, as the requester knew it
    document_request request_;
    auto operator<=>(resent_document const&) const = default;
};

// The wire encoding numbers the alternatives by position: append new ones.
using message = std::variant<
    vote_request, vote_response, append_request, append_response,
    install_snapshot, join_request, renewal_request, renewal_response,
    configuration_update, membership_report, membership_request, grant_request,
    grant_response, claim_request, claim_response, claim_release,
    claim_released, outcome_request, outcome_response, change_request,
    change_response, forward_request, forward_response, cancel_forward,
    crash_report, control_host_list, document_request, forward_inquiry,
    forward_report, resent_document, confirmation_request,
    confirmation_response, departure_report, suspect_completed>;

// A message to send.
struct outgoing
{
    host_name to_;
    message message_;
    auto operator<=>(outgoing const&) const = default;
};

} // namespace jackdawhall
