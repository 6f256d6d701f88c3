// Bytes that a process holds for others, as allocated: how much each holder
// has, on whose account it is, and who gives some back when it is too much.
// Values and functions of values; memory_budget keeps one on the loop.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// --- What is held ------------------------------------------------------------

// A run's answer that comes in, and what is left of its request.
struct backend_exchange
{
    endpoint server_;
    auto operator<=>(backend_exchange const&) const = default;
};
// A request that comes in.
struct request_in_progress
{
    std::string caller_; // address
    auto operator<=>(request_in_progress const&) const = default;
};
// A request that came in and waits for its answer.
struct request_awaiting_answer
{
    std::string caller_; // address
    auto operator<=>(request_awaiting_answer const&) const = default;
};
// An answer that its caller has not read.
struct unread_answer
{
    std::string caller_; // address
    auto operator<=>(unread_answer const&) const = default;
};
// Messages that wait to be written to a peer.
struct peer_queue
{
    host_name peer_;
    auto operator<=>(peer_queue const&) const = default;
};
// A message of a peer that comes in.
struct frame_in_progress
{
    host_name peer_;
    auto operator<=>(frame_in_progress const&) const = default;
};
// What the call node keeps: copies of answers, and queued requests.
struct kept_by_calls
{
    auto operator<=>(kept_by_calls const&) const = default;
};
using holding = std::variant<
    backend_exchange, request_in_progress, request_awaiting_answer,
    unread_answer, peer_queue, frame_in_progress, kept_by_calls>;

inline constexpr std::size_t holding_kinds = std::variant_size_v<holding>;

// Name of the kind with this place in `holding`, for logs and metrics.
std::string_view kind_text(std::size_t kind);

// --- On whose account --------------------------------------------------------

struct backend_party
{
    endpoint server_;
    auto operator<=>(backend_party const&) const = default;
};
struct caller_party
{
    std::string address_;
    auto operator<=>(caller_party const&) const = default;
};
struct peer_party
{
    host_name host_;
    auto operator<=>(peer_party const&) const = default;
};
struct own_party
{
    auto operator<=>(own_party const&) const = default;
};
using party = std::variant<backend_party, caller_party, peer_party, own_party>;

party party_of(holding const& h);

std::string to_text(party const& p);

// --- The ledger --------------------------------------------------------------

using holder_number = std::uint64_t;

// Holders of less are not counted, so that small messages cost nothing.
inline constexpr std::size_t least_counted_bytes = 4 << 10;

struct holder
{
    holding holding_;
    std::size_t bytes_ = 0;
    auto operator<=>(holder const&) const = default;
};

struct party_holdings
{
    std::size_t bytes_ = 0;
    std::set<std::pair<std::size_t, holder_number>> holders_; // by bytes
    auto operator<=>(party_holdings const&) const = default;
};

struct held_bytes
{
    std::map<holder_number, holder> holders_;
    std::map<party, party_holdings> parties_;
    std::set<std::pair<std::size_t, party>> by_bytes_;
    std::size_t total_ = 0;
    std::size_t peak_ = 0;
    auto operator<=>(held_bytes const&) const = default;
};

// Says what a holder has now, in place of what it had. 0 bytes: nothing.
held_bytes set_held(
    held_bytes h, holder_number number, holding const& what, std::size_t bytes);

// Who yields next: of the party that has most together, the holder that has
// most, and of equal ones the oldest. nullopt: nobody holds anything.
std::optional<holder_number> choose_yielding(held_bytes const& h);

} // namespace jackdawhall::loop
