#include <jackdawhall/control/entry_log.hpp>

#include <algorithm>

namespace jackdawhall::control
{

entry_log::entry_log(
    log_index base_index, term_number base_term, std::vector<voter> base_voters,
    std::vector<log_entry> entries)
    : base_index_(base_index), base_term_(base_term),
      base_voters_(std::move(base_voters)),
      entries_(entries.begin(), entries.end())
{
    recompute_voters();
}

term_number entry_log::last_term() const
{
    return entries_.empty() ? base_term_ : entries_.back().term_;
}

std::optional<term_number> entry_log::term_at(log_index index) const
{
    if (index == base_index_)
        return base_term_;
    if (index < base_index_ || index > last_index())
        return std::nullopt;
    return at(index).term_;
}

log_entry const& entry_log::at(log_index index) const
{
    return entries_.at(index - base_index_ - 1);
}

std::vector<log_entry>
entry_log::entries_from(log_index first, std::size_t limit) const
{
    std::vector<log_entry> found;
    for (log_index i = first; i <= last_index() && found.size() < limit; ++i)
        found.push_back(at(i));
    return found;
}

void entry_log::append(log_entry entry)
{
    if (voters_command const* changed =
            std::get_if<voters_command>(&entry.command_))
    {
        voters_ = changed->voters_;
        voters_index_ = entry.index_;
    }
    entries_.push_back(std::move(entry));
}

void entry_log::truncate(log_index first)
{
    while (last_index() >= first && !entries_.empty())
        entries_.pop_back();
    if (voters_index_ >= first)
        recompute_voters();
}

void entry_log::compact(log_index index)
{
    while (base_index_ < index && !entries_.empty())
    {
        log_entry const& first = entries_.front();
        if (voters_command const* changed =
                std::get_if<voters_command>(&first.command_))
            base_voters_ = changed->voters_;
        base_index_ = first.index_;
        base_term_ = first.term_;
        entries_.pop_front();
    }
}

void entry_log::recompute_voters()
{
    voters_ = base_voters_;
    voters_index_ = base_index_;
    for (log_entry const& entry : entries_)
    {
        if (voters_command const* changed =
                std::get_if<voters_command>(&entry.command_))
        {
            voters_ = changed->voters_;
            voters_index_ = entry.index_;
        }
    }
}

} // namespace jackdawhall::control
