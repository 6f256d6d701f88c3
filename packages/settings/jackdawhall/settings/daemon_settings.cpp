#include <jackdawhall/settings/daemon_settings.hpp>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

#include <jackdawhall/settings/check.hpp>

namespace jackdawhall::settings
{

namespace
{

constexpr std::size_t least_secret_characters = 16;
constexpr std::size_t most_control_hosts = 7;
constexpr std::uint32_t least_memory_mb = 64;
constexpr std::uint32_t most_memory_mb = 1 << 20;

void read_roles(check& c, YAML::Node const& map)
{
    YAML::Node const roles = map["roles"];
    if (!roles || !roles.IsSequence() || roles.size() == 0)
        return complain(
            c, roles ? roles : map, "roles", "is no list of roles",
            "write [call], [control] or [call, control]");
    for (YAML::Node const& role : roles)
    {
        std::string const name = role.IsScalar() ? role.Scalar() : "";
        if (name == "call")
            c.settings_.call_ = true;
        else if (name == "control")
            c.settings_.control_ = true;
        else
            complain(
                c, role, "roles", "'" + name + "' is not a role",
                "write call or control");
    }
}

void read_listen(check& c, YAML::Node const& map)
{
    YAML::Node const listen = map["listen"];
    if (!listen || !listen.IsMap())
        return complain(
            c, listen ? listen : map, "listen", "is missing or no map",
            "add callers, peers and operators under it");
    allow_only(c, listen, "listen.", {"callers", "peers", "operators"});
    daemon_settings& s = c.settings_;
    // With the section infrastructure, callers come by that section's address.
    if (!map["infrastructure"] || listen["callers"])
        s.callers_ = read_endpoint(c, listen, "callers", "listen.");
    s.peers_ = read_endpoint(c, listen, "peers", "listen.");
    s.operators_ = read_endpoint(c, listen, "operators", "listen.");
    std::set<endpoint> const distinct{s.callers_, s.peers_, s.operators_};
    if (s.callers_.port_ != 0 && distinct.size() != 3)
        complain(
            c, listen, "listen", "two addresses are the same",
            "give each its own port");
}

// Addresses of some control hosts; each host is named by its address, and all
// use the same port for peers.
void read_control_seeds(check& c, YAML::Node const& map)
{
    YAML::Node const seeds = map["control_seeds"];
    daemon_settings& s = c.settings_;
    s.control_hosts_learnt_ = true;
    if (map["control_hosts"])
        complain(
            c, map["control_hosts"], "control_hosts",
            "stands beside control_seeds", "keep one of them");
    if (!seeds.IsSequence() || seeds.size() == 0)
        return complain(
            c, seeds, "control_seeds", "is no list of addresses",
            "list the address of at least one control host");
    for (YAML::Node const& node : seeds)
    {
        std::optional<endpoint> const seed =
            node.IsScalar() ? parse_endpoint(node.Scalar()) : std::nullopt;
        if (!seed)
            complain(
                c, node, "control_seeds", "is not an address",
                "write an IPv4 number and a port");
        else
            s.control_hosts_.push_back(
                {host_name::make(seed->address_).value(),
                 {seed->address_, s.peers_.port_}});
    }
}

void read_control_hosts(check& c, YAML::Node const& map)
{
    YAML::Node const hosts = map["control_hosts"];
    if (map["control_seeds"])
        return read_control_seeds(c, map);
    if (!hosts || !hosts.IsSequence() || hosts.size() == 0)
        return complain(
            c, hosts ? hosts : map, "control_hosts", "is no list of hosts",
            "list host and peers of each control host");
    std::set<host_name> seen;
    for (YAML::Node const& node : hosts)
    {
        if (!node.IsMap())
        {
            complain(
                c, node, "control_hosts", "is no map",
                "write {host: NAME, peers: ADDRESS:PORT}");
            continue;
        }
        allow_only(c, node, "control_hosts.", {"host", "peers"});
        control_host const host{
            read_name<host_name>(c, node, "host"),
            read_endpoint(c, node, "peers", "control_hosts.")};
        if (!seen.insert(host.host_).second)
            complain(
                c, node, "control_hosts", "names a host twice",
                "name each host once");
        c.settings_.control_hosts_.push_back(host);
    }
    if (hosts.size() > most_control_hosts || hosts.size() % 2 == 0)
        complain(
            c, hosts, "control_hosts",
            std::to_string(hosts.size()) + " hosts make no good majority",
            "list 1, 3, 5 or 7 hosts");
}

// A secret that stands in the settings themselves, for places that keep no
// files of secrets.
std::optional<std::string>
read_inline_secret(check& c, YAML::Node const& map, std::string const& key)
{
    std::optional<std::string> const secret = scalar(c, map, key, false);
    if (secret && secret->size() < least_secret_characters)
        complain(
            c, map[key], key, "is a short secret",
            "write at least 16 random characters");
    return secret;
}

std::string read_secret(check& c, YAML::Node const& map, std::string const& key)
{
    if (std::optional<std::string> const here = read_inline_secret(
            c, map, key.substr(0, key.size() - std::strlen("_file"))))
        return *here;
    std::optional<std::string> const path = scalar(c, map, key, true);
    if (!path)
        return {};
    std::string const full =
        path->starts_with("/") ? *path : c.folder_ + "/" + *path;
    std::ifstream in(full);
    std::string secret;
    std::getline(in, secret);
    if (!in && secret.empty())
        complain(
            c, map[key], key, "the file " + full + " cannot be read",
            "create it with one line, readable by this user only");
    else if (secret.size() < least_secret_characters)
        complain(
            c, map[key], key, "the file " + full + " holds a short secret",
            "write at least 16 random characters on its first line");
    return secret;
}

void read_log(check& c, YAML::Node const& map)
{
    YAML::Node const log = map["log"];
    if (!log)
        return;
    if (!log.IsMap())
        return complain(
            c, log, "log", "is no map", "add level and format under it");
    allow_only(c, log, "log.", {"level", "format"});
    if (std::optional<std::string> const level = scalar(c, log, "level", false))
    {
        static std::set<std::string> const levels{
            "debug", "info", "warn", "error"};
        if (!levels.contains(*level))
            complain(
                c, log["level"], "log.level", "'" + *level + "' is no level",
                "write debug, info, warn or error");
        c.settings_.log_level_ = *level;
    }
    if (std::optional<std::string> const f = scalar(c, log, "format", false))
    {
        if (*f != "text" && *f != "json")
            complain(
                c, log["format"], "log.format", "'" + *f + "' is no format",
                "write text or json");
        c.settings_.log_format_ =
            *f == "json" ? log_format::json : log_format::text;
    }
}

void check_control_role(check& c, YAML::Node const& map)
{
    daemon_settings const& s = c.settings_;
    auto const own = std::find_if(
        s.control_hosts_.begin(), s.control_hosts_.end(),
        [&](control_host const& h) { return h.host_ == s.host_; });
    bool const listed = own != s.control_hosts_.end();
    if (s.control_ && !listed && !s.control_hosts_learnt_)
        complain(
            c, map, "control_hosts",
            "this host has the role control but is not listed",
            "list it, or remove the role");
    if (!s.control_ && listed && !s.control_hosts_learnt_)
        complain(
            c, map, "control_hosts",
            "this host is listed but has not the role control",
            "add the role, or remove it from the list");
    if (listed && own->peers_ != s.peers_)
        complain(
            c, map, "listen.peers", "differs from this host's control_hosts",
            "write the same address in both");
    if (s.control_ && s.data_folder_.empty())
        complain(
            c, map, "data_folder", "is missing for the role control",
            "name a folder on a disk");
    if (!s.control_ && !s.data_folder_.empty())
        complain(
            c, map["data_folder"], "data_folder",
            "has no use without the role control", "remove it");
}

void check_map(check& c, YAML::Node const& map)
{
    allow_only(
        c, map, "",
        {"host", "region", "zone", "roles", "listen", "control_hosts",
         "control_seeds", "first_start", "infrastructure", "data_folder",
         "fleet_secret", "fleet_secret_file", "operator_token",
         "operator_token_file", "log", "retries_per_request", "newest_schema",
         "max_connections", "memory_mb"});
    daemon_settings& s = c.settings_;
    s.host_ = read_name<host_name>(c, map, "host");
    s.location_.region_ = read_name<region_name>(c, map, "region");
    s.location_.zone_ = read_name<zone_name>(c, map, "zone");
    read_roles(c, map);
    read_listen(c, map);
    read_control_hosts(c, map);
    s.data_folder_ = scalar(c, map, "data_folder", false).value_or("");
    if (!s.data_folder_.empty() && !s.data_folder_.starts_with("/"))
        s.data_folder_ = c.folder_ + "/" + s.data_folder_;
    s.fleet_secret_ = read_secret(c, map, "fleet_secret_file");
    s.operator_token_ = read_secret(c, map, "operator_token_file");
    read_flag(c, map, "first_start", s.first_start_);
    if (map["infrastructure"])
        read_infrastructure(c, map);
    read_log(c, map);
    read_number(c, map, "retries_per_request", 0, 10, s.retries_);
    read_number(c, map, "newest_schema", 1, 3, s.newest_schema_);
    read_number(c, map, "max_connections", 16, 16384, s.max_connections_);
    read_number(
        c, map, "memory_mb", least_memory_mb, most_memory_mb, s.memory_mb_);
    check_control_role(c, map);
}

} // namespace

std::string to_text(std::string const& file, problem const& p)
{
    std::string text = file;
    if (p.line_ > 0)
        text += ":" + std::to_string(p.line_);
    if (!p.key_.empty())
        text += ": " + p.key_;
    return text + ": " + p.what_ + "; " + p.mend_;
}

checked_settings
check_settings(std::string const& text, std::string const& folder)
{
    check c;
    c.folder_ = folder;
    try
    {
        YAML::Node const map = YAML::Load(text);
        if (map.IsMap())
            check_map(c, map);
        else
            complain(
                c, map, "", "is no map of keys to values",
                "start from a file in examples/");
    }
    catch (YAML::Exception const& e)
    {
        c.problems_.push_back(
            {e.mark.is_null() ? 0 : e.mark.line + 1, "",
             "is not valid YAML: " + e.msg, "mend the line"});
    }
    return {std::move(c.settings_), std::move(c.problems_)};
}

checked_settings read_settings(std::string const& path)
{
    std::ifstream in(path);
    if (!in)
        return {
            {},
            {{0, "", "cannot be read", "name a settings file that exists"}}};
    std::ostringstream text;
    text << in.rdbuf();
    std::size_t const slash = path.rfind('/');
    return check_settings(
        text.str(), slash == std::string::npos ? "." : path.substr(0, slash));
}

} // namespace jackdawhall::settings
