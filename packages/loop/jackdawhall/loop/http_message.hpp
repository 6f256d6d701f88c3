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

// Gives the parser what is in `in`, and removes what it took. Returns the
// parser's error; one that means "more bytes are needed" counts as none.
template <class Parser>
boost::beast::error_code feed(Parser& parser, std::string& in)
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
    if (error == http::error::need_more)
        error = {};
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
