// The simulated network between the hosts of memory_fleet.
#include "memory_fleet.hpp"

#include <algorithm>

namespace jackdawhall::test
{

namespace
{

bool is_for_calls(message const& m)
{
    return std::holds_alternative<renewal_response>(m) ||
           std::holds_alternative<confirmation_response>(m) ||
           std::holds_alternative<configuration_update>(m) ||
           std::holds_alternative<grant_response>(m) ||
           std::holds_alternative<claim_response>(m) ||
           std::holds_alternative<claim_released>(m) ||
           std::holds_alternative<outcome_request>(m) ||
           std::holds_alternative<outcome_response>(m) ||
           std::holds_alternative<forward_request>(m) ||
           std::holds_alternative<forward_response>(m) ||
           std::holds_alternative<cancel_forward>(m) ||
           std::holds_alternative<forward_inquiry>(m) ||
           std::holds_alternative<forward_report>(m);
}

} // namespace

void memory_fleet::cut(std::size_t from, std::size_t to)
{
    cut_links_.insert({from, to});
}

void memory_fleet::heal(std::size_t from, std::size_t to)
{
    cut_links_.erase({from, to});
}

void memory_fleet::isolate(std::size_t i)
{
    for (std::size_t k = 0; k < hosts_.size(); ++k)
    {
        if (k != i)
        {
            cut(i, k);
            cut(k, i);
        }
    }
}

void memory_fleet::heal_all()
{
    cut_links_.clear();
}

void memory_fleet::end_link(std::size_t at, std::size_t peer)
{
    deliver(
        at, calls::input{
                calls::link_lost{hosts_[peer].name_, ~calls::call_number{0}}});
    if (is_control(at))
        deliver(at, control::input{control::link_lost{hosts_[peer].name_}});
}

void memory_fleet::transmit(std::size_t from, outgoing out)
{
    if (out.to_.empty())
        return;
    std::size_t const to = index_of(out.to_);
    if (forward_request const* f = std::get_if<forward_request>(&out.message_))
        record_forward(*f, from);
    duration const spread = options_.max_delay_ - options_.min_delay_;
    duration const delay =
        from == to ? duration{1}
                   : options_.min_delay_ +
                         duration{static_cast<std::int64_t>(random_.below(
                             static_cast<std::uint64_t>(spread.count()) + 1))};
    // Messages on one link are delivered in the order in which they were sent.
    duration& delivery = last_delivery_[{from, to}];
    delivery = std::max(delivery, now_ + delay);
    std::uint64_t const generation = hosts_[to].generation_;
    if (!hosts_[to].up_)
    {
        at(now_ + delay,
           [this, from, out]
           {
               if (control::is_operator_request(out.message_))
                   deliver(
                       from, control::input{control::message_not_sent{out}});
               else
                   deliver(from, calls::input{calls::message_not_sent{out}});
           });
        return;
    }
    at(delivery,
       [this, from, to, generation, out]
       {
           if (cut_links_.contains({from, to}) ||
               hosts_[to].generation_ != generation)
               return;
           received in{hosts_[from].name_, out.message_};
           if (is_for_calls(out.message_))
               deliver(to, calls::input{std::move(in)});
           else if (is_control(to))
               deliver(to, control::input{std::move(in)});
       });
}

void memory_fleet::record_forward(forward_request const& f, std::size_t from)
{
    ++history_.forwards_[f.context_.root_];
    calls::state const& s = *hosts_[from].calls_;
    auto const call = s.call_of_forward_.find(f.number_);
    bool const first_of_root = f.context_.depth_ == 0 &&
                               call != s.call_of_forward_.end() &&
                               s.calls_.at(call->second).tries_ == 1;
    if (first_of_root && !f.context_.account_.empty())
        history_.tokens_.push_back({now_, f.context_.account_});
}

} // namespace jackdawhall::test
