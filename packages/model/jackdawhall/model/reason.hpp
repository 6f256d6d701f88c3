// Reasons for refusals, indeterminate outcomes and retries. Each reason has a
// counter. Messages carry the number of an enumerator and `last_` bounds it, so
// new reasons are appended.
#pragma once

#include <cstdint>
#include <string_view>

namespace jackdawhall
{

// Reasons for which a request did not run. Used only with proof: no byte of the
// request reached a backend server, or the server that received it states that
// it did not execute it (refused_by_server, server_replaced).
enum class refusal_reason : std::uint8_t
{
    malformed,
    too_large,
    no_route,
    no_fresh_configuration,
    key_missing,
    key_unknown,
    key_withdrawn,
    ticket_invalid,
    rate_exceeded,
    rate_unavailable,
    deadline_passed,
    idempotency_key_missing,
    idempotency_key_invalid,
    idempotency_key_too_new,
    idempotency_key_reused,
    ledger_unavailable,
    quarantined,
    retries_spent,
    no_server,
    shed_at_entry,
    shed_at_gate,
    server_draining,
    connect_failed,
    stopping,
    cancelled,
    overloaded,
    refused_by_server,
    server_replaced,
    last_ = server_replaced
};

// Reasons for which it cannot be determined whether a request ran.
enum class indeterminate_reason : std::uint8_t
{
    connection_lost,
    answer_incomplete,
    answer_too_large,
    deadline_passed,
    already_claimed,
    idempotency_key_expired,
    peer_lost,
    cancelled,
    last_ = cancelled
};

// Reasons for which a daemon retries a request.
enum class retry_reason : std::uint8_t
{
    refused_by_gate,
    connect_failed,
    repeatable_lost,   // a repeatable request whose outcome is indeterminate
    repeatable_failed, // a repeatable request that the server shed with a 503
    refused_by_server, // includes server_replaced
    last_ = refused_by_server
};

std::string_view to_text(refusal_reason reason);
std::string_view to_text(indeterminate_reason reason);
std::string_view to_text(retry_reason reason);

} // namespace jackdawhall
