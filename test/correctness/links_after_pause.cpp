// A daemon that was paused reads what arrived meanwhile before it takes a peer
// for silent.
#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/timer.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using namespace std::chrono_literals;

namespace
{

host_name const asking = host_name::make("asking").value();
host_name const answering = host_name::make("answering").value();
std::string const secret = "0123456789abcdef-links";

endpoint free_address()
{
    int const fd = open_listener({"127.0.0.1", 0}, "test").value();
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close_fd(fd);
    return {"127.0.0.1", ntohs(at.sin_port)};
}

peer_handlers
handlers(std::function<void(std::string)> received, std::function<void()> lost)
{
    return {
        [received](host_name const&, std::string bytes)
        { received(std::move(bytes)); },
        [lost](host_name const&, std::uint64_t) { lost(); },
        [](host_name const&, std::string const&) {},
        [](host_name const&, std::string const&) {},
        [](std::string const&) {},
        [] {}};
}

} // namespace

// The answer was dropped, and its call taken for lost.
TEST_CASE("an answer that came during a pause is read before its link closes")
{
    event_loop loop;
    std::unique_ptr<peer_links> answers;
    std::vector<std::string> seen;
    peer_links asks(
        asking, free_address(), secret,
        handlers(
            [&](std::string bytes)
            {
                seen.push_back(std::move(bytes));
                loop.quit();
            },
            [&]
            {
                seen.push_back("lost");
                loop.quit();
            }));
    endpoint const address = free_address();
    answers = std::make_unique<peer_links>(
        answering, address, secret,
        handlers(
            [&](std::string const& bytes)
            {
                if (bytes != "question")
                    return;
                answers->send(asking, "answer", 0);
                // Both are paused, but only `asks` has waited for long.
                std::this_thread::sleep_for(1200ms);
            },
            [] {}));
    REQUIRE(answers->listen());
    asks.set_address(answering, address);
    asks.send(answering, "notice", 1);
    timer_ptr const later =
        make_timer([&] { asks.send(answering, "question", 2); });
    set_timer_due(later, read_clocks().now_ + 450ms);
    loop.run();
    CHECK(seen == std::vector<std::string>{"answer"});
}
