// One check of a settings file in progress, and the readers of single values.
// Not for users of the package.
#pragma once

#include <charconv>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <jackdawhall/settings/daemon_settings.hpp>
#include <yaml-cpp/yaml.h>

namespace jackdawhall::settings
{

struct check
{
    daemon_settings settings_;
    std::vector<problem> problems_;
    std::string folder_;
};

void complain(
    check& c, YAML::Node const& at, std::string key, std::string what,
    std::string mend);

// Value of a key; a missing one is a problem only if it is required.
std::optional<std::string>
scalar(check& c, YAML::Node const& map, std::string const& key, bool required);

// Complains of keys that are not allowed. `where` goes before their names.
void allow_only(
    check& c, YAML::Node const& map, std::string const& where,
    std::set<std::string> const& allowed);

template <class Name>
Name read_name(check& c, YAML::Node const& map, std::string const& key)
{
    std::optional<std::string> const text = scalar(c, map, key, true);
    if (!text)
        return {};
    if (is_name(*text))
        return Name::make(*text).value();
    complain(
        c, map[key], key, "'" + *text + "' is not a name",
        "write 1 to 64 characters out of a-z 0-9 - _ .");
    return {};
}

bool is_ip_number(std::string const& text);

// Nothing if `text` is no IPv4 number with a port.
std::optional<endpoint> parse_endpoint(std::string const& text);

endpoint read_endpoint(
    check& c, YAML::Node const& map, std::string const& key,
    std::string const& where);

void read_number(
    check& c, YAML::Node const& map, std::string const& key,
    std::uint32_t least, std::uint32_t most, std::uint32_t& into);

// A number that may have a fraction.
void read_fraction(
    check& c, YAML::Node const& map, std::string const& key, double least,
    double most, double& into);

void read_flag(
    check& c, YAML::Node const& map, std::string const& key, bool& into);

// The section for the users' infrastructure.
void read_infrastructure(check& c, YAML::Node const& map);

} // namespace jackdawhall::settings
