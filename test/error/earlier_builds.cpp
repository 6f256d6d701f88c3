// Builds of different age exchange messages: fields and messages that one of
// them doesn't know do no harm.
#include <catch2/catch.hpp>

#include <jackdawhall/wire.hpp>

using namespace jackdawhall;

namespace
{

host_name const host = name_literal<host_name>("host-1");

// In Thrift's compact protocol a field begins with a byte of its number less
// that of the field before, and its type.
constexpr char next_i64_field = '\x16';
// 64 as a varint of a signed number.
std::string const sixty_four = "\x80\x01";

renewal_response with_incarnation(std::uint64_t incarnation)
{
    backend_server server;
    server.host_ = host;
    server.service_ = name_literal<service_name>("plans");
    server.id_ = "i-1";
    server.slots_ = 5;
    server.state_ = server_state::warming;
    server.incarnation_ = incarnation;
    renewal_response r;
    r.stamp_ = 7;
    r.services_ = {{server.service_, {server, server}}};
    r.daemons_ = 3;
    return r;
}

std::string replace_all(
    std::string bytes, std::string const& old, std::string const& replacement)
{
    std::size_t count = 0;
    for (std::size_t at = bytes.find(old); at != std::string::npos;
         at = bytes.find(old, at + replacement.size()))
    {
        bytes.replace(at, old.size(), replacement);
        ++count;
    }
    REQUIRE(count == 2); // one for each server
    return bytes;
}

// The number of a message's alternative, which follows the byte of its type.
std::string with_alternative(std::string bytes, std::size_t index)
{
    REQUIRE(bytes.size() > 2);
    REQUIRE(bytes[0] == '\x0c');
    bytes[1] = static_cast<char>((index + 1) * 2); // zigzag
    return bytes;
}

template <class Message>
constexpr std::size_t index_of()
{
    return message(Message{}).index();
}

} // namespace

TEST_CASE("a backend server of a build without incarnations has none")
{
    std::string const field = next_i64_field + sixty_four;
    std::string const bytes =
        replace_all(wire::encode(message{with_incarnation(64)}), field, "");
    leaf::result<message> back = wire::decode_message(bytes);
    REQUIRE(back);
    CHECK(back.value() == message{with_incarnation(0)});
}

TEST_CASE("a field that this build doesn't know is passed over")
{
    std::string const field = next_i64_field + sixty_four;
    std::string const bytes = replace_all(
        wire::encode(message{with_incarnation(64)}), field, field + field);
    leaf::result<message> back = wire::decode_message(bytes);
    REQUIRE(back);
    CHECK(back.value() == message{with_incarnation(64)});
}

TEST_CASE("inquiries and reports come back equal")
{
    for (message const& m : std::vector<message>{
             forward_inquiry{~std::uint64_t{0}, {1, 2}}, forward_inquiry{},
             forward_report{
                 {{1, forward_status::in_progress},
                  {2, forward_status::answered},
                  {3, forward_status::not_received},
                  {~std::uint64_t{0}, forward_status::unknown}}},
             forward_report{}})
    {
        leaf::result<message> back = wire::decode_message(wire::encode(m));
        REQUIRE(back);
        CHECK(back.value() == m);
    }
}

TEST_CASE("the numbers of messages that earlier builds know are unchanged")
{
    CHECK(index_of<forward_request>() == 21);
    CHECK(index_of<forward_response>() == 22);
    CHECK(index_of<cancel_forward>() == 23);
    CHECK(index_of<document_request>() == 26);
    CHECK(index_of<forward_inquiry>() == 27);
    CHECK(index_of<forward_report>() == 28);
    CHECK(index_of<confirmation_request>() == 30);
    CHECK(index_of<confirmation_response>() == 31);
}

// An earlier build reads these as this one reads a message that was appended
// after them: the daemon logs "message dropped" and goes on with the link.
TEST_CASE("a message that a build doesn't know is refused whole")
{
    constexpr std::size_t unknown = std::variant_size_v<message>;
    for (message const& m : std::vector<message>{
             forward_inquiry{1, {1}},
             forward_report{{{1, forward_status::unknown}}}})
    {
        std::string const bytes = wire::encode(m);
        CHECK(with_alternative(bytes, m.index()) == bytes);
        CHECK_FALSE(wire::decode_message(with_alternative(bytes, unknown)));
        CHECK_FALSE(wire::decode_message(with_alternative(bytes, unknown + 3)));
    }
}

TEST_CASE("a status that a build doesn't know refuses its report")
{
    forward_report const odd{
        {{1, static_cast<forward_status>(200)}, {2, forward_status::unknown}}};
    CHECK_FALSE(wire::decode_message(wire::encode(message{odd})));
}
