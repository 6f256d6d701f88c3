#include <jackdawhall/loop/backend_answer.hpp>

#include <charconv>

#include <jackdawhall/loop/http_message.hpp>

namespace jackdawhall::loop
{

namespace
{

// Status codes of HTTP; anything else is no answer.
constexpr std::uint16_t least_status = 100;
constexpr std::uint16_t least_final_status = 200;
constexpr std::uint16_t least_redirection = 300;
constexpr std::uint16_t most_status = 599;

} // namespace

owner owner_of(answer const& a, answer_rules const& rules, bool alone)
{
    if (a.status_ < least_status || a.status_ > most_status)
        return owner::unknown;
    if (a.status_ < least_final_status)
        return owner::other;
    if (rules.echoed_name_.empty())
        return owner::this_run;
    std::string const id = find_header(a.headers_, rules.echoed_name_);
    if (id.empty())
        return alone ? owner::this_run : owner::unknown;
    return id == rules.echoed_value_ ? owner::this_run : owner::other;
}

bool is_success(answer const& a)
{
    return a.status_ >= least_final_status && a.status_ < least_redirection;
}

indeterminate_reason reason_of(boost::beast::error_code const& error)
{
    if (error == http::error::body_limit || error == http::error::header_limit)
        return indeterminate_reason::answer_too_large;
    return indeterminate_reason::answer_incomplete;
}

std::optional<duration> keep_alive_time(std::string const& field)
{
    std::size_t const at = field.find("timeout=");
    if (at == std::string::npos)
        return std::nullopt;
    char const* const first = field.data() + at + 8;
    std::uint32_t seconds = 0;
    auto const [stop, error] =
        std::from_chars(first, field.data() + field.size(), seconds);
    if (error != std::errc{})
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace jackdawhall::loop
