// The replicated log of the control hosts: its voters, commands and entries,
// and the snapshot that replaces its beginning.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/model/name.hpp>
#include <jackdawhall/model/record.hpp>
#include <jackdawhall/model/time.hpp>

namespace jackdawhall
{

using term_number = std::uint64_t;
using log_index = std::uint64_t; // the first entry has index 1

// A control host and the identity of its disk. A host whose disk was lost
// rejoins as a different voter.
struct voter
{
    host_name host_;
    std::uint64_t disk_ = 0;
    auto operator<=>(voter const&) const = default;
};

// Identifies a non-repeatable request.
struct claim_id
{
    account_name account_;
    std::string key_; // UUIDv7
    auto operator<=>(claim_id const&) const = default;
};

// Appended by a new leader to commit the entries of earlier terms.
struct no_op
{
    auto operator<=>(no_op const&) const = default;
};
struct change_command
{
    change change_;
    wall_time when_;
    auto operator<=>(change_command const&) const = default;
};
struct claim_command
{
    claim_id id_;
    std::string body_hash_;
    std::string run_; // run of the holder; the same in a resend of the claim
    host_name holder_;
    wall_time when_;
    auto operator<=>(claim_command const&) const = default;
};
// Releases a claim whose request is proven not to have run.
struct release_command
{
    claim_id id_;
    std::string run_;
    host_name holder_;
    auto operator<=>(release_command const&) const = default;
};
struct voters_command
{
    std::vector<voter> voters_; // in order
    // Set in the first entry of the log only, to the creation time of the
    // ledger. Idempotency keys older than this are refused.
    wall_time when_;
    auto operator<=>(voters_command const&) const = default;
};
// Replaces the document if its base is the version of the current one.
struct document_command
{
    document document_;
    wall_time when_;
    auto operator<=>(document_command const&) const = default;
};

// The wire encoding numbers the alternatives by position: append new ones.
using command = std::variant<
    no_op, change_command, claim_command, release_command, voters_command,
    document_command>;

struct log_entry
{
    log_index index_ = 0;
    term_number term_ = 0;
    command command_;
    auto operator<=>(log_entry const&) const = default;
};

// A claim that was granted.
struct claim
{
    claim_id id_;
    std::string body_hash_;
    std::string run_;
    host_name holder_;
    auto operator<=>(claim const&) const = default;
};

struct completed_operation
{
    std::string operation_id_;
    change_outcome outcome_;
    auto operator<=>(completed_operation const&) const = default;
};

// State of the replicated state machine after the entry last_index_.
struct snapshot
{
    log_index last_index_ = 0;
    term_number last_term_ = 0;
    std::vector<voter> voters_;
    revision revision_ = 0;
    revision compacted_revision_ = 0; // removals up to here are discarded
    std::vector<record> records_;
    std::vector<removal> removals_;
    std::vector<completed_operation> operations_; // oldest first
    std::vector<history_entry> history_;          // oldest first
    std::vector<claim> claims_;
    wall_time claims_horizon_; // older idempotency keys are refused
    std::int64_t document_version_ = 0;
    std::string document_text_;
    std::vector<record_key> document_records_; // created by the document
    auto operator<=>(snapshot const&) const = default;
};

} // namespace jackdawhall
