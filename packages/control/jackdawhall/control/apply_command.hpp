// Applies committed commands to the state machine. Deterministic: every control
// host reaches the same state and the same outcome.
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

// Outcome of a command, for the requester that waits for it. std::monostate for
// a no_op or a voters_command.
using apply_result = std::variant<
    std::monostate, change_applied, claim_response, claim_released>;

struct apply_step
{
    state_machine machine_;
    apply_result applied_;
};

apply_step apply_command(state_machine m, command const& c);

// Applies a change atomically: either all of its edits or none. A resent
// operation returns its first outcome, and a stale expected revision is a
// conflict.
apply_step apply_change(state_machine m, change_command const& c);

// Replaces the document if the new one is based on the current version.
// Resending a document that was accepted before returns its first outcome, even
// if later documents have replaced it.
apply_step apply_document(state_machine m, document_command const& c);

// Operation id under which the outcome of a document is stored.
std::string document_operation_id(document const& d);

// Key that stands for the document in a conflict.
record_key document_key();

// Checks a document independently of the state machine. Empty if it is valid.
std::optional<rejected> check_document(document const& d);

// Grants a claim at most once. The ledger's horizon only moves forward, and
// every key older than the horizon is refused, so dropping expired claims is
// safe.
apply_step apply_claim(state_machine m, claim_command const& c);

// Releases a claim if it is held by the run that asks for the release.
apply_step apply_release(state_machine m, release_command const& c);

// Checks an edit independently of the state machine. Empty if it is valid.
std::optional<rejected> check_edit(edit const& e);

} // namespace jackdawhall::control
