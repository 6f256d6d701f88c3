// Requests and answers as HTTP/1.1 text, by the parsers and serializers of
// Boost.Beast. Not for users of the package.
#pragma once

#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

namespace http = boost::beast::http;

using request_parser = http::request_parser<http::string_body>;
using response_parser = http::response_parser<http::string_body>;

// Bytes of a message for each byte of its body, beyond its header: a body in
// chunks of one byte stays below.
inline constexpr std::size_t max_bytes_per_body_byte = 8;

// Says whether a message has too many bytes that are not its body. The parser
// itself limits neither all header fields together nor the lines of chunks.
// `taken` counts the bytes that the parser took, `waiting` those it left.
template <class Parser>
bool has_excess_framing(
    Parser const& parser, std::size_t taken, std::size_t waiting,
    std::size_t header_limit)
{
    if (parser.is_done())
        return false;
    if (!parser.is_header_done())
        return taken + waiting > header_limit;
    std::size_t const body = parser.get().body().size();
    return waiting > header_limit ||
           taken > 2 * header_limit + body * max_bytes_per_body_byte;
}

// Gives the parser what is in `in`, removes what it took and adds its size to
// `taken_before`. Returns the parser's error, or header_limit for excess
// framing; an error that means "more bytes are needed" counts as none.
template <class Parser>
boost::beast::error_code feed(
    Parser& parser, std::string& in, std::size_t& taken_before,
    std::size_t header_limit)
{
    boost::beast::error_code error;
    std::size_t taken = 0;
    while (taken < in.size() && !parser.is_done())
    {
        std::size_t const n = parser.put(
            boost::asio::buffer(in.data() + taken, in.size() - taken), error);
        taken += n;
        if (error || n == 0)
            break;
    }
    in.erase(0, taken);
    taken_before += taken;
    if (error == http::error::need_more)
        error = {};
    if (!error &&
        has_excess_framing(parser, taken_before, in.size(), header_limit))
        error = http::error::header_limit;
    return error;
}

// Header fields, with names in lower case.
headers headers_of(http::fields const& from);

// Text of a request to `host`; a body gets its length.
std::string to_text(request const& r, endpoint const& host);

// Text of an answer to a request by `method`. `last` announces that the
// connection is closed after it.
std::string to_text(answer const& a, std::string const& method, bool last);

} // namespace jackdawhall::loop
