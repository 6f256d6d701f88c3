// A caller that ends its sending side after its request gets its whole answer,
// the last of the connection. Only a connection that broke has no caller.
#include <catch2/catch.hpp>

#include <cerrno>

#include <sys/socket.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr duration ms = std::chrono::milliseconds(1);
// Does not fit into the sockets' buffers.
constexpr std::size_t large = 12 << 20;

struct seen
{
    std::size_t requests_ = 0;
    std::size_t left_ = 0;
    std::string taken_; // by the caller
    bool caller_ended_ = false;
    bool drained_ = false;
    std::size_t connections_ = 0; // at the end
};

struct plan
{
    std::string sent_ = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    std::size_t body_bytes_ = 2;
    duration answer_after_{100 * ms};
    bool resets_ = false; // closes with a reset instead of reading
    bool stops_ = false;  // the server stops before it answers
};

// A caller that sends and ends its sending side at once, and the server that it
// calls, on one loop.
class half_closed_call
{
public:
    half_closed_call(std::uint16_t port, plan p)
        : address_{"127.0.7.1", port}, plan_(std::move(p)),
          server_(
              address_, 8,
              {[this](std::uint64_t number, request, std::string const&)
               { take_request(number); },
               [this](std::uint64_t) { ++seen_.left_; }})
    {
    }
    ~half_closed_call() { close_fd(fd_); }
    half_closed_call(half_closed_call const&) = delete;
    half_closed_call& operator=(half_closed_call const&) = delete;

    seen run()
    {
        REQUIRE(server_.listen("test"));
        fd_ = begin_connect(address_);
        step_.set(50 * ms, [this] { send_all(); });
        end_.set(8000 * ms, [this] { loop_.quit(); });
        loop_.run();
        seen_.connections_ = server_.open_connections();
        return seen_;
    }

private:
    void take_request(std::uint64_t number)
    {
        ++seen_.requests_;
        answer_.set(plan_.answer_after_, [this, number] { answer(number); });
    }

    void answer(std::uint64_t number)
    {
        if (plan_.stops_)
            server_.stop_accepting([this] { seen_.drained_ = true; });
        server_.answer(number, {200, {}, std::string(plan_.body_bytes_, 'a')});
    }

    void send_all()
    {
        ::send(fd_, plan_.sent_.data(), plan_.sent_.size(), MSG_NOSIGNAL);
        shutdown(fd_, SHUT_WR);
        if (!plan_.resets_)
            return step_.set(10 * ms, [this] { read_some(); });
        step_.set(20 * ms, [this] { reset(); });
    }

    void reset()
    {
        linger const at_once{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
        close_fd(std::exchange(fd_, -1));
        step_.set(200 * ms, [this] { loop_.quit(); });
    }

    void read_some()
    {
        std::string part(256 << 10, char(0));
        ssize_t const n = recv(fd_, part.data(), part.size(), 0);
        if (n > 0)
            seen_.taken_ += part.substr(0, static_cast<std::size_t>(n));
        seen_.caller_ended_ = n == 0 || (n < 0 && errno != EAGAIN);
        if (seen_.caller_ended_)
            return step_.set(100 * ms, [this] { loop_.quit(); });
        step_.set(10 * ms, [this] { read_some(); });
    }

    event_loop loop_;
    endpoint address_;
    plan plan_;
    http_server server_;
    seen seen_;
    int fd_ = -1;
    event_loop::delayed step_;
    event_loop::delayed answer_;
    event_loop::delayed end_;
};

std::size_t count(std::string const& text, std::string const& part)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++n;
    return n;
}

void check_one_whole_answer(seen const& s, std::size_t body_bytes)
{
    CHECK(count(s.taken_, "HTTP/1.1 200") == 1);
    CHECK(s.taken_.ends_with("\r\n\r\n" + std::string(body_bytes, 'a')));
    CHECK(s.caller_ended_);
    CHECK(s.left_ == 0);
    CHECK(s.connections_ == 0);
}

} // namespace

TEST_CASE("a caller that ends its sending side gets its answer")
{
    seen const s = half_closed_call(21400, {}).run();
    check_one_whole_answer(s, 2);
}

TEST_CASE("a long answer is not cut by the end of the caller's sending side")
{
    plan p;
    p.body_bytes_ = large;
    p.answer_after_ = GENERATE(duration{0}, 100 * ms);
    seen const s = half_closed_call(21401, p).run();
    check_one_whole_answer(s, large);
}

TEST_CASE("what came behind the last answered request is not taken")
{
    plan p;
    p.sent_ += p.sent_;
    seen const s = half_closed_call(21402, p).run();
    check_one_whole_answer(s, 2);
    CHECK(s.requests_ == 1);
}

TEST_CASE("a stop waits for the answer of a caller that finished sending")
{
    plan p;
    p.body_bytes_ = large;
    p.stops_ = true;
    seen const s = half_closed_call(21403, p).run();
    check_one_whole_answer(s, large);
    CHECK(s.drained_);
}

TEST_CASE("a caller that resets its connection after it finished has left")
{
    plan p;
    p.answer_after_ = 5000 * ms;
    p.resets_ = true;
    seen const s = half_closed_call(21404, p).run();
    CHECK(s.left_ == 1);
    CHECK(s.connections_ == 0);
}
