#include <jackdawhall/model/request.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace jackdawhall
{

namespace
{

constexpr std::array<std::string_view, 15> hop_fields{
    key_header,    ticket_header,   deadline_header,     verdict_header,
    reason_header, "authorization", "connection",        "keep-alive",
    "te",          "trailer",       "transfer-encoding", "upgrade",
    "host",        "date",          "content-length"};

bool is_hop_field(header const& field)
{
    return std::find(hop_fields.begin(), hop_fields.end(), field.name_) !=
           hop_fields.end();
}

} // namespace

std::string find_header(headers const& fields, std::string const& name)
{
    auto const found = std::find_if(
        fields.begin(), fields.end(),
        [&](header const& field) { return field.name_ == name; });
    return found == fields.end() ? std::string{} : found->value_;
}

headers without_hop_fields(headers const& fields)
{
    headers kept;
    std::remove_copy_if(
        fields.begin(), fields.end(), std::back_inserter(kept), is_hop_field);
    return kept;
}

} // namespace jackdawhall
