// A request and an answer, free of any HTTP library.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace jackdawhall
{

// Header field; the name is in lower case.
struct header
{
    std::string name_;
    std::string value_;
    auto operator<=>(header const&) const = default;
};

using headers = std::vector<header>;

// Value of the first field called `name`, or an empty text.
std::string find_header(headers const& fields, std::string const& name);

// The fields without those that a hop must not pass on: the key, the ticket,
// and the connection's own (RFC 9110, section 7.6.1).
headers remove_hop_by_hop_headers(headers const& fields);

struct request
{
    std::string method_;
    std::string path_; // with its query
    headers headers_;
    std::string body_;
    auto operator<=>(request const&) const = default;
};

struct answer
{
    std::uint16_t status_ = 0; // HTTP status code
    headers headers_;
    std::string body_;
    auto operator<=>(answer const&) const = default;
};

// Names of the header fields of the call protocol; docs/CALLING.md.
inline constexpr char key_header[] = "jackdawhall-key";
inline constexpr char ticket_header[] = "jackdawhall-ticket";
inline constexpr char deadline_header[] = "jackdawhall-timeout-ms";
inline constexpr char idempotency_header[] = "idempotency-key";
inline constexpr char request_id_header[] = "x-request-id";
inline constexpr char verdict_header[] = "jackdawhall-verdict";
inline constexpr char reason_header[] = "jackdawhall-reason";

} // namespace jackdawhall
