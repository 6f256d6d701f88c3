// Errors reported through Boost.LEAF. A user_error tells the user what to
// change; an internal_error indicates a bug or a platform failure.
#pragma once

#include <boost/leaf.hpp>
#include <string>

namespace jackdawhall
{

namespace leaf = boost::leaf;

// Invalid input from outside the process.
struct user_error
{
    std::string what_; // description of the problem
    std::string mend_; // what to write or do instead; JSON key "mend"
    auto operator<=>(user_error const&) const = default;
};

// A violated invariant of this program, or a failure of the platform.
struct internal_error
{
    std::string what_;
    auto operator<=>(internal_error const&) const = default;
};

} // namespace jackdawhall
