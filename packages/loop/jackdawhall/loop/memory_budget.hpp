// The one budget of a process for the bytes that it holds for others. Who holds
// most yields, in the next round of the loop, so that no holder is closed while
// it is at work.
#pragma once

#include <array>
#include <functional>
#include <map>
#include <memory>

#include <jackdawhall/loop/held_bytes.hpp>
#include <jackdawhall/loop/later.hpp>

namespace jackdawhall::loop
{

// A holder that was told to yield.
struct yielded
{
    holder holder_;
    std::size_t party_bytes_ = 0; // all that its party held
    std::size_t total_ = 0;
    auto operator<=>(yielded const&) const = default;
};

class memory_budget
{
public:
    explicit memory_budget(std::size_t bytes);
    memory_budget(memory_budget const&) = delete;
    memory_budget& operator=(memory_budget const&) = delete;

    // Called before each yield.
    void on_yield(std::function<void(yielded const&)> f);

    std::size_t bytes() const { return bytes_; }
    held_bytes const& held() const { return held_; }
    // Yields by the place of their kind in `holding`.
    std::array<std::uint64_t, holding_kinds> const& yields() const
    {
        return yields_;
    }

private:
    friend class budget_share;

    holder_number add(std::function<void()> give_up);
    void remove(holder_number number);
    void set(holder_number number, holding const& what, std::size_t bytes);
    void relieve();
    void yield(holder_number number);

    std::size_t bytes_;
    held_bytes held_;
    holder_number last_number_ = 0;
    std::map<holder_number, std::function<void()>> holders_;
    std::array<std::uint64_t, holding_kinds> yields_{};
    std::function<void(yielded const&)> on_yield_;
    later relieve_{[this] { relieve(); }};
};

using budget_ptr = std::shared_ptr<memory_budget>;

// One holder's entry in the budget, for as long as it lives. `give_up` is
// called, not while the holder is at work, when the holder is to give back what
// it holds; the entry counts as nothing from then on until it is set again.
class budget_share
{
public:
    budget_share(budget_ptr budget, std::function<void()> give_up);
    ~budget_share();
    budget_share(budget_share const&) = delete;
    budget_share& operator=(budget_share const&) = delete;

    // Says what is allocated now.
    void set(holding const& what, std::size_t bytes);
    void clear() { set({}, 0); }

private:
    budget_ptr budget_;
    holder_number number_;
};

} // namespace jackdawhall::loop
