// Effects that a control host's pipeline requests from its front end. The front
// end executes them in order, except that it holds back each vote, append and
// snapshot message until all stores issued before it are synced to disk. It
// reports each sync with stores_synced.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// Sequence number of a store, from 1 in the order of issue.
using store_number = std::uint64_t;

// Raft state that a voter must never lose: its term and its vote.
struct hard_state
{
    term_number term_ = 0;
    std::optional<voter> voted_for_;
    auto operator<=>(hard_state const&) const = default;
};

struct store_hard_state
{
    store_number number_ = 0;
    hard_state hard_state_;
    auto operator<=>(store_hard_state const&) const = default;
};
// Replaces all stored entries from the index of the first entry on.
struct store_entries
{
    store_number number_ = 0;
    std::vector<log_entry> entries_;
    auto operator<=>(store_entries const&) const = default;
};
// Replaces all stored entries up to the last one that the snapshot covers;
// retained_entries_ are those after it.
struct store_snapshot
{
    store_number number_ = 0;
    snapshot snapshot_;
    hard_state hard_state_;
    std::vector<log_entry> retained_entries_;
    auto operator<=>(store_snapshot const&) const = default;
};
// Reports the outcome of a change or document that an operator submitted to
// this host.
struct answer_operator
{
    std::uint64_t number_ = 0;
    change_outcome outcome_;
    auto operator<=>(answer_operator const&) const = default;
};
using effect = std::variant<
    store_hard_state, store_entries, store_snapshot, send, answer_operator,
    log_message>;
using effects = std::vector<effect>;

} // namespace jackdawhall::control
