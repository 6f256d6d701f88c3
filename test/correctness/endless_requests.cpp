// Requests of callers that never end, in each part but the body: they are
// refused long before their time is over.
#include <catch2/catch.hpp>

#include <algorithm>

#include <netinet/in.h>
#include <sys/socket.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/timer.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr duration give_up_after = std::chrono::seconds(5);

// A port of a loopback address that was free a moment ago.
std::uint16_t free_port()
{
    int const fd = open_listener({"127.0.0.1", 0}, "test").value();
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close_fd(fd);
    return ntohs(at.sin_port);
}

// Sends `begin`, then `part` until an answer comes; returns the answer, empty
// if none came in time.
std::string answer_to(std::string const& begin, std::string const& part)
{
    event_loop loop;
    endpoint const at{"127.0.0.1", free_port()};
    std::size_t requests = 0;
    http_server server(
        at, 10,
        {[&](std::uint64_t, request, std::string const&) { ++requests; },
         [](std::uint64_t) {}});
    REQUIRE(server.listen("test"));
    std::string got;
    timer_ptr next;
    std::unique_ptr<byte_stream> caller;
    caller = std::make_unique<byte_stream>(
        begin_connect(at),
        stream_handlers{
            [&]
            {
                got = caller->input();
                loop.quit();
            },
            [&](stream_end) { loop.quit(); },
            {}});
    next = make_timer(
        [&]
        {
            if (caller->unwritten() == 0)
                caller->write(part);
            set_timer_due(next, read_clocks().now_);
        });
    timer_ptr const end = make_timer([&] { loop.quit(); });
    set_timer_due(end, read_clocks().now_ + give_up_after);
    caller->write(begin);
    set_timer_due(next, read_clocks().now_);
    loop.run();
    next.reset();
    CHECK(requests == 0);
    return got;
}

std::string const post = "POST / HTTP/1.1\r\nHost: a\r\n";
std::string const chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

TEST_CASE("a request that never ends is refused")
{
    auto const [begin, part] = GENERATE(table<std::string, std::string>(
        {{"POST /", "x"},
         {post + "x: ", "y"},
         {post, "x: y\r\n"},
         {chunked, "0"},
         {chunked + "1;", std::string(1000, 'e')},
         {chunked, "1;" + std::string(5000, 'e') + "\r\nx\r\n"},
         {chunked + "0\r\n", "x: y\r\n"}}));
    CAPTURE(begin, part.substr(0, 60));
    std::string const got = answer_to(begin, part);
    CHECK(got.substr(0, 10) == "HTTP/1.1 4");
}

// Each answer that was given at once began the next request from within.
TEST_CASE("thousands of requests in one write don't exhaust the stack")
{
    constexpr std::size_t count = 100'000;
    event_loop loop;
    endpoint const at{"127.0.0.1", free_port()};
    std::unique_ptr<http_server> made;
    made = std::make_unique<http_server>(
        at, 10,
        http_handlers{
            [&](std::uint64_t number, request, std::string const&) {
                made->answer(number, answer{200, {}, "x"});
            },
            [](std::uint64_t) {}});
    REQUIRE(made->listen("test"));
    std::size_t answers = 0;
    std::unique_ptr<byte_stream> caller;
    caller = std::make_unique<byte_stream>(
        begin_connect(at),
        stream_handlers{
            [&]
            {
                std::string& in = caller->input();
                answers += static_cast<std::size_t>(
                    std::count(in.begin(), in.end(), 'x'));
                in.clear();
                if (answers >= count)
                    loop.quit();
            },
            [&](stream_end) { loop.quit(); },
            {}});
    timer_ptr const end = make_timer([&] { loop.quit(); });
    set_timer_due(end, read_clocks().now_ + give_up_after);
    std::string requests;
    for (std::size_t i = 0; i < count; ++i)
        requests += "GET / HTTP/1.1\r\n\r\n";
    caller->write(requests);
    loop.run();
    CHECK(answers == count);
}
