// The commands. Each reads what it needs, submits at most one change, and
// returns the exit status.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

#include <jackdawhall/ctl/control_client.hpp>
#include <jackdawhall/ctl/options.hpp>

namespace jackdawhall::ctl
{

// Exit statuses; docs/OPERATING.md.
inline constexpr int done_status = 0;
inline constexpr int refused_status = 1;     // conflict or rejected
inline constexpr int usage_status = 2;       // wrong arguments or file
inline constexpr int unreachable_status = 3; // no control host answered
inline constexpr int unknown_status = 4;     // the change may have been made

// Runs the command in `words`, such as {"key", "create", "acme", "first"}.
leaf::result<int> run_command(
    control_client const& client, std::vector<std::string> const& words,
    options const& o, std::ostream& out);

} // namespace jackdawhall::ctl
