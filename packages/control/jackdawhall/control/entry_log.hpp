// In-memory part of the replicated log: the entries after a base, of which only
// the index, term and voters are kept. A value type without disk access.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

// Bounds on a sequence of entries.
struct log_limits
{
    std::size_t entries_ = 0;
    std::size_t bytes_ = 0; // by estimated_size
    auto operator<=>(log_limits const&) const = default;
};

class entry_log
{
public:
    entry_log() = default;
    entry_log(
        log_index base_index, term_number base_term,
        std::vector<voter> base_voters, std::vector<log_entry> entries);

    log_index base_index() const { return base_index_; }
    log_index last_index() const { return base_index_ + entries_.size(); }
    term_number last_term() const;

    // Term of the entry at `index`, which may be the base; empty if not held.
    std::optional<term_number> term_at(log_index index) const;

    // Entry at `index`. Requires base_index() < index <= last_index().
    log_entry const& at(log_index index) const;

    // The entries from `first` on, as far as `limits` allow.
    std::vector<log_entry>
    entries_from(log_index first, log_limits limits) const;

    // Estimated size of the entries after `after`, up to and including `last`.
    // Only those held count.
    std::size_t bytes_between(log_index after, log_index last) const;

    // Index after which the entries up to and including `last` are within
    // `limits`. May be `last` itself.
    log_index start_of_tail(log_index last, log_limits limits) const;

    // Voters of the latest voters_command, committed or not; the base's if
    // there is none.
    std::vector<voter> const& voters() const { return voters_; }

    // Voters as of the entry at `index`, which is the base or a later one.
    std::vector<voter> voters_at(log_index index) const;

    // Index of the latest voters_command; the base's if there is none.
    log_index voters_index() const { return voters_index_; }

    void append(log_entry entry);

    // Drops `first` and all later entries.
    void truncate(log_index first);

    // Drops the entries up to and including `index`, which becomes the base. It
    // must be held.
    void compact(log_index index);

    auto operator<=>(entry_log const&) const = default;

private:
    void recompute_voters();
    std::size_t end_of(log_index index) const;

    log_index base_index_ = 0;
    term_number base_term_ = 0;
    std::vector<voter> base_voters_;
    std::deque<log_entry> entries_;
    // For each entry, the estimated size of all entries that were ever appended
    // up to it and not truncated.
    std::deque<std::size_t> ends_;
    std::size_t base_end_ = 0; // the same for the base
    std::vector<voter> voters_;
    log_index voters_index_ = 0;
};

} // namespace jackdawhall::control
