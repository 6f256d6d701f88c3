#include <jackdawhall/loop/memory_budget.hpp>

namespace jackdawhall::loop
{

memory_budget::memory_budget(std::size_t bytes) : bytes_(bytes) {}

void memory_budget::on_yield(std::function<void(yielded const&)> f)
{
    on_yield_ = std::move(f);
}

holder_number memory_budget::add(std::function<void()> give_up)
{
    holders_.emplace(++last_number_, std::move(give_up));
    return last_number_;
}

void memory_budget::remove(holder_number number)
{
    held_ = set_held(std::move(held_), number, {}, 0);
    holders_.erase(number);
}

void memory_budget::set(
    holder_number number, holding const& what, std::size_t bytes)
{
    auto const known = held_.holders_.find(number);
    bool const same = known == held_.holders_.end()
                          ? bytes < least_counted_bytes
                          : known->second == holder{what, bytes};
    if (same)
        return;
    held_ = set_held(std::move(held_), number, what, bytes);
    if (held_.total_ > bytes_)
        relieve_.ask();
}

void memory_budget::relieve()
{
    while (held_.total_ > bytes_)
    {
        std::optional<holder_number> const next = choose_yielding(held_);
        if (!next)
            return;
        yield(*next);
    }
}

void memory_budget::yield(holder_number number)
{
    holder const of = held_.holders_.at(number);
    ++yields_.at(of.holding_.index());
    if (on_yield_)
        on_yield_(
            {of, held_.parties_.at(party_of(of.holding_)).bytes_,
             held_.total_});
    // Whatever the holder does, it is not told twice of the same bytes.
    held_ = set_held(std::move(held_), number, {}, 0);
    // The holder may end in it.
    std::function<void()> const give_up = holders_.at(number);
    give_up();
}

budget_share::budget_share(budget_ptr budget, std::function<void()> give_up)
    : budget_(std::move(budget)), number_(budget_->add(std::move(give_up)))
{
}

budget_share::~budget_share()
{
    budget_->remove(number_);
}

void budget_share::set(holding const& what, std::size_t bytes)
{
    budget_->set(number_, what, bytes);
}

} // namespace jackdawhall::loop
