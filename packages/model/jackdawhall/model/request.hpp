// HTTP requests and answers, independent of any HTTP library.
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

// Returns the value of the first field called `name`, or an empty string.
std::string find_header(headers const& fields, std::string const& name);

// Returns the fields that may be forwarded to a backend server. Removes those
// of the call protocol, such as the key and the ticket; those that apply to one
// hop only (RFC 9110, section 7.6.1); and authorization, host, date and
// content-length.
headers remove_hop_by_hop_headers(headers const& fields);

struct request
{
    std::string method_;
    std::string path_; // includes the query
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

// Names of the header fields with which callers and backend servers talk to the
// daemon; see docs/CALLING.md.
inline constexpr char key_header[] = "jackdawhall-key";
inline constexpr char ticket_header[] = "jackdawhall-ticket";
inline constexpr char timeout_header[] = "jackdawhall-timeout-ms"; // time left
inline constexpr char idempotency_header[] = "idempotency-key";
inline constexpr char request_id_header[] = "x-request-id";
inline constexpr char verdict_header[] = "jackdawhall-verdict";
inline constexpr char reason_header[] = "jackdawhall-reason";

} // namespace jackdawhall
