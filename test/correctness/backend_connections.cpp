// Kept connections to backend servers: bytes that nobody asked for, late
// answers to earlier requests, and answers whose end is that of the connection.
#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/later.hpp>
#include <jackdawhall/loop/timer.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

// Splits an answer: what follows it is sent a little later.
constexpr char pause_mark = '\x01';

// Answers the n-th request over all connections with the n-th text.
class scripted_server
{
public:
    explicit scripted_server(std::vector<std::string> answers)
        : answers_(std::move(answers))
    {
        listener_ = open_listener({"127.0.0.1", 0}, "test").value();
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        acceptable_ = watch_fd(
            listener_, G_IO_IN,
            [](gint fd, GIOCondition, gpointer self) -> gboolean
            {
                int const accepted =
                    accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                static_cast<scripted_server*>(self)->serve(accepted);
                return G_SOURCE_CONTINUE;
            },
            this);
    }
    ~scripted_server() { close_fd(listener_); }
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    std::uint16_t port() const { return port_; }
    std::size_t connections() const { return streams_.size(); }

private:
    void serve(int fd)
    {
        std::size_t const at = streams_.size();
        streams_.push_back(std::make_unique<byte_stream>(
            fd,
            stream_handlers{
                [this, at] { answer(*streams_.at(at)); },
                [](stream_end) {},
                {}}));
    }

    void answer(byte_stream& stream)
    {
        if (stream.input().find("\r\n\r\n") == std::string::npos)
            return;
        stream.input().clear();
        std::string const text =
            answers_.at(std::min(answered_++, answers_.size() - 1));
        std::size_t const mark = text.find(pause_mark);
        stream.write(text.substr(0, mark));
        if (mark != std::string::npos)
        {
            late_stream_ = &stream;
            late_text_ = text.substr(mark + 1);
            set_timer_due(
                late_, read_clocks().now_ + std::chrono::milliseconds(20));
        }
        if (text.find("close") != std::string::npos)
            stream.finish_writing();
    }

    std::vector<std::string> answers_;
    std::size_t answered_ = 0;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    source_ptr acceptable_;
    std::vector<std::unique_ptr<byte_stream>> streams_;
    byte_stream* late_stream_ = nullptr;
    std::string late_text_;
    timer_ptr late_ = make_timer([this] { late_stream_->write(late_text_); });
};

// Sends requests one after the other, with a pause between them.
std::vector<backend_result>
run_requests(std::uint16_t port, std::size_t count, answer_rules rules)
{
    event_loop loop;
    std::vector<backend_result> results;
    std::unique_ptr<backend_client> client;
    timer_ptr pause;
    std::function<void()> send = [&]
    {
        rules.echoed_value_ = std::to_string(results.size() + 1);
        client->run(
            results.size() + 1, {"127.0.0.1", port}, {"GET", "/", {}, {}},
            std::chrono::seconds(2), rules);
    };
    pause = make_timer(send);
    client = std::make_unique<backend_client>(backend_handlers{
        [&](std::uint64_t, backend_result r)
        {
            results.push_back(std::move(r));
            if (results.size() == count)
                return loop.quit();
            set_timer_due(
                pause, read_clocks().now_ + std::chrono::milliseconds(50));
        },
        [](std::string const&, bool) {}});
    send();
    loop.run();
    return results;
}

std::string reply(std::string const& id, std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nx-id: " + id +
           "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string body_of(backend_result const& r)
{
    backend_answered const* a = std::get_if<backend_answered>(&r);
    return a ? a->answer_.body_ : "(none)";
}

} // namespace

TEST_CASE("a kept connection is used again")
{
    scripted_server const server({reply("1", "one"), reply("2", "two")});
    std::vector<backend_result> const r =
        run_requests(server.port(), 2, {"x-id", "", false});
    CHECK(body_of(r.at(0)) == "one");
    CHECK(body_of(r.at(1)) == "two");
    CHECK(server.connections() == 1);
}

TEST_CASE("bytes on an idle connection end it, and reach no later request")
{
    // The bytes after the first answer come with it.
    scripted_server const server(
        {reply("1", "one") + reply("1", "again"), reply("2", "two"),
         reply("3", "three")});
    std::vector<backend_result> const r =
        run_requests(server.port(), 3, {"x-id", "", false});
    CHECK(body_of(r.at(0)) == "one");
    CHECK(body_of(r.at(1)) == "two");
    CHECK(body_of(r.at(2)) == "three");
    CHECK(server.connections() == 2);
}

TEST_CASE("bytes that come while a connection is idle end it")
{
    scripted_server const server(
        {reply("1", "one") + pause_mark + reply("1", "again"),
         reply("2", "two"), reply("3", "three")});
    std::vector<backend_result> const r =
        run_requests(server.port(), 3, {"x-id", "", false});
    CHECK(body_of(r.at(1)) == "two");
    CHECK(body_of(r.at(2)) == "three");
    CHECK(server.connections() == 2);
}

TEST_CASE("a late answer to an earlier request is passed over")
{
    scripted_server const server(
        {reply("1", "one"), reply("1", "late") + reply("2", "two"),
         reply("3", "three")});
    std::vector<backend_result> const r =
        run_requests(server.port(), 3, {"x-id", "", false});
    CHECK(body_of(r.at(1)) == "two");
    CHECK(body_of(r.at(2)) == "three");
    CHECK(server.connections() == 2);
}

TEST_CASE("an answer without a length ends with its connection")
{
    scripted_server const server(
        {"HTTP/1.1 200 OK\r\nx-id: 1\r\nConnection: close\r\n\r\nall of it"});
    std::vector<backend_result> const r =
        run_requests(server.port(), 1, {"x-id", "", true});
    CHECK(body_of(r.at(0)) == "all of it");
}

TEST_CASE("a status that HTTP does not have is no answer")
{
    scripted_server const server(
        {"HTTP/1.1 007 OK\r\nContent-Length: 0\r\n\r\n"});
    std::vector<backend_result> const r =
        run_requests(server.port(), 1, {"x-id", "", true});
    CHECK(std::holds_alternative<backend_broken>(r.at(0)));
}
