#include <jackdawhall/loop/held_bytes.hpp>

#include <algorithm>

namespace jackdawhall::loop
{

namespace
{

constexpr std::array<std::string_view, holding_kinds> kind_texts{
    "backend_exchange", "request_in_progress", "request_awaiting_answer",
    "unread_answer",    "peer_queue",          "frame_in_progress",
    "kept_by_calls"};

// Changes what a party has, and its place among the parties.
void change_party(
    held_bytes& h, holder_number number, holder const& of, bool adds)
{
    party const whose = party_of(of.holding_);
    party_holdings& all = h.parties_[whose];
    h.by_bytes_.erase({all.bytes_, whose});
    if (adds)
    {
        all.bytes_ += of.bytes_;
        all.holders_.emplace(of.bytes_, number);
    }
    else
    {
        all.bytes_ -= of.bytes_;
        all.holders_.erase({of.bytes_, number});
    }
    if (all.holders_.empty())
        h.parties_.erase(whose);
    else
        h.by_bytes_.emplace(all.bytes_, whose);
}

void remove_holder(held_bytes& h, holder_number number)
{
    auto const known = h.holders_.find(number);
    if (known == h.holders_.end())
        return;
    h.total_ -= known->second.bytes_;
    change_party(h, number, known->second, false);
    h.holders_.erase(known);
}

} // namespace

std::string_view kind_text(std::size_t kind)
{
    return kind_texts.at(kind);
}

party party_of(holding const& h)
{
    return std::visit(
        overloaded{
            [](backend_exchange const& b) -> party
            { return backend_party{b.server_}; },
            [](request_in_progress const& r) -> party
            { return caller_party{r.caller_}; },
            [](request_awaiting_answer const& r) -> party
            { return caller_party{r.caller_}; },
            [](unread_answer const& u) -> party
            { return caller_party{u.caller_}; },
            [](peer_queue const& q) -> party { return peer_party{q.peer_}; },
            [](frame_in_progress const& f) -> party
            { return peer_party{f.peer_}; },
            [](kept_by_calls const&) -> party { return own_party{}; },
        },
        h);
}

std::string to_text(party const& p)
{
    return std::visit(
        overloaded{
            [](backend_party const& b)
            {
                return "server " + b.server_.address_ + ":" +
                       std::to_string(b.server_.port_);
            },
            [](caller_party const& c) { return "caller " + c.address_; },
            [](peer_party const& q) { return "peer " + q.host_.str(); },
            [](own_party const&) { return std::string("this daemon"); },
        },
        p);
}

held_bytes set_held(
    held_bytes h, holder_number number, holding const& what, std::size_t bytes)
{
    remove_holder(h, number);
    if (bytes < least_counted_bytes)
        return h;
    holder const now{what, bytes};
    h.total_ += bytes;
    h.peak_ = std::max(h.peak_, h.total_);
    change_party(h, number, now, true);
    h.holders_.emplace(number, now);
    return h;
}

std::optional<holder_number> choose_yielding(held_bytes const& h)
{
    if (h.by_bytes_.empty())
        return std::nullopt;
    auto const& holders = h.parties_.at(h.by_bytes_.rbegin()->second).holders_;
    std::size_t const most = holders.rbegin()->first;
    return holders.lower_bound({most, 0})->second;
}

} // namespace jackdawhall::loop
