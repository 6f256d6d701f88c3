#include <jackdawhall/daemon/http_answer.hpp>

#include <nlohmann/json.hpp>

namespace jackdawhall::daemon
{

namespace
{

std::uint16_t status_of(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::malformed:
    case refusal_reason::idempotency_key_missing:
    case refusal_reason::idempotency_key_invalid:
    case refusal_reason::idempotency_key_too_new:
        return 400;
    case refusal_reason::key_missing:
    case refusal_reason::key_unknown:
    case refusal_reason::key_withdrawn:
        return 401;
    case refusal_reason::ticket_invalid:
    case refusal_reason::quarantined:
        return 403;
    case refusal_reason::no_route:
        return 404;
    case refusal_reason::too_large:
        return 413;
    case refusal_reason::idempotency_key_reused:
        return 422;
    case refusal_reason::rate_exceeded:
    case refusal_reason::retries_spent:
        return 429;
    case refusal_reason::deadline_passed:
        return 504;
    case refusal_reason::no_fresh_configuration:
    case refusal_reason::rate_unavailable:
    case refusal_reason::ledger_unavailable:
    case refusal_reason::no_server:
    case refusal_reason::shed_at_entry:
    case refusal_reason::shed_at_gate:
    case refusal_reason::server_draining:
    case refusal_reason::connect_failed:
    case refusal_reason::stopping:
    case refusal_reason::cancelled:
    case refusal_reason::overloaded:
    case refusal_reason::refused_by_server:
    case refusal_reason::server_replaced:
        return 503;
    }
    return 503;
}

std::uint16_t status_of(indeterminate_reason reason)
{
    switch (reason)
    {
    case indeterminate_reason::already_claimed:
    case indeterminate_reason::idempotency_key_expired:
        return 409;
    case indeterminate_reason::deadline_passed:
        return 504;
    case indeterminate_reason::connection_lost:
    case indeterminate_reason::answer_incomplete:
    case indeterminate_reason::answer_too_large:
    case indeterminate_reason::peer_lost:
    case indeterminate_reason::cancelled:
        return 502;
    }
    return 502;
}

answer without_run(
    std::uint16_t status, std::string const& verdict_text,
    std::string const& reason)
{
    nlohmann::json const body{{"verdict", verdict_text}, {"reason", reason}};
    answer a = json_answer(status, body.dump() + "\n");
    a.headers_.push_back({verdict_header, verdict_text});
    a.headers_.push_back({reason_header, reason});
    return a;
}

void add_retry_after(answer& a, duration retry_after)
{
    if (retry_after <= duration{0})
        return;
    auto const whole =
        std::chrono::ceil<std::chrono::seconds>(retry_after).count();
    auto const fine =
        std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
    a.headers_.push_back({"retry-after", std::to_string(whole)});
    a.headers_.push_back({"jackdawhall-retry-after-ms", std::to_string(fine)});
}

} // namespace

answer json_answer(std::uint16_t status, std::string body)
{
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

answer to_http(verdict v, std::string const& request_id)
{
    answer a = std::visit(
        overloaded{
            [](not_run const& n)
            {
                answer refused = without_run(
                    status_of(n.reason_), "not-run",
                    std::string(to_text(n.reason_)));
                add_retry_after(refused, n.retry_after_);
                return refused;
            },
            [](may_have_run const& m)
            {
                return without_run(
                    status_of(m.reason_), "may-have-run",
                    std::string(to_text(m.reason_)));
            },
            [](ran& r)
            {
                answer whole = std::move(r.answer_);
                whole.headers_.push_back({verdict_header, "ran"});
                return whole;
            },
        },
        v);
    std::erase_if(
        a.headers_,
        [](header const& field) { return field.name_ == request_id_header; });
    if (!request_id.empty())
        a.headers_.push_back({request_id_header, request_id});
    return a;
}

} // namespace jackdawhall::daemon
