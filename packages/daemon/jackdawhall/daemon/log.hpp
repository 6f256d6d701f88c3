// Structured logs by spdlog. Each line is a short sentence with the prefix of
// its part; fields follow it. Never a key or a ticket.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <jackdawhall/settings.hpp>

namespace jackdawhall::daemon
{

enum class part
{
    daemon,
    calls,
    control,
    peers,
    operators
};

enum class severity
{
    debug,
    info,
    warn,
    error
};

using log_fields = std::vector<std::pair<std::string, std::string>>;

void set_up_log(settings::daemon_settings const& s);

void log(
    severity level, part from, std::string const& sentence,
    log_fields const& fields = {});

} // namespace jackdawhall::daemon
