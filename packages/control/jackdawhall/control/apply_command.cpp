#include <jackdawhall/control/apply_command.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

// Keys older than the creation of this ledger are refused, since a previous
// ledger that was lost may have granted claims for them.
apply_step apply_voters(state_machine m, voters_command const& c)
{
    m.claims_horizon_ = std::max(m.claims_horizon_, c.when_);
    return {std::move(m), std::monostate{}};
}

} // namespace

apply_step apply_command(state_machine m, command const& c)
{
    return std::visit(
        overloaded{
            [&](no_op const&) {
                return apply_step{std::move(m), std::monostate{}};
            },
            [&](change_command const& cmd)
            { return apply_change(std::move(m), cmd); },
            [&](claim_command const& cmd)
            { return apply_claim(std::move(m), cmd); },
            [&](release_command const& cmd)
            { return apply_release(std::move(m), cmd); },
            [&](voters_command const& cmd)
            { return apply_voters(std::move(m), cmd); },
            [&](document_command const& cmd)
            { return apply_document(std::move(m), cmd); },
        },
        c);
}

} // namespace jackdawhall::control
