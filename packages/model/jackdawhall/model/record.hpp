// Configuration records. Each kind has a schema version; an old and a new
// version of one record live side by side, and a daemon uses the newest that it
// knows. A record of a schema that this program does not know is kept as bytes.
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

// Importance of a request: 0 matters most and is shed last.
using rank = std::uint8_t;
inline constexpr rank lowest_rank = 9;
// Rank 0 is for work that has begun: what callers send comes after it.
inline constexpr rank highest_caller_rank = 1;

// Rate and burst of a client account over the whole fleet, schema 1.
struct account_v1
{
    std::int64_t milli_rate_ = 0; // thousandths of a request per second
    std::int64_t burst_ = 0;      // requests
    auto operator<=>(account_v1 const&) const = default;
};

// Schema 2 adds the share of retries.
struct account_v2
{
    std::int64_t milli_rate_ = 0;
    std::int64_t burst_ = 0;
    std::int64_t retry_percent_ = 10; // retries per hundred first tries
    auto operator<=>(account_v2 const&) const = default;
};

// Schema 3 shares the rate out to the daemons by demand, and may rank all
// requests of the account.
struct account_v3
{
    std::int64_t milli_rate_ = 0; // 0: no limit
    std::int64_t burst_ = 0;
    std::optional<rank> rank_; // goes before the rank of a route
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

// Schema 2: a key that its operator chose. Its record is named by the hash of
// the key's whole text.
struct key_v2
{
    account_name account_;
    auto operator<=>(key_v2 const&) const = default;
};

// Which service serves a path, and how.
struct route_v1
{
    std::string method_; // empty: every method
    std::string path_prefix_;
    service_name service_;
    rank rank_ = lowest_rank;
    bool open_ = false;       // needs no key
    bool repeatable_ = false; // may run more than once
    std::int64_t timeout_ms_ = 1000;
    auto operator<=>(route_v1 const&) const = default;
};

// How often a request may run.
enum class repetition : std::uint8_t
{
    repeatable,
    once_per_key,     // at most once for an idempotency key of its caller's
    once_per_attempt, // at most once each time that its caller sends it
    last_ = once_per_attempt
};

std::string_view to_text(repetition r);

struct weighted_service
{
    service_name service_;
    std::int64_t weight_ = 1; // its share, relative to the others' weights
    auto operator<=>(weighted_service const&) const = default;
};

// Schema 2 adds virtual hosts, shares among services, and what a caller
// expects.
struct route_v2
{
    std::string virtual_host_; // in lower case; empty: every host
    std::string path_prefix_;
    std::vector<weighted_service> services_;
    rank rank_ = lowest_rank;
    bool open_ = false; // needs no key
    repetition repetition_ = repetition::once_per_attempt;
    std::int64_t timeout_ms_ = 1000;
    std::int64_t objective_ms_ = 1000; // answers after this are worth less
    std::int64_t attempts_ = 1;        // servers that one attempt may reach
    auto operator<=>(route_v2 const&) const = default;
};

// Settings of a service that hold at each of its backend servers.
struct service_v1
{
    bool draining_ = false; // takes no new work anywhere
    auto operator<=>(service_v1 const&) const = default;
};

// Schema 2 adds what the operator knows of its backend servers.
struct service_v2
{
    bool draining_ = false;
    std::int64_t connections_ = 0; // that one server accepts; 0: unknown
    auto operator<=>(service_v2 const&) const = default;
};

// What callers may send, and how long they may take.
struct limits_v1
{
    std::int64_t header_bytes_ = 16 << 10;
    std::int64_t body_bytes_ = 1 << 20;
    std::int64_t header_time_ms_ = 10000;
    std::int64_t idle_time_ms_ = 60000;
    auto operator<=>(limits_v1 const&) const = default;
};

// A request, by fingerprint, that was running when backend servers crashed.
// Written by the leader of the control hosts.
struct suspect_v1
{
    std::int64_t crashes_ = 0;
    std::int64_t expires_ms_ = 0; // milliseconds since the Unix epoch
    auto operator<=>(suspect_v1 const&) const = default;
};

// A suspect is refused everywhere from this many crashes on.
inline constexpr std::int64_t quarantine_crash_threshold = 2;

// Record of a kind or schema that this program does not know.
struct unknown_record
{
    std::string payload_;
    auto operator<=>(unknown_record const&) const = default;
};

using record_body = std::variant<
    account_v1, account_v2, key_v1, route_v1, service_v1, suspect_v1,
    unknown_record, account_v3, key_v2, route_v2, service_v2, limits_v1>;

// What a record is about, and in which schema it is written.
struct record_key
{
    std::string kind_; // "account", "key", "route", "service", ...
    std::string name_;
    std::uint32_t schema_ = 1;
    auto operator<=>(record_key const&) const = default;
};

// "<kind>/<name>@<schema>"
std::string to_text(record_key const& key);

struct record
{
    record_key key_;
    revision revision_ = 0; // of its last change
    record_body body_;
    auto operator<=>(record const&) const = default;
};

// Kind and schema that a body is written in; nothing for unknown_record.
std::optional<std::pair<std::string, std::uint32_t>>
schema_of(record_body const& body);

// One edit of a change. Without a body it removes the record.
struct edit
{
    record_key key_;
    revision expected_ = 0; // 0: the record must not exist
    std::optional<record_body> body_;
    auto operator<=>(edit const&) const = default;
};

// A change of configuration: all its edits, or none.
struct change
{
    std::string operation_id_; // a resend has the same
    std::string author_;
    std::vector<edit> edits_;
    auto operator<=>(change const&) const = default;
};

// The whole configuration in one text, as an operator's tools keep it. It
// replaces the document before it and all records that came with that one.
struct document
{
    std::int64_t version_ = 0; // chosen by the operator; only ever grows
    std::int64_t base_ = 0;    // version that it was made from; 0: none
    std::string digest_;       // of the text: two documents may share a version
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
    revision actual_ = 0; // 0: there is no such record
    auto operator<=>(conflict const&) const = default;
};
struct rejected
{
    std::string what_;
    std::string mend_;
    auto operator<=>(rejected const&) const = default;
};
// No answer can be given now; the change may be accepted later, and a resend
// under the same operation id is safe.
struct unknown_outcome
{
    std::string what_;
    auto operator<=>(unknown_outcome const&) const = default;
};

using change_outcome =
    std::variant<accepted, conflict, rejected, unknown_outcome>;

// One line of the history of changes.
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
