// What the words on the command line ask for.
#pragma once

#include <compare>
#include <string>
#include <variant>
#include <vector>

#include <jackdawhall/ctl/options.hpp>

namespace jackdawhall::ctl
{

struct list_records
{
    std::string kind_;
    std::vector<std::string> columns_;
    auto operator<=>(list_records const&) const = default;
};
struct remove_record
{
    record_key key_;
    auto operator<=>(remove_record const&) const = default;
};
struct set_account
{
    std::string name_;
    auto operator<=>(set_account const&) const = default;
};
struct create_key
{
    std::string account_;
    std::string key_;
    auto operator<=>(create_key const&) const = default;
};
struct withdraw_key
{
    std::string name_; // ACCOUNT/KEY
    auto operator<=>(withdraw_key const&) const = default;
};
struct set_route
{
    std::string name_;
    auto operator<=>(set_route const&) const = default;
};
struct set_rank
{
    std::string route_;
    rank rank_ = lowest_rank;
    auto operator<=>(set_rank const&) const = default;
};
struct drain_service
{
    std::string name_;
    bool draining_ = true;
    auto operator<=>(drain_service const&) const = default;
};
struct apply_file
{
    auto operator<=>(apply_file const&) const = default;
};
struct show_status
{
    auto operator<=>(show_status const&) const = default;
};
struct show_history
{
    auto operator<=>(show_history const&) const = default;
};
struct show_counters
{
    auto operator<=>(show_counters const&) const = default;
};
using command = std::variant<
    list_records, remove_record, set_account, create_key, withdraw_key,
    set_route, set_rank, drain_service, apply_file, show_status, show_history,
    show_counters>;

// Reads words such as {"key", "create", "acme", "first"}. Fails with
// user_error.
leaf::result<command>
parse_command(std::vector<std::string> const& words, options const& o);

leaf::error_id bad_usage(std::string const& what);

// What the commands are, for people.
std::string usage();

} // namespace jackdawhall::ctl
