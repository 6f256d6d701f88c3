#include <jackdawhall/model/reason.hpp>

#include <array>

namespace jackdawhall
{

namespace
{

template <class Reason, std::size_t Size>
std::string_view
look_up(std::array<std::string_view, Size> const& texts, Reason reason)
{
    static_assert(Size == static_cast<std::size_t>(Reason::last_) + 1);
    return texts.at(static_cast<std::size_t>(reason));
}

} // namespace

std::string_view to_text(refusal_reason reason)
{
    static constexpr std::array<std::string_view, 28> texts{
        "malformed",
        "too_large",
        "no_route",
        "no_fresh_configuration",
        "key_missing",
        "key_unknown",
        "key_withdrawn",
        "ticket_invalid",
        "rate_exceeded",
        "rate_unavailable",
        "deadline_passed",
        "idempotency_key_missing",
        "idempotency_key_invalid",
        "idempotency_key_too_new",
        "idempotency_key_reused",
        "ledger_unavailable",
        "quarantined",
        "retries_spent",
        "no_server",
        "shed_at_entry",
        "shed_at_gate",
        "server_draining",
        "connect_failed",
        "stopping",
        "cancelled",
        "overloaded",
        "refused_by_server",
        "server_replaced",
    };
    return look_up(texts, reason);
}

std::string_view to_text(indeterminate_reason reason)
{
    static constexpr std::array<std::string_view, 8> texts{
        "connection_lost", "answer_incomplete", "answer_too_large",
        "deadline_passed", "already_claimed",   "idempotency_key_expired",
        "peer_lost",       "cancelled",
    };
    return look_up(texts, reason);
}

std::string_view to_text(retry_reason reason)
{
    static constexpr std::array<std::string_view, 5> texts{
        "refused_by_gate",   "connect_failed",    "repeatable_lost",
        "repeatable_failed", "refused_by_server",
    };
    return look_up(texts, reason);
}

} // namespace jackdawhall
