// A control host whose answer never ends, in any of its parts, or is larger
// than any that a daemon sends, fills no memory of the operators' client and
// holds it up no longer than its time limit.
#include <catch2/catch.hpp>

#include <unistd.h>

#include <scripted_server.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using jackdawhall::test::script;
using jackdawhall::test::scripted_server;

namespace
{

constexpr std::chrono::seconds time_limit{1};
constexpr std::chrono::seconds large_time_limit{20};
// A client that goes on for ever is killed.
constexpr unsigned longest_test_s = 60;

std::string const head = "HTTP/1.1 200 OK\r\n";
std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

// What the user is told of the failure; empty if there was an answer.
std::string failure_of(script const& sent, std::chrono::seconds limit)
{
    event_loop const ignores_broken_pipes;
    scripted_server const host({sent});
    std::string what;
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_CHECK(
                fetch({"127.0.0.1", host.port()}, {"GET", "/", {}, {}}, limit));
            return {};
        },
        [&](user_error const& e) { what = e.what_; },
        [&] { what = "no user_error"; });
    return what;
}

} // namespace

TEST_CASE("an answer that is too large is given up")
{
    alarm(longest_test_s);
    std::string const body(max_fetched_bytes + 1, 'x');
    std::string const length = std::to_string(body.size());
    script const large = GENERATE_COPY(
        script{head + "Content-Length: " + length + "\r\n\r\n" + body, {}},
        script{head + "\r\n" + body, "x"},
        script{
            chunked + "4000001\r\n" + body.substr(0, 0x4000001) +
                "\r\n0\r\n\r\n",
            {}});
    std::string const failure = failure_of(large, large_time_limit);
    CAPTURE(large.text_.substr(0, 60), failure);
    CHECK(failure.find("too large") != std::string::npos);
}

TEST_CASE("an answer as large as may be is taken")
{
    std::string const body(max_fetched_bytes, 'x');
    std::string const length = std::to_string(body.size());
    script const large{
        head + "Content-Length: " + length + "\r\n\r\n" + body, {}};
    CHECK(failure_of(large, large_time_limit).empty());
}

TEST_CASE("an answer that never ends is given up in its time")
{
    alarm(longest_test_s);
    std::string const many(60000, 'y');
    script const endless = GENERATE_COPY(
        script{"HTTP/1.1 200 ", many},            // start line
        script{head + "x: ", many},               // one field
        script{head, "x: " + many + "\r\n"},      // fields
        script{"", "HTTP/1.1 103 Early\r\n\r\n"}, // informational answers
        script{chunked, "0"},                     // size of a chunk
        script{chunked, "1\r\nx\r\n"},            // small parts
        script{chunked, "ea60\r\n" + many + "\r\n"},
        script{head + "\r\n", many}, script{head + "\r\n", {}});
    CAPTURE(endless.text_, endless.endless_.substr(0, 60));
    instant const before = read_clocks().now_;
    CHECK_FALSE(failure_of(endless, time_limit).empty());
    CHECK(read_clocks().now_ - before < 2 * time_limit);
}

TEST_CASE("a trailer that never ends holds nothing up")
{
    alarm(longest_test_s);
    instant const before = read_clocks().now_;
    failure_of(script{chunked + "0\r\n", "x: y\r\n"}, time_limit);
    CHECK(read_clocks().now_ - before < 2 * time_limit);
}
