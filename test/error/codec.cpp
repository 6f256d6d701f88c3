// Messages come back as they were; anything else is refused without a crash.
#include <catch2/catch.hpp>

#include <jackdawhall/wire.hpp>

using namespace jackdawhall;

namespace
{

host_name const host = name_literal<host_name>("host-1");

std::vector<message> some_messages()
{
    voter const v{host, 77};
    record const unknown{{"account", "acme", 9}, 4, unknown_record{"\1\2"}};
    record const route{
        {"route", "plans", 1},
        5,
        route_v1{
            "GET", "/plans", name_literal<service_name>("plans"), 3, false,
            true, 250}};
    change const c{
        "op",
        "anne",
        {{{"account", "acme", 2}, 1, account_v2{1500, 3, 20}},
         {{"account", "old", 1}, 2, std::nullopt}}};
    call_context context;
    context.root_ = "root";
    context.timeout_ = std::chrono::milliseconds(900);
    request const r{"POST", "/p?q=1", {{"a", "b"}}, std::string("\0x", 2)};
    forward_response a{9, ran{{200, {{"c", "d"}}, "body"}}, 2, 4, 5, 6, true};
    document sent_document;
    sent_document.version_ = 3;
    sent_document.digest_ = "digest";
    sent_document.contents_.push_back({{"service", "plans", 2}, service_v2{}});
    return {
        vote_request{3, v, v, 4, 2, true},
        append_request{
            3,
            host,
            4,
            2,
            {{5, 3, change_command{c, {}}},
             {6, 3, claim_command{{}, "h", "r", host, {}}},
             {7, 3, voters_command{{v}, {}}},
             {8, 3, no_op{}}},
            6,
            -1,
            8,
            9,
            duration{10},
            true},
        install_snapshot{
            3, host, snapshot{1, 1, {v}, 2, 0, {route, unknown}}, 4},
        renewal_response{
            1,
            2,
            duration{3},
            true,
            configuration_update{0, 5, true, {route, unknown}, {}},
            host,
            8,
            {}},
        confirmation_request{host, 1, 2, 3},
        confirmation_response{
            1, 2, duration{3}, true,
            configuration_update{0, 5, true, {route, unknown}, {}}},
        forward_request{
            9, name_literal<service_name>("plans"), "s", context, "f", r},
        a,
        forward_response{9, not_run{refusal_reason::overloaded, duration{5}}},
        change_response{1, conflict{{"account", "acme", 1}, 7}, "operation"},
        resent_document{4, document_request{2, host, sent_document}}};
}

} // namespace

TEST_CASE("every message comes back equal")
{
    for (message const& m : some_messages())
    {
        leaf::result<message> back = wire::decode_message(wire::encode(m));
        REQUIRE(back);
        CHECK(back.value() == m);
    }
}

TEST_CASE("a record of a schema unknown here keeps its bytes")
{
    message const m = configuration_update{
        0, 1, false, {{{"future", "x", 3}, 1, unknown_record{"\5\0z"}}}, {}};
    CHECK(wire::decode_message(wire::encode(m)).value() == m);
}

TEST_CASE("cut, changed and random bytes are refused or read as some value")
{
    random_source random(11);
    std::vector<message> const messages = some_messages();
    int refused = 0;
    for (int i = 0; i < 10000; ++i)
    {
        std::string bytes =
            wire::encode(messages[random.below(messages.size())]);
        switch (random.below(3))
        {
        case 0:
            bytes.resize(random.below(bytes.size()));
            break;
        case 1:
            for (std::uint64_t k = 0; k <= random.below(6); ++k)
                bytes[random.below(bytes.size())] =
                    static_cast<char>(random.below(256));
            break;
        default:
            for (char& c : bytes)
                c = static_cast<char>(random.below(256));
        }
        refused += wire::decode_message(bytes) ? 0 : 1;
    }
    CHECK(refused > 5000);
}

TEST_CASE("a name that is no name is refused")
{
    std::string bytes = wire::encode(message{membership_request{host}});
    std::size_t const at = bytes.find("host-1");
    bytes[at] = 'H';
    CHECK_FALSE(wire::decode_message(bytes));
}

TEST_CASE("one odd backend server does not cost the others of its list")
{
    backend_server good;
    good.host_ = host;
    good.service_ = name_literal<service_name>("plans");
    good.id_ = "i-1";
    backend_server odd = good;
    SECTION("unknown state")
    {
        odd.state_ = static_cast<server_state>(9);
    }
    SECTION("no slots")
    {
        odd.slots_ = 0;
    }
    SECTION("slots out of range")
    {
        odd.slots_ = 4000000000;
    }
    SECTION("an id that is no text")
    {
        odd.id_ = "\xff\n";
    }
    SECTION("no name of a service")
    {
        odd.service_ = name_literal<service_name>("odd-service");
    }
    renewal_response answer;
    answer.stamp_ = 7;
    answer.services_ = {{good.service_, {good, odd, good}}};
    answer.daemons_ = 3;
    std::string bytes = wire::encode(message{answer});
    std::size_t const at = bytes.find("odd-service");
    if (at != std::string::npos)
        bytes[at] = 'O';
    leaf::result<message> back = wire::decode_message(bytes);
    REQUIRE(back);
    answer.services_ = {{good.service_, {good, good}}};
    CHECK(back.value() == message{answer});
}

TEST_CASE("an odd value outside a list of backend servers is still refused")
{
    forward_response a;
    a.verdict_ = not_run{static_cast<refusal_reason>(200)};
    CHECK_FALSE(wire::decode_message(wire::encode(message{a})));
}

TEST_CASE("deeply nested unknown fields are refused")
{
    // A union's first alternative, a field 15 that it does not have, and
    // structs in structs.
    std::string const bytes =
        "\x1c\xfc" + std::string(std::size_t{1} << 20, '\x1c');
    CHECK_FALSE(wire::decode_message(bytes));
}
