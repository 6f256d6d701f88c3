// Settings of one daemon; see examples/ for commented files.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

#include <jackdawhall/model.hpp>

namespace jackdawhall::settings
{

enum class log_format
{
    text,
    json
};

struct control_host
{
    host_name host_;
    endpoint peers_;
    auto operator<=>(control_host const&) const = default;
};

// The users' infrastructure, on which a daemon may run: its addresses, and the
// bounds that it sets.
struct infrastructure
{
    endpoint callers_;   // for the role call
    endpoint readiness_; // for the role call
    endpoint orders_;    // of backend servers and operators
    endpoint backend_;   // the backend server beside this daemon
    service_name beside_;
    std::uint32_t lost_disks_ = 0;     // that must not lose an accepted change
    std::uint32_t revoke_ms_ = 5000;   // for a withdrawn key to be dead
    std::uint32_t in_force_ms_ = 5000; // for a change to be in force
    std::uint32_t grace_s_ = 30;       // from the stop signal to the kill
    double retry_share_ = 0.1; // of a service's requests, by all daemons
    double retry_slack_ = 0;   // retries beside that
    std::uint32_t retry_window_s_ = 10; // over which they count
    double rate_overage_ = 0;           // share by which a rate may be exceeded
    double rate_slack_ = 0;             // requests beside that
    std::uint32_t rate_window_s_ = 1;   // over which it counts
    auto operator<=>(infrastructure const&) const = default;
};

struct daemon_settings
{
    host_name host_;
    location location_;
    bool call_ = false;    // role
    bool control_ = false; // role
    endpoint callers_;     // HTTP, from callers and backend servers
    endpoint peers_;       // frames, from other daemons
    endpoint operators_;   // HTTP, from operators and monitoring
    std::vector<control_host> control_hosts_; // in order of preference
    // control_hosts_ are only some of them; the others are learnt.
    bool control_hosts_learnt_ = false;
    bool first_start_ = true; // whether this may be the first start of all
    std::optional<infrastructure> infrastructure_;
    std::string data_folder_;    // for the role control
    std::string fleet_secret_;   // at least 16 characters, from a file
    std::string operator_token_; // at least 16 characters, from a file
    std::string log_level_ = "info";
    log_format log_format_ = log_format::text;
    std::uint32_t retries_ = 3;       // of a request, over its whole chain
    std::uint32_t newest_schema_ = 3; // of configuration records
    std::uint32_t max_connections_ = 4096;
    std::uint32_t memory_mb_ = 160; // of the host, for this daemon
    auto operator<=>(daemon_settings const&) const = default;
};

// One error in a settings file.
struct problem
{
    int line_ = 0; // from 1; 0: the whole file
    std::string key_;
    std::string what_;
    std::string mend_;
    auto operator<=>(problem const&) const = default;
};

// "<file>:<line>: <key>: <what>; <mend>"
std::string to_text(std::string const& file, problem const& p);

struct checked_settings
{
    daemon_settings settings_;
    std::vector<problem> problems_; // empty: the settings can be used
    auto operator<=>(checked_settings const&) const = default;
};

// Checks the text of a settings file. Files that it names are read relative to
// `folder`.
checked_settings
check_settings(std::string const& text, std::string const& folder);

// Reads and checks a file.
checked_settings read_settings(std::string const& path);

} // namespace jackdawhall::settings
