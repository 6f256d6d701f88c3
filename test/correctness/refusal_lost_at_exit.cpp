// A gate whose last answers are out takes no new link: what a peer sends to it
// then is known not to have arrived, since no refusal of it would come.
#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using namespace std::chrono_literals;

namespace
{

host_name const entry = host_name::make("entry").value();
host_name const gate = host_name::make("gate").value();
std::string const secret = "0123456789abcdef-links";
constexpr std::uint64_t forward = 1;

endpoint free_address()
{
    int const fd = open_listener({"127.0.0.1", 0}, "test").value();
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close_fd(fd);
    return {"127.0.0.1", ntohs(at.sin_port)};
}

// Notes what becomes of messages, and ends the loop with the first.
peer_handlers note_in(std::vector<std::string>& seen, event_loop& loop)
{
    auto const note = [&seen, &loop](std::string const& what)
    {
        seen.push_back(what);
        loop.quit();
    };
    return {
        [note](host_name const&, std::string const&) { note("received"); },
        [note](host_name const&, std::uint64_t) { note("lost"); },
        [note](host_name const&, std::string const&) { note("undelivered"); },
        [note](host_name const&, std::string const&) { note("withdrawn"); },
        [](std::string const&) {},
        [] {}};
}

} // namespace

TEST_CASE("a forward to a gate that closes its links was not received")
{
    event_loop loop;
    std::vector<std::string> seen;
    endpoint const address = free_address();
    peer_links ending(gate, address, secret, note_in(seen, loop));
    REQUIRE(ending.listen());
    peer_links asking(entry, free_address(), secret, note_in(seen, loop));
    asking.set_address(gate, address);

    ending.finish_writing();
    asking.send(gate, "forward", forward);
    event_loop::delayed end;
    end.set(3s, [&loop] { loop.quit(); });
    loop.run();
    CHECK(seen == std::vector<std::string>{"undelivered"});
}
