// What a backend server says of itself to the daemon beside it, by the
// product's own call.
#pragma once

#include <string>

#include <jackdawhall/calls.hpp>

namespace jackdawhall::daemon
{

// Throws json::exception if the body is not a whole, valid announcement.
calls::announcement parse_announcement(std::string const& body);

} // namespace jackdawhall::daemon
