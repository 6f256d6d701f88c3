// Filters that depend only on the request and on the run that made it.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

bool is_valid_method(std::string const& method)
{
    return !method.empty() && method.size() <= 16 &&
           std::all_of(
               method.begin(), method.end(),
               [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool is_printable(std::string const& text)
{
    return std::all_of(
        text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::size_t size_of(headers const& fields)
{
    std::size_t size = 0;
    for (header const& field : fields)
        size += field.name_.size() + field.value_.size();
    return size;
}

// Returns the id of a root call: the request id that the caller gave if it is
// valid, otherwise a random one.
std::string root_id(entry_call const& c, random_source& random)
{
    std::string const given =
        find_header(c.request_.headers_, request_id_header);
    if (!given.empty() && given.size() <= 128 && is_printable(given))
        return given;
    return random.hex(16);
}

// Takes half of the run's remaining retries, rounded up, for one of its calls.
// The call returns those that it did not use when it ends.
std::uint32_t delegate_retries(gate_run& run)
{
    std::uint32_t const delegated = (run.retries_left_ + 1) / 2;
    run.retries_left_ -= delegated;
    return delegated;
}

pipeline_context start_root_call(pipeline_context p)
{
    p.call_.context_.root_ = root_id(p.call_, p.state_->random_);
    p.call_.context_.caller_ = p.state_->settings_.beside_;
    p.call_.retries_left_ = p.state_->settings_.retries_;
    return p;
}

} // namespace

std::string virtual_host_of(request const& r)
{
    std::string host = find_header(r.headers_, "host");
    host.resize(std::min(host.size(), host.find(':')));
    std::transform(
        host.begin(), host.end(), host.begin(),
        [](char c) { return c >= 'A' && c <= 'Z' ? char(c + 32) : c; });
    return host;
}

pipeline_context validate_request(pipeline_context p)
{
    request const& r = p.call_.request_;
    if (p.state_->calls_.size() >= max_calls)
        return refuse(
            std::move(p), refusal_reason::overloaded, std::chrono::seconds(1));
    if (r.body_.size() > max_body_bytes || r.path_.size() > max_path_bytes ||
        size_of(r.headers_) > max_header_bytes)
        return refuse(std::move(p), refusal_reason::too_large);
    if (!is_valid_method(r.method_) || r.path_.empty() ||
        r.path_.front() != '/' || !is_printable(r.path_))
        return refuse(std::move(p), refusal_reason::malformed);
    return p;
}

pipeline_context accept_ticket(pipeline_context p)
{
    std::string const ticket =
        find_header(p.call_.request_.headers_, ticket_header);
    if (ticket.empty())
        return start_root_call(std::move(p));
    auto const known = p.state_->run_of_ticket_.find(ticket);
    if (known == p.state_->run_of_ticket_.end())
        return refuse(std::move(p), refusal_reason::ticket_invalid);
    gate_run& run = p.state_->runs_.at(known->second);
    if (p.at_.now_ >= run.deadline_ || run.context_.depth_ >= max_depth)
        return refuse(std::move(p), refusal_reason::deadline_passed);
    p.call_.context_ = run.context_;
    ++p.call_.context_.depth_;
    p.call_.deadline_ = run.deadline_;
    p.call_.parent_ = run.number_;
    p.call_.retries_left_ = delegate_retries(run);
    if (run.calls_in_progress_++ == 0)
        run.calling_since_ = p.at_.now_;
    return p;
}

pipeline_context set_deadline(pipeline_context p)
{
    std::string const text =
        find_header(p.call_.request_.headers_, timeout_header);
    if (text.empty())
        return p;
    bool const valid =
        text.size() <= 7 && std::all_of(
                                text.begin(), text.end(),
                                [](char c) { return c >= '0' && c <= '9'; });
    if (!valid)
        return refuse(std::move(p), refusal_reason::malformed);
    instant const wanted =
        p.call_.created_at_ + std::chrono::milliseconds(std::stol(text));
    p.call_.deadline_ = std::min(p.call_.deadline_, wanted);
    if (p.at_.now_ >= p.call_.deadline_)
        return refuse(std::move(p), refusal_reason::deadline_passed);
    return p;
}

pipeline_context check_idempotency_key(pipeline_context p)
{
    entry_call& c = p.call_;
    std::string const key =
        find_header(c.request_.headers_, idempotency_header);
    std::string const identity =
        c.context_.account_.str() + "|" + c.context_.caller_.str() + "|" +
        c.request_.method_ + "|" + c.request_.path_ + "|" + key + "|";
    c.suspect_ =
        fingerprint(key.empty() ? identity + c.request_.body_ : identity);
    if (!c.needs_idempotency_key_)
        return p;
    if (key.empty())
        return refuse(std::move(p), refusal_reason::idempotency_key_missing);
    if (!uuid_time(key))
        return refuse(std::move(p), refusal_reason::idempotency_key_invalid);
    std::string const body_hash = fingerprint(
        c.request_.method_ + "|" + c.request_.path_ + "|" + c.request_.body_);
    c.claim_ = held_claim{
        {c.context_.account_, key},
        body_hash,
        p.state_->random_.hex(16),
        false};
    return p;
}

} // namespace jackdawhall::calls
