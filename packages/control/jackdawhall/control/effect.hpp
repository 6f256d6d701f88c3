// What a control node asks of its front end. The front end carries effects out
// in order, and holds back every effect that follows a store until the stores
// before it are synced to disk; then it gives the node disk_synced.
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

// Number of a store; stores are numbered from 1 in the order of issue.
using store_number = std::uint64_t;

// What a voter must never forget: its term and its vote.
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
// Replaces whatever is stored from the first entry's index on.
struct store_entries
{
    store_number number_ = 0;
    std::vector<log_entry> entries_;
    auto operator<=>(store_entries const&) const = default;
};
// Replaces every entry up to the snapshot's; `kept_` are those after it.
struct store_snapshot
{
    store_number number_ = 0;
    snapshot snapshot_;
    hard_state hard_state_;
    std::vector<log_entry> kept_;
    auto operator<=>(store_snapshot const&) const = default;
};
// Outcome of a change that an operator gave to this host.
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
