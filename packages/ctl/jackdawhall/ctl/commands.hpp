// The commands. Each reads what it needs, submits at most one change, and
// returns the exit status.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include <jackdawhall/ctl/control_client.hpp>

namespace jackdawhall::ctl
{

// Exit statuses; docs/OPERATING.md.
inline constexpr int done_status = 0;
inline constexpr int refused_status = 1;     // conflict or rejected
inline constexpr int usage_status = 2;       // wrong arguments or file
inline constexpr int unreachable_status = 3; // no control host answered
inline constexpr int unknown_status = 4;     // the change may have been made

// Values of the flags that commands use.
struct options
{
    bool json_ = false; // output
    std::string operation_id_;
    std::string author_;
    std::optional<revision> expected_; // instead of the revision read
    bool dry_run_ = false;
    bool wait_ = false; // until the change is in force everywhere
    std::string file_;
    std::optional<double> rate_; // requests per second
    std::optional<std::int64_t> burst_;
    std::optional<std::int64_t> retry_percent_;
    std::uint32_t schema_ = 1;
    std::string method_;
    std::string path_;
    std::string service_;
    std::optional<std::int64_t> rank_;
    bool open_ = false;
    bool repeatable_ = false;
    std::int64_t timeout_ms_ = 1000;
};

// Runs the command in `words`, such as {"key", "create", "acme", "first"}.
leaf::result<int> run_command(
    control_client const& client, std::vector<std::string> const& words,
    options const& o, std::ostream& out);

// What the commands are, for people.
std::string usage();

} // namespace jackdawhall::ctl
