// Configuration records. Each kind has a schema version. Several versions of
// one record can coexist, and a daemon uses the newest one that it supports. A
// record with an unsupported schema is kept as bytes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include <jackdawhall/model/name.hpp>
#include <jackdawhall/model/time.hpp>

namespace jackdawhall
{

// Position of a change in the order of all changes; 0 is before the first.
using revision = std::uint64_t;

// Importance of a request: rank 0 is the most important and is shed last.
using rank = std::uint8_t;
inline constexpr rank lowest_rank = 9;
// Rank 0 is reserved for work that has already begun; requests from callers
// rank below it.
inline constexpr rank highest_caller_rank = 1;

// Rate limit and burst of a client account across the whole fleet, schema 1.
struct account_v1
{
    std::int64_t milli_rate_ = 0; // thousandths of a request per second
    std::int64_t burst_ = 0;      // requests
    auto operator<=>(account_v1 const&) const = default;
};

// Schema 2 adds the retry budget.
struct account_v2
{
    std::int64_t milli_rate_ = 0;
    std::int64_t burst_ = 0;
    std::int64_t retry_percent_ = 10; // retries per hundred first attempts
    auto operator<=>(account_v2 const&) const = default;
};

// Schema 3 distributes the rate among the daemons by demand, and can set the
// rank of all requests of the account.
struct account_v3
{
    std::int64_t milli_rate_ = 0; // 0: no limit
    std::int64_t burst_ = 0;
    std::optional<rank> rank_; // overrides the rank of a route
    auto operator<=>(account_v3 const&) const = default;
};

// Hash of a key's secret. Its record is named "<account>/<key>".
struct key_v1
{
    account_name account_;
    std::string salt_;
    std::string hash_;
    bool withdrawn_ = false;
    auto operator<=>(key_v1 const&) const = default;
};

// Schema 2: a key chosen by the operator. Its record is named by the hash of
// the whole text of the key.
struct key_v2
{
    account_name account_;
    auto operator<=>(key_v2 const&) const = default;
};

// Maps a path to the service that serves it, with the settings for its calls.
struct route_v1
{
    std::string method_; // empty: every method
    std::string path_prefix_;
    service_name service_;
    rank rank_ = lowest_rank;
    bool open_ = false;       // no key required
    bool repeatable_ = false; // may be executed more than once
    std::int64_t timeout_ms_ = 1000;
    auto operator<=>(route_v1 const&) const = default;
};

// How often a request may be executed.
enum class repetition : std::uint8_t
{
    repeatable,
    once_per_key,     // at most once for each idempotency key of the caller
    once_per_attempt, // at most once each time the caller sends it
    last_ = once_per_attempt
};

std::string_view to_text(repetition r);

struct weighted_service
{
    service_name service_;
    std::int64_t weight_ = 1; // share relative to the weights of the others
    auto operator<=>(weighted_service const&) const = default;
};

// Schema 2 adds virtual hosts, weighted services, and a latency objective.
struct route_v2
{
    std::string virtual_host_; // in lower case; empty: every host
    std::string path_prefix_;
    std::vector<weighted_service> services_;
    rank rank_ = lowest_rank;
    bool open_ = false; // no key required
    repetition repetition_ = repetition::once_per_attempt;
    std::int64_t timeout_ms_ = 1000;
    // Latency objective: later answers are worth less.
    std::int64_t objective_ms_ = 1000;
    // Backend servers that may receive one attempt of the caller.
    std::int64_t attempts_ = 1;
    auto operator<=>(route_v2 const&) const = default;
};

// Settings of a service that apply to each of its backend servers.
struct service_v1
{
    bool draining_ = false; // accepts no new work on any backend server
    auto operator<=>(service_v1 const&) const = default;
};

// Schema 2 adds the connection limit that the operator states for its backend
// servers.
struct service_v2
{
    bool draining_ = false;
    std::int64_t connections_ = 0; // accepted by one server; 0: unknown
    auto operator<=>(service_v2 const&) const = default;
};

// Limits on the size and duration of caller requests.
struct limits_v1
{
    std::int64_t header_bytes_ = 16 << 10;
    std::int64_t body_bytes_ = 1 << 20;
    std::int64_t header_time_ms_ = 10000;
    std::int64_t idle_time_ms_ = 60000;
    auto operator<=>(limits_v1 const&) const = default;
};

// Number of times that backend servers crashed while they ran a request. The
// record is named by the fingerprint of the request and written by the leader
// of the control hosts.
struct suspect_v1
{
    std::int64_t crashes_ = 0;
    std::int64_t expires_ms_ = 0; // milliseconds since the Unix epoch
    // Fingerprints of the processes that crashed, in ascending order. Crashes
    // counted by an earlier build have none.
    std::vector<std::string> processes_;
    auto operator<=>(suspect_v1 const&) const = default;
};

// Every daemon refuses a suspect with this many crashes or more.
inline constexpr std::int64_t quarantine_crash_threshold = 2;

// A process of a backend server that said that it leaves, and gets no more
// work. The record is named "<host>/<server id>" and written by the leader of
// the control hosts; what its server says later of an earlier moment is
// outdated.
struct departure_v1
{
    // Start and sequence number of its last announcement, as announced.
    std::int64_t started_ = 0;
    std::int64_t sequence_ = 0;
    std::int64_t recorded_ms_ = 0; // milliseconds since the Unix epoch
    auto operator<=>(departure_v1 const&) const = default;
};

// Name of the record of a departure.
std::string departure_name(host_name const& host, std::string const& server_id);

// Record of an unsupported kind or schema, kept as bytes.
struct unknown_record
{
    std::string payload_;
    auto operator<=>(unknown_record const&) const = default;
};

// The wire encoding numbers the alternatives by position: append new ones.
using record_body = std::variant<
    account_v1, account_v2, key_v1, route_v1, service_v1, suspect_v1,
    unknown_record, account_v3, key_v2, route_v2, service_v2, limits_v1,
    departure_v1>;

// Identity of a record and the schema in which it is written.
struct record_key
{
    std::string kind_; // "account", "key", "route", "service", ...
    std::string name_;
    std::uint32_t schema_ = 1;
    auto operator<=>(record_key const&) const = default;
};

// Returns "<kind>/<name>@<schema>".
std::string to_text(record_key const& key);

struct record
{
    record_key key_;
    revision revision_ = 0; // of the last change
    record_body body_;
    auto operator<=>(record const&) const = default;
};

// Returns the kind and schema of a body, or nullopt for unknown_record.
std::optional<std::pair<std::string, std::uint32_t>>
schema_of(record_body const& body);

// One edit of a change. An edit without a body removes the record.
struct edit
{
    record_key key_;
    revision expected_ = 0; // of the record; 0: the record must not exist
    std::optional<record_body> body_;
    auto operator<=>(edit const&) const = default;
};

// An atomic configuration change: all of its edits are applied, or none.
struct change
{
    std::string operation_id_; // the same in a resend
    std::string author_;
    std::vector<edit> edits_;
    auto operator<=>(change const&) const = default;
};

// The whole configuration as one text, as kept by an operator's tools. It
// replaces the previous document and all records created by that document.
struct document
{
    std::int64_t version_ = 0; // chosen by the operator; strictly increasing
    std::int64_t base_ = 0;    // version on which it is based; 0: none
    std::string digest_; // of the text; tells apart documents of one version
    std::string text_;
    std::vector<std::pair<record_key, record_body>> contents_;
    auto operator<=>(document const&) const = default;
};

// Outcomes of a change.
struct accepted
{
    revision revision_ = 0;
    auto operator<=>(accepted const&) const = default;
};
struct conflict
{
    record_key key_;
    revision actual_ = 0; // of the record; 0: the record does not exist
    auto operator<=>(conflict const&) const = default;
};
struct rejected
{
    std::string what_;
    std::string mend_;
    auto operator<=>(rejected const&) const = default;
};
// The outcome is not known yet. The change may still be accepted later;
// resending it with the same operation id is safe.
struct unknown_outcome
{
    std::string what_;
    auto operator<=>(unknown_outcome const&) const = default;
};

using change_outcome =
    std::variant<accepted, conflict, rejected, unknown_outcome>;

// Entry in the history of configuration changes.
struct history_entry
{
    revision revision_ = 0;
    wall_time when_;
    std::string author_;
    std::string summary_;
    auto operator<=>(history_entry const&) const = default;
};

// A record that was removed at a revision.
struct removal
{
    record_key key_;
    revision revision_ = 0;
    auto operator<=>(removal const&) const = default;
};

} // namespace jackdawhall
