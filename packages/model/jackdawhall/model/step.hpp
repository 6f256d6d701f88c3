// Result of a decision: the next state and the effects, which the front end
// carries out in order.
#pragma once

#include <iterator>
#include <utility>
#include <vector>

namespace jackdawhall
{

template <class State, class Effect>
struct step
{
    State state_;
    std::vector<Effect> effects_;
};

} // namespace jackdawhall
