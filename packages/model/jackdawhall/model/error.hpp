// Errors passed through Boost.LEAF. A user error says what the user should
// change; an internal error says that we have a bug.
#pragma once

#include <boost/leaf.hpp>
#include <string>

namespace jackdawhall
{

namespace leaf = boost::leaf;

// An input from outside was wrong.
struct user_error
{
    std::string what_; // what is wrong
    std::string mend_; // what to write or do instead
    auto operator<=>(user_error const&) const = default;
};

// An invariant of this program was broken, or its platform failed.
struct internal_error
{
    std::string what_;
    auto operator<=>(internal_error const&) const = default;
};

} // namespace jackdawhall
