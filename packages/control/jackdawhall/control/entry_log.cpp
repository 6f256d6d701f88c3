#include <jackdawhall/control/entry_log.hpp>

#include <algorithm>

namespace jackdawhall::control
{

entry_log::entry_log(
    log_index base_index, term_number base_term, std::vector<voter> base_voters,
    std::vector<log_entry> entries)
    : base_index_(base_index), base_term_(base_term),
      base_voters_(std::move(base_voters)), voters_(base_voters_),
      voters_index_(base_index)
{
    for (log_entry& entry : entries)
        append(std::move(entry));
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

std::size_t entry_log::end_of(log_index index) const
{
    log_index const held = std::min(index, last_index());
    if (held <= base_index_)
        return base_end_;
    return ends_.at(held - base_index_ - 1);
}

std::size_t entry_log::bytes_between(log_index after, log_index last) const
{
    return end_of(std::max(after, last)) - end_of(after);
}

std::vector<log_entry>
entry_log::entries_from(log_index first, log_limits limits) const
{
    std::vector<log_entry> found;
    for (log_index i = first;
         i <= last_index() && found.size() < limits.entries_ &&
         bytes_between(first - 1, i) <= limits.bytes_;
         ++i)
        found.push_back(at(i));
    return found;
}

log_index entry_log::start_of_tail(log_index last, log_limits limits) const
{
    log_index start = last;
    while (start > base_index_ && last - start < limits.entries_ &&
           bytes_between(start - 1, last) <= limits.bytes_)
        --start;
    return start;
}

std::vector<voter> entry_log::voters_at(log_index index) const
{
    if (index >= voters_index_)
        return voters_;
    for (log_index i = index; i > base_index_; --i)
    {
        if (voters_command const* changed =
                std::get_if<voters_command>(&at(i).command_))
            return changed->voters_;
    }
    return base_voters_;
}

void entry_log::append(log_entry entry)
{
    if (voters_command const* changed =
            std::get_if<voters_command>(&entry.command_))
    {
        voters_ = changed->voters_;
        voters_index_ = entry.index_;
    }
    ends_.push_back(end_of(last_index()) + estimated_size(entry));
    entries_.push_back(std::move(entry));
}

void entry_log::truncate(log_index first)
{
    while (last_index() >= first && !entries_.empty())
    {
        entries_.pop_back();
        ends_.pop_back();
    }
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
        base_end_ = ends_.front();
        entries_.pop_front();
        ends_.pop_front();
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
