// The replicated state machine: configuration records, outcomes of operations,
// history and claims. Every control host applies the same commands in the same
// order and therefore reaches the same state.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// Outcomes kept to answer resent operations: over three days at 16,000 a day.
inline constexpr std::size_t max_past_operations = 50000;
inline constexpr std::size_t max_history = 10000;
// Removals kept so that a lagging daemon can be sent an incremental update.
inline constexpr std::size_t max_removals = 4096;
inline constexpr std::size_t max_edits = 1000; // per change

// A claim is kept for this long after the timestamp in its key.
inline constexpr std::chrono::milliseconds claim_retention =
    std::chrono::hours(1);
// A claim whose key is further in the future than this is refused.
inline constexpr std::chrono::milliseconds claim_future_limit =
    std::chrono::minutes(1);

// A granted claim in the ledger, where the key is the claim's id.
struct held_claim
{
    std::string body_hash_;
    std::string run_;  // run of the holder; the same in a resend of the claim
    host_name holder_; // host that made the claim
    auto operator<=>(held_claim const&) const = default;
};

struct state_machine
{
    std::map<record_key, record> records_;
    std::deque<removal> removals_; // oldest first
    revision revision_ = 0;
    revision compacted_revision_ = 0; // removals up to here were dropped
    std::map<std::string, change_outcome> outcomes_; // by operation id
    std::deque<std::string> operations_;             // oldest first
    std::deque<history_entry> history_;              // oldest first
    // By the timestamp in the key, so that expired claims are at the front.
    std::map<wall_time, std::map<claim_id, held_claim>> claims_;
    std::size_t claim_count_ = 0;
    wall_time claims_horizon_;          // older keys are refused
    std::int64_t document_version_ = 0; // 0 if there is no document
    std::string document_text_;
    std::set<record_key> document_records_; // set by the document
    auto operator<=>(state_machine const&) const = default;
};

// Snapshot of `m` as of the entry `last_index`.
snapshot take_snapshot(
    state_machine const& m, log_index last_index, term_number last_term,
    std::vector<voter> voters);

state_machine from_snapshot(snapshot const& s);

// Removes a record and adds it to `removals_` under the current revision.
void remove_record(state_machine& m, record_key const& key);

// Stores the outcome of an operation, to answer resends of it.
void record_outcome(
    state_machine& m, std::string const& operation_id,
    change_outcome const& outcome);

void append_history(state_machine& m, history_entry entry);

// Update that brings a daemon from revision `have` to the current revision. It
// is a full update if `have` is 0 or later than the current revision, or if the
// removals since `have` are no longer all kept.
configuration_update update_since(state_machine const& m, revision have);

} // namespace jackdawhall::control
