// A server that answers before it has read a long body, and reads on late: a
// run behind that body was given up as if its connection were dead.
#include <catch2/catch.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <list>
#include <memory>
#include <optional>
#include <string>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/timer.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using namespace std::chrono_literals;

namespace
{

constexpr int receive_buffer_bytes = 8 << 10;
constexpr std::size_t long_body_bytes = 400 << 10;
std::string const reply = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\n"
                          "Content-Length: 2\r\n\r\nok";

// Answers each request at once. Reads the rest of the first one, and what
// follows it on its connection, `pause` later.
class late_reader
{
public:
    explicit late_reader(duration pause)
        : pause_(pause),
          listener_(open_listener({"127.0.0.1", 0}, "test").value())
    {
        setsockopt(
            listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
            sizeof receive_buffer_bytes);
        acceptable_ = watch_fd(
            listener_, G_IO_IN,
            [](gint fd, GIOCondition, gpointer self) -> gboolean
            {
                int const accepted =
                    accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                static_cast<late_reader*>(self)->serve(accepted);
                return G_SOURCE_CONTINUE;
            },
            this);
    }
    ~late_reader() { close_fd(listener_); }
    late_reader(late_reader const&) = delete;
    late_reader& operator=(late_reader const&) = delete;

    endpoint address() const
    {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        return {"127.0.0.1", ntohs(at.sin_port)};
    }

private:
    void serve(int fd)
    {
        std::unique_ptr<byte_stream>& stream = streams_.emplace_back();
        stream = std::make_unique<byte_stream>(
            fd,
            stream_handlers{
                [this, &stream] { take(*stream); }, [](stream_end) {}, {}});
    }

    void take(byte_stream& stream)
    {
        bool const first = !reads_on_;
        if (first)
        {
            reads_on_ = make_timer([&stream] { stream.read_more(true); });
            set_timer_due(reads_on_, read_clocks().now_ + pause_);
            stream.read_more(false);
        }
        if (first || stream.input().find("GET /second") != std::string::npos)
            stream.write(reply);
        stream.input().clear();
    }

    duration pause_;
    int listener_;
    source_ptr acceptable_;
    std::list<std::unique_ptr<byte_stream>> streams_;
    timer_ptr reads_on_;
};

} // namespace

TEST_CASE("a run behind a long body that is read late is not given up")
{
    event_loop loop;
    late_reader const server(1500ms);
    std::optional<backend_result> last;
    backend_client client(
        {[&](std::uint64_t, backend_result r)
         {
             last = std::move(r);
             loop.quit();
         },
         [](std::string const&, bool) {}});
    client.run(
        1, server.address(),
        {"POST", "/first", {}, std::string(long_body_bytes, 'x')}, 4s,
        {"", "", false, false});
    loop.run();
    REQUIRE(std::holds_alternative<backend_answered>(last.value()));
    client.run(
        2, server.address(), {"GET", "/second", {}, {}}, 4s,
        {"", "", false, true});
    loop.run();
    CHECK(std::holds_alternative<backend_answered>(last.value()));
}
