// What is said to those that wait for a control node which has ended: they ask
// another host at once, instead of after a timeout.
#include <jackdawhall/control/pipeline_context.hpp>

namespace jackdawhall::control
{

namespace
{

change_outcome no_node()
{
    return unknown_outcome{"no control node runs here now"};
}

} // namespace

effects abandon_changes(state const& s)
{
    effects told;
    for (auto const& [operation, waiter] : s.waiters_)
        told.push_back(tell_outcome(operation, waiter, no_node()));
    return told;
}

std::optional<outgoing> answer_without_node(message const& m)
{
    using result = std::optional<outgoing>;
    return std::visit(
        overloaded{
            [](change_request const& r) -> result
            {
                return outgoing{
                    r.requester_,
                    change_response{
                        r.number_, no_node(), r.change_.operation_id_}};
            },
            [](document_request const& r) -> result
            {
                return outgoing{
                    r.requester_, change_response{
                                      r.number_, no_node(),
                                      document_operation_id(r.document_)}};
            },
            [](resent_document const& r) -> result
            { return answer_without_node(r.request_); },
            [](auto const&) -> result { return std::nullopt; },
        },
        m);
}

} // namespace jackdawhall::control
