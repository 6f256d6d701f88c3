// Callers that come one after the other, send a request each and read nothing
// of its answer, until a given time is over.
// Usage: silent_callers IP PORT PATH KEY CALLERS INTERVAL_MS SECONDS
#include <cstdlib>
#include <iostream>
#include <list>
#include <string>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <sys/socket.h>

namespace
{

using namespace jackdawhall::loop;

// Small, so that answers do not fit into the sockets' buffers.
constexpr int receive_buffer = 4 << 10;
constexpr jackdawhall::duration no_stall_limit = std::chrono::hours(1);

int connect_caller(jackdawhall::endpoint const& to)
{
    int const fd = begin_connect(to);
    setsockopt(
        fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    return fd;
}

struct callers
{
    jackdawhall::endpoint to_;
    std::string request_;
    jackdawhall::duration interval_; // between two
    int left_ = 0;
    std::list<byte_stream> made_;
    event_loop::delayed next_;
};

// Connects the next callers, until all are made.
void connect_next(callers& all)
{
    byte_stream& caller = all.made_.emplace_back(
        connect_caller(all.to_), stream_handlers{[] {}, [](stream_end) {}, {}},
        no_stall_limit);
    caller.read_more(false);
    caller.write(all.request_);
    if (--all.left_ > 0)
        all.next_.set(all.interval_, [&all] { connect_next(all); });
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 8)
    {
        std::cerr
            << "silent_callers IP PORT PATH KEY CALLERS INTERVAL_MS SECONDS\n";
        return EXIT_FAILURE;
    }
    event_loop loop;
    callers all;
    all.to_ = {argv[1], static_cast<std::uint16_t>(std::atoi(argv[2]))};
    all.request_ = std::string("GET ") + argv[3] +
                   " HTTP/1.1\r\nhost: a\r\njackdawhall-key: " + argv[4] +
                   "\r\n\r\n";
    all.left_ = std::atoi(argv[5]);
    all.interval_ = std::chrono::milliseconds(std::atoi(argv[6]));
    connect_next(all);
    event_loop::delayed over;
    over.set(
        std::chrono::seconds(std::atoi(argv[7])), [&loop] { loop.quit(); });
    loop.run();
    return EXIT_SUCCESS;
}
