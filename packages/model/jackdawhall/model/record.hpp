// Configuration records. Each kind has a schema version; an old and a new
// version of one record live side by side, and a daemon uses the newest that it
// knows. A record of a schema that this program does not know is kept as bytes.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
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

// Hash of a key's secret. Its record is named "<account>/<key>".
struct key_v1
{
    account_name account_;
    std::string salt_;
    std::string hash_;
    bool withdrawn_ = false;
    auto operator<=>(key_v1 const&) const = default;
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

// Settings of a service that hold at each of its backend servers.
struct service_v1
{
    bool draining_ = false; // takes no new work anywhere
    auto operator<=>(service_v1 const&) const = default;
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
inline constexpr std::int64_t quarantine_crashes = 2;

// Record of a kind or schema that this program does not know.
struct unknown_record
{
    std::string payload_;
    auto operator<=>(unknown_record const&) const = default;
};

using record_body = std::variant<
    account_v1, account_v2, key_v1, route_v1, service_v1, suspect_v1,
    unknown_record>;

// What a record is about, and in which schema it is written.
struct record_key
{
    std::string kind_; // "account", "key", "route", "service", "suspect"
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
struct past_change
{
    revision revision_ = 0;
    wall_time when_;
    std::string author_;
    std::string summary_;
    auto operator<=>(past_change const&) const = default;
};

// A record that was removed at a revision.
struct removal
{
    record_key key_;
    revision revision_ = 0;
    auto operator<=>(removal const&) const = default;
};

} // namespace jackdawhall
