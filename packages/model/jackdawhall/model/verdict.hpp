// Outcome of a request. not_run is returned only with proof; a connection that
// broke after the first byte was sent gives may_have_run.
#pragma once

#include <compare>
#include <variant>

#include <jackdawhall/model/reason.hpp>
#include <jackdawhall/model/request.hpp>
#include <jackdawhall/model/time.hpp>

namespace jackdawhall
{

// The request did not run and will not run.
struct not_run
{
    refusal_reason reason_;
    duration retry_after_{0}; // 0: sending it again unchanged is pointless
    auto operator<=>(not_run const&) const = default;
};

// The request may have run or may still run.
struct may_have_run
{
    indeterminate_reason reason_;
    auto operator<=>(may_have_run const&) const = default;
};

// The request ran and returned this complete answer.
struct ran
{
    answer answer_;
    auto operator<=>(ran const&) const = default;
};

using verdict = std::variant<not_run, may_have_run, ran>;

// Visitor composed of lambdas, one for each alternative.
template <class... Visitors>
struct overloaded : Visitors...
{
    using Visitors::operator()...;
};
template <class... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace jackdawhall
