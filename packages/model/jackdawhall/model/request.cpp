#include <jackdawhall/model/request.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace jackdawhall
{

namespace
{

constexpr std::array<std::string_view, 15> hop_by_hop_headers{
    key_header,    ticket_header,   timeout_header,      verdict_header,
    reason_header, "authorization", "connection",        "keep-alive",
    "te",          "trailer",       "transfer-encoding", "upgrade",
    "host",        "date",          "content-length"};

bool is_hop_by_hop_header(header const& field)
{
    return std::find(
               hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
               field.name_) != hop_by_hop_headers.end();
}

} // namespace

std::string find_header(headers const& fields, std::string const& name)
{
    auto const found = std::find_if(
        fields.begin(), fields.end(),
        [&](header const& field) { return field.name_ == name; });
    return found == fields.end() ? std::string{} : found->value_;
}

headers remove_hop_by_hop_headers(headers const& fields)
{
    headers kept;
    std::remove_copy_if(
        fields.begin(), fields.end(), std::back_inserter(kept),
        is_hop_by_hop_header);
    return kept;
}

} // namespace jackdawhall
