#include <jackdawhall/settings/check.hpp>

#include <sstream>

namespace jackdawhall::settings
{

namespace
{

int line_of(YAML::Node const& node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

} // namespace

void complain(
    check& c, YAML::Node const& at, std::string key, std::string what,
    std::string mend)
{
    c.problems_.push_back(
        {line_of(at), std::move(key), std::move(what), std::move(mend)});
}

std::optional<std::string>
scalar(check& c, YAML::Node const& map, std::string const& key, bool required)
{
    YAML::Node const node = map[key];
    if (!node)
    {
        if (required)
            complain(c, map, key, "is missing", "add it");
        return std::nullopt;
    }
    if (!node.IsScalar())
    {
        complain(c, node, key, "is not a single value", "write one value");
        return std::nullopt;
    }
    return node.Scalar();
}

void allow_only(
    check& c, YAML::Node const& map, std::string const& where,
    std::set<std::string> const& allowed)
{
    for (auto const& item : map)
    {
        std::string const key = item.first.Scalar();
        if (allowed.contains(key))
            continue;
        std::string list;
        for (std::string const& name : allowed)
            list += (list.empty() ? "" : ", ") + name;
        complain(
            c, item.first, where + key, "is not a known key",
            "remove it, or write one of: " + list);
    }
}

bool is_ip_number(std::string const& text)
{
    int parts = 0;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, '.'); ++parts)
    {
        int value = -1;
        auto const end = part.data() + part.size();
        auto const [stop, error] = std::from_chars(part.data(), end, value);
        if (error != std::errc{} || stop != end || value < 0 || value > 255)
            return false;
    }
    return parts == 4 && text.back() != '.';
}

std::optional<endpoint> parse_endpoint(std::string const& text)
{
    std::size_t const colon = text.rfind(':');
    std::string const address = text.substr(0, colon);
    int port = 0;
    if (colon != std::string::npos)
        std::from_chars(
            text.data() + colon + 1, text.data() + text.size(), port);
    bool const digits = colon != std::string::npos &&
                        std::to_string(port) == text.substr(colon + 1);
    if (!digits || port < 1 || port > 65535 || !is_ip_number(address))
        return std::nullopt;
    return endpoint{address, static_cast<std::uint16_t>(port)};
}

endpoint read_endpoint(
    check& c, YAML::Node const& map, std::string const& key,
    std::string const& where)
{
    std::optional<std::string> const text = scalar(c, map, key, true);
    if (!text)
        return {};
    std::optional<endpoint> const parsed = parse_endpoint(*text);
    if (!parsed)
        complain(
            c, map[key], where + key, "'" + *text + "' is not an address",
            "write an IPv4 number and a port, such as 10.0.0.7:7070");
    return parsed.value_or(endpoint{});
}

namespace
{

template <class Number>
void read_value(
    check& c, YAML::Node const& map, std::string const& key, Number least,
    Number most, std::string const& mend, Number& into)
{
    std::optional<std::string> const text = scalar(c, map, key, false);
    if (!text)
        return;
    Number value = 0;
    auto const end = text->data() + text->size();
    auto const [stop, error] = std::from_chars(text->data(), end, value);
    if (error == std::errc{} && stop == end && value >= least && value <= most)
    {
        into = value;
        return;
    }
    complain(
        c, map[key], key, "'" + *text + "' is out of range or has a unit",
        mend + " from " + std::to_string(least) + " to " +
            std::to_string(most));
}

} // namespace

void read_number(
    check& c, YAML::Node const& map, std::string const& key,
    std::uint32_t least, std::uint32_t most, std::uint32_t& into)
{
    read_value(c, map, key, least, most, "write a whole number", into);
}

void read_fraction(
    check& c, YAML::Node const& map, std::string const& key, double least,
    double most, double& into)
{
    read_value(c, map, key, least, most, "write a number", into);
}

void read_flag(
    check& c, YAML::Node const& map, std::string const& key, bool& into)
{
    std::optional<std::string> const text = scalar(c, map, key, false);
    if (!text)
        return;
    if (*text != "true" && *text != "false")
        return complain(
            c, map[key], key, "'" + *text + "' is neither true nor false",
            "write true or false");
    into = *text == "true";
}

} // namespace jackdawhall::settings
