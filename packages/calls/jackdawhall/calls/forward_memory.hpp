// What a gate remembers of forwards that it has no run of, for entries that ask
// what became of them: answers, for as long as the entry may wait for them, the
// numbers alone for some time after, and the forwards that it reported as not
// received, so that a late copy of one is never run. Bounded in count and
// bytes.
#pragma once

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include <jackdawhall/calls/effect.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::calls
{

inline constexpr std::size_t max_kept_answers = 16384;
inline constexpr std::size_t max_kept_answer_bytes = 16 << 20;
inline constexpr std::size_t max_refused_forwards = 8192;
// Answers are kept for this long after the deadline of the call.
inline constexpr duration answer_retention = std::chrono::seconds(1);
inline constexpr duration refused_forward_lifetime = std::chrono::minutes(1);
// For this long, and in this count, the number of a forward is remembered of
// which nothing else is kept. A forward that arrives later than another one may
// be asked for so much later.
inline constexpr duration number_retention = std::chrono::minutes(1);
inline constexpr std::size_t max_kept_numbers = 16384;
// An entry numbers the forwards of one run of its daemon upwards from a random
// number, and makes fewer than this many.
inline constexpr call_number max_forwards_of_run = call_number{1} << 32;
inline constexpr std::size_t max_remembered_runs = 4; // of one entry's daemon

// Host of the entry, and the forward's number there.
using forward_key = std::pair<host_name, call_number>;

struct kept_answer
{
    forward_response answer_;
    instant until_;
    auto operator<=>(kept_answer const&) const = default;
};

struct forward_memory
{
    std::map<forward_key, kept_answer> answers_;
    std::set<std::pair<instant, forward_key>> answers_due_;
    std::size_t answer_bytes_ = 0;
    std::set<forward_key> refused_;
    std::deque<std::pair<instant, forward_key>> refused_due_; // oldest first
    // Forwards of which only the number is kept.
    std::set<forward_key> numbers_;
    std::deque<std::pair<instant, forward_key>> numbers_due_; // oldest first
    // The newest forward of each run of an entry's daemon of which not even the
    // number is kept any more.
    std::map<host_name, std::vector<call_number>> forgotten_;
    auto operator<=>(forward_memory const&) const = default;
};

// Keeps the answer to a forward whose entry waits until `deadline`.
forward_memory keep_answer(
    forward_memory m, forward_key const& key, forward_response answer,
    instant deadline, instant now);

// Returns nullptr if no answer is kept.
forward_response const*
find_answer(forward_memory const& m, forward_key const& key);

// Numbers of the forwards of an entry whose answers are kept.
std::vector<call_number>
answered_forwards(forward_memory const& m, host_name const& entry);

// Drops what is kept no longer.
forward_memory expire_memory(forward_memory m, instant now);

// Drops answers, the one that is kept no longer first, until they have `bytes`
// at most.
forward_memory drop_answers(forward_memory m, std::size_t bytes, instant now);

// Whether a forward may have been answered, with no answer kept of it: its
// number is kept, or it is not newer than one whose number was dropped.
bool is_forgotten(forward_memory const& m, forward_key const& key);

// Remembers that a forward must not run should it arrive later. Leaves the
// memory as it is if it is full.
forward_memory
refuse_forward(forward_memory m, forward_key const& key, instant now);

bool is_refused(forward_memory const& m, forward_key const& key);

} // namespace jackdawhall::calls
