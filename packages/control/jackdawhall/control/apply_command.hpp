// Applies a committed command to the machine. Deterministic: every control host
// reaches the same machine and the same outcome.
#pragma once

#include <variant>

#include <jackdawhall/control/machine.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::control
{

struct change_applied
{
    std::string operation_id_;
    change_outcome outcome_;
    auto operator<=>(change_applied const&) const = default;
};

// Outcome of a command for whoever waits for it; nothing for a no_op.
using apply_result = std::variant<
    std::monostate, change_applied, claim_response, claim_released>;

struct apply_step
{
    state_machine machine_;
    apply_result applied_;
};

apply_step apply_command(state_machine m, command const& c);

// Applies a change: a resend of a known operation gets its first outcome, a
// stale expected revision is a conflict, and all edits are made or none.
apply_step apply_change(state_machine m, change_command const& c);

// Replaces the document, if it was made from the present one. A document that
// was accepted before gets its first outcome, also when others followed it.
apply_step apply_document(state_machine m, document_command const& c);

// Operation id under which a document is known.
std::string document_operation_id(document const& d);

// Names the document in a conflict.
record_key document_key();

// Says what is wrong with a document as such; nothing if it can be applied.
std::optional<rejected> check_document(document const& d);

// Grants a claim once. The ledger's horizon only moves forward, and every key
// older than the horizon is refused, so that forgetting a claim is safe.
apply_step apply_claim(state_machine m, claim_command const& c);

// Gives a claim back, if it is held by the very run that releases it.
apply_step apply_release(state_machine m, release_command const& c);

// Says what is wrong with an edit as such; nothing if it can be applied.
std::optional<rejected> check_edit(edit const& e);

} // namespace jackdawhall::control
