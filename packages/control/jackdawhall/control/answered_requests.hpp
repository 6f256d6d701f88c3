// What a control host remembers of the requests that other hosts forwarded to
// it and that it has answered: a request that arrives again is answered with
// the same outcome, not proposed a second time. Bounded in count and time.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

inline constexpr std::size_t max_answered_requests = 4096;
// Longest time that a copy of a request may be on its way.
inline constexpr duration answered_request_lifetime = std::chrono::minutes(1);

// Host of the requester, and the request's number there.
using request_key = std::pair<host_name, std::uint64_t>;

struct answered_request
{
    change_response response_;
    instant at_;
    auto operator<=>(answered_request const&) const = default;
};

struct answered_requests
{
    std::map<request_key, answered_request> answers_;
    std::deque<request_key> oldest_first_;
    auto operator<=>(answered_requests const&) const = default;
};

// Remembers the answer to a request; the first one, if it has several.
answered_requests remember_answer(
    answered_requests known, request_key const& key, change_response response,
    instant now);

// Returns nullptr if no answer is remembered.
change_response const*
find_answer(answered_requests const& known, request_key const& key);

// The answers to the requests of a host that were given at `since` or later.
std::vector<change_response> answers_since(
    answered_requests const& known, host_name const& requester, instant since);

} // namespace jackdawhall::control
