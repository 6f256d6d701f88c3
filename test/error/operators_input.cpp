// What operators send as JSON: each wrong field is refused with a mend.
#include <catch2/catch.hpp>

#include <jackdawhall/wire.hpp>

using namespace jackdawhall;
using wire::json;

namespace
{

json const route{{"kind", "route"},    {"name", "plans"}, {"path", "/plans"},
                 {"service", "plans"}, {"rank", 3},       {"repeatable", true}};

bool is_refused(json const& value)
{
    return !wire::record_from_json(value);
}

} // namespace

TEST_CASE("a record comes back from its JSON")
{
    auto const made = wire::record_from_json(route).value();
    record const r{made.first, 7, made.second};
    json const again = wire::to_json(r);
    CHECK(again.at("revision") == 7);
    CHECK(wire::record_from_json(again).value() == made);
}

TEST_CASE("wrong fields are refused")
{
    json value = route;
    SECTION("unknown field")
    {
        value["pth"] = "/x";
    }
    SECTION("wrong type")
    {
        value["rank"] = "3";
    }
    SECTION("rank out of range")
    {
        value["rank"] = 10;
    }
    SECTION("missing")
    {
        value.erase("service");
    }
    SECTION("unknown kind")
    {
        value["kind"] = "rout";
    }
    SECTION("unknown schema")
    {
        value["schema"] = 4;
    }
    SECTION("no name of a service")
    {
        value["service"] = "Plans!";
    }
    CHECK(is_refused(value));
}

TEST_CASE("a key's hash is not shown")
{
    record const key{
        {"key", "acme/first", 1},
        1,
        key_v1{name_literal<account_name>("acme"), "salt", "hash", false}};
    std::string const text = wire::to_json(key).dump();
    CHECK(text.find("hash") == std::string::npos);
    CHECK(text.find("salt") == std::string::npos);
}

TEST_CASE("a change comes back from its JSON, and outcomes too")
{
    change const c{
        "op",
        "anne",
        {{{"account", "a", 1}, 3, account_v1{1500, 2}},
         {{"account", "b", 1}, 4, std::nullopt}}};
    CHECK(wire::change_from_json(wire::to_json(c)).value() == c);
    for (change_outcome const& o :
         {change_outcome{accepted{4}},
          change_outcome{conflict{{"account", "a", 1}, 2}},
          change_outcome{rejected{"w", "m"}},
          change_outcome{unknown_outcome{"w"}}})
        CHECK(wire::outcome_from_json(wire::to_json(o)).value() == o);
}

TEST_CASE("generated JSON is refused without a crash")
{
    random_source random(5);
    std::string const good =
        json{
            {"operation_id", "a"},
            {"author", "b"},
            {"edits",
             json::array({json{{"expected_revision", 0}, {"record", route}}})}}
            .dump();
    int refused = 0;
    for (int i = 0; i < 3000; ++i)
    {
        std::string text = good;
        for (int k = 0; k < 3; ++k)
            text[random.below(text.size())] =
                static_cast<char>(random.below(256));
        json const value = json::parse(text, nullptr, false);
        refused += wire::change_from_json(value) ? 0 : 1;
    }
    CHECK(refused > 2500);
}
