// The entries of the replicated log that this host holds in memory: those after
// a base, whose index and term are known. Pure value; no disk.
#pragma once

#include <deque>
#include <optional>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

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

    // Term of the entry at `index`; nothing if it is not held.
    std::optional<term_number> term_at(log_index index) const;

    // Entry at `index`, which must lie after the base and be held.
    log_entry const& at(log_index index) const;

    // At most `limit` entries from `first` on.
    std::vector<log_entry>
    entries_from(log_index first, std::size_t limit) const;

    // Voters by the newest voters_command held, committed or not.
    std::vector<voter> const& voters() const { return voters_; }

    // Index of the newest voters_command; the base's if there is none.
    log_index voters_index() const { return voters_index_; }

    void append(log_entry entry);

    // Drops the entries from `first` on.
    void truncate(log_index first);

    // Drops the entries up to `index`, which must be held.
    void compact(log_index index);

    auto operator<=>(entry_log const&) const = default;

private:
    void recompute_voters();

    log_index base_index_ = 0;
    term_number base_term_ = 0;
    std::vector<voter> base_voters_;
    std::deque<log_entry> entries_;
    std::vector<voter> voters_;
    log_index voters_index_ = 0;
};

} // namespace jackdawhall::control
