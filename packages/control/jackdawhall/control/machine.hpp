// State that the replicated log leads to: configuration records, outcomes of
// operations, history and claims. Every control host applies the same commands
// in the same order and so holds the same machine.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// Outcomes kept for resends of an operation: over three days at 16,000 a day.
inline constexpr std::size_t max_past_operations = 50000;
inline constexpr std::size_t max_history = 10000;
// Removals kept so that a daemon behind can be sent the difference.
inline constexpr std::size_t max_removals = 4096;
inline constexpr std::size_t max_edits = 1000; // in one change

// A claim is remembered for this long after the time in its key.
inline constexpr std::chrono::milliseconds claim_retention =
    std::chrono::hours(1);
// A key further in the future than this is refused.
inline constexpr std::chrono::milliseconds claim_future_limit =
    std::chrono::minutes(1);

// A claim in the ledger, without its id.
struct held_claim
{
    std::string body_hash_;
    std::string run_;
    host_name holder_;
    auto operator<=>(held_claim const&) const = default;
};

struct machine
{
    std::map<record_key, record> records_;
    std::deque<removal> removals_; // oldest first
    revision revision_ = 0;
    revision oldest_removal_ = 0; // removals up to here are forgotten
    std::map<std::string, change_outcome> outcomes_; // by operation id
    std::deque<std::string> operations_;             // oldest first
    std::deque<history_entry> history_;              // oldest first
    // By the time in the key, so that old ones are dropped from the front.
    std::map<wall_time, std::map<claim_id, held_claim>> claims_;
    std::size_t claim_count_ = 0;
    wall_time claims_horizon_;          // keys older than this are refused
    std::int64_t document_version_ = 0; // 0: there is no document
    std::string document_text_;
    std::set<record_key> document_records_; // that came with it
    auto operator<=>(machine const&) const = default;
};

// Snapshot of `m` as of the entry `last_index`.
snapshot take_snapshot(
    machine const& m, log_index last_index, term_number last_term,
    std::vector<voter> voters);

machine from_snapshot(snapshot const& s);

// Removes a record and remembers that it did.
void remove_record(machine& m, record_key const& key);

// Keeps the outcome of an operation for its resends.
void remember_outcome(
    machine& m, std::string const& operation_id, change_outcome const& outcome);

void remember_change(machine& m, history_entry change);

// What a daemon that has `have` needs to reach the machine's revision.
configuration_update update_since(machine const& m, revision have);

} // namespace jackdawhall::control
