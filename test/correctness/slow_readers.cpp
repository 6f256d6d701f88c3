// Callers that read an answer slowly get the whole of it: neither the time that
// a connection may be idle nor a pause of the reader cuts it.
#include <catch2/catch.hpp>

#include <cerrno>

#include <sys/socket.h>
#include <unistd.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr std::uint16_t port = 21390;
constexpr std::size_t body_bytes = 12 << 20;
// Small, so that the answer does not fit into the sockets' buffers.
constexpr int receive_buffer = 64 << 10;

endpoint const address{"127.0.7.1", port};

// A caller that takes `chunk` bytes each `pause`, after `wait` without a read.
struct slow_caller
{
    duration wait_{0};
    duration pause_{0};
    std::size_t chunk_ = 0;
    bool keeps_ = true; // asks for the connection to be kept
};

int connect_caller()
{
    int const fd = begin_connect(address);
    setsockopt(
        fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    return fd;
}

// Reads the answer step by step on the loop that serves it.
class reader
{
public:
    reader(event_loop& loop, slow_caller how)
        : loop_(loop), how_(how), fd_(connect_caller()),
          buffer_(how.chunk_, char(0))
    {
        next_.set(std::chrono::milliseconds(50), [this] { send_request(); });
    }
    ~reader() { close_fd(fd_); }
    reader(reader const&) = delete;
    reader& operator=(reader const&) = delete;

    std::size_t taken() const { return taken_; }
    bool whole() const { return taken_ >= body_bytes; }

private:
    void send_request()
    {
        std::string const text = std::string("GET / HTTP/1.1\r\nhost: a\r\n") +
                                 (how_.keeps_ ? "" : "connection: close\r\n") +
                                 "\r\n";
        ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
        next_.set(how_.wait_ + how_.pause_, [this] { read_some(); });
    }

    void read_some()
    {
        ssize_t const n = recv(fd_, buffer_.data(), buffer_.size(), 0);
        if (n > 0)
            taken_ += static_cast<std::size_t>(n);
        bool const ended = n == 0 || (n < 0 && errno != EAGAIN);
        if (ended || whole())
            return loop_.quit();
        next_.set(how_.pause_, [this] { read_some(); });
    }

    event_loop& loop_;
    slow_caller how_;
    int fd_ = -1;
    std::string buffer_;
    std::size_t taken_ = 0;
    event_loop::delayed next_;
};

void check_whole(slow_caller how, duration idle_time)
{
    event_loop loop;
    http_server* serving = nullptr;
    http_server server(
        address, 8,
        {[&](std::uint64_t number, request, std::string const&) {
             serving->answer(number, {200, {}, std::string(body_bytes, 'a')});
         },
         [](std::uint64_t) {}});
    serving = &server;
    http_limits limits;
    limits.idle_time_ = idle_time;
    server.set_limits(limits);
    REQUIRE(server.listen("test"));
    reader const caller(loop, how);
    loop.run();
    INFO("bytes taken: " << caller.taken());
    CHECK(caller.whole());
}

constexpr duration ms = std::chrono::milliseconds(1);

} // namespace

TEST_CASE("an answer that is read for longer than the idle time is whole")
{
    check_whole({duration{0}, 10 * ms, 64 << 10, true}, 500 * ms);
}

TEST_CASE("the last answer of a connection is whole, however slowly it is read")
{
    check_whole({duration{0}, 10 * ms, 64 << 10, false}, 500 * ms);
}

TEST_CASE("a caller that takes nothing for some seconds still gets its answer")
{
    check_whole({6000 * ms, 1 * ms, 256 << 10, true}, 60000 * ms);
}
