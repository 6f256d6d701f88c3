// The product's own announce call: an odd announcement is refused as a whole.
#include <catch2/catch.hpp>

#include <jackdawhall/daemon/announcement.hpp>
#include <jackdawhall/wire.hpp>

using namespace jackdawhall;
using wire::json;

namespace
{

json const usual{{"id", "plans-1"},  {"service", "plans"},
                 {"slots", 4},       {"address", "10.0.0.9:8080"},
                 {"connections", 8}, {"calls", json::array({"payments"})}};

bool is_refused(std::string const& body)
{
    try
    {
        daemon::parse_announcement(body);
        return false;
    }
    catch (json::exception const&)
    {
        return true;
    }
}

bool refuses(char const* field, json const& value)
{
    json changed = usual;
    changed[field] = value;
    return is_refused(changed.dump());
}

} // namespace

TEST_CASE("the usual announcement is taken")
{
    CHECK_FALSE(is_refused(usual.dump()));
}

TEST_CASE("a deeply nested announcement is refused")
{
    std::size_t const levels = 100000;
    std::string const nested =
        std::string(levels, '[') + std::string(levels, ']');
    std::string body = usual.dump();
    body.insert(1, "\"notes\":" + nested + ",");
    CHECK(is_refused(body));
    body = usual.dump();
    std::string const calls = "[\"payments\"]";
    body.replace(body.find(calls), calls.size(), nested);
    CHECK(is_refused(body));
}

TEST_CASE("numbers out of range in an announcement are refused")
{
    for (json const& number :
         {json(0), json(-1), json(1.5), json(1e300), json(4294967296), json()})
    {
        CHECK(refuses("slots", number));
        CHECK(refuses("connections", number));
    }
}

TEST_CASE("an announced address that is no IPv4 address is refused")
{
    for (char const* address :
         {"10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:80x", "host:80", ":80",
          "10.0.0.256:80", "0.0.0.0:80", "[::1]:80", ""})
    {
        INFO(address);
        CHECK(refuses("address", address));
    }
}
