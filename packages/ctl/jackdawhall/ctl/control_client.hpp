// Talks to the control hosts. A change is sent under one operation id to one
// host after the other until an outcome is known, so that a lost answer never
// makes it twice.
#pragma once

#include <string>
#include <vector>

#include <jackdawhall/model.hpp>
#include <jackdawhall/wire.hpp>

namespace jackdawhall::ctl
{

struct control_client
{
    std::vector<endpoint> hosts_;
    std::string token_;
    auto operator<=>(control_client const&) const = default;
};

// Attempts for one change, over all hosts.
inline constexpr int change_attempts = 4;

// GET of the first host that answers.
leaf::result<wire::json>
read(control_client const& client, std::string const& path);

// GET of every host; null for those that do not answer.
std::vector<wire::json>
read_each(control_client const& client, std::string const& path);

leaf::result<change_outcome>
submit(control_client const& client, change const& c);

} // namespace jackdawhall::ctl
