// Reads from the answer of a backend server which run it belongs to, and how
// long its connection may be kept. Not for users of the package.
#pragma once

#include <optional>
#include <string>

#include <boost/beast/core/error.hpp>
#include <jackdawhall/loop/backend_client.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

enum class owner
{
    this_run,
    other,  // another run, or none: an informational answer
    unknown // it may be a late answer to an earlier request
};

// `alone`: the connection has carried no other run and no other answer, so
// that an answer without an id belongs to this one.
owner owner_of(answer const& a, answer_rules const& rules, bool alone);

bool is_success(answer const& a);

// Why an answer that could not be read leaves its run in doubt.
indeterminate_reason reason_of(boost::beast::error_code const& error);

// Seconds of "timeout=N" in a Keep-Alive field.
std::optional<duration> keep_alive_time(std::string const& field);

} // namespace jackdawhall::loop
