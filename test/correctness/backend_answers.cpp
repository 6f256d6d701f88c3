// What the client of backend servers makes of answers that are whole, cut,
// without a length, too large or missing; and that it never sends a request a
// second time by itself.
#include <catch2/catch.hpp>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/gobject.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

// Answers each connection's requests with fixed bytes, then closes it.
class canned_server
{
public:
    explicit canned_server(std::vector<std::string> answers)
        : answers_(std::move(answers)), service_(g_socket_service_new())
    {
        port_ = g_socket_listener_add_any_inet_port(
            G_SOCKET_LISTENER(service_.get()), nullptr, nullptr);
        g_signal_connect(
            service_.get(), "incoming",
            G_CALLBACK(
                +[](GSocketService*, GSocketConnection* c, GObject*,
                    gpointer self) -> gboolean
                {
                    static_cast<canned_server*>(self)->serve(c);
                    return TRUE;
                }),
            this);
        g_socket_service_start(service_.get());
    }
    ~canned_server()
    {
        g_socket_service_stop(service_.get());
        g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
        // What is in progress still refers to this.
        while (pending_ > 0)
            g_main_context_iteration(nullptr, TRUE);
    }
    canned_server(canned_server const&) = delete;
    canned_server& operator=(canned_server const&) = delete;

    std::uint16_t port() const { return port_; }
    std::size_t requests() const { return requests_; }

private:
    void serve(GSocketConnection* connection)
    {
        connection_ = share(connection);
        read_next();
    }

    void read_next()
    {
        ++pending_;
        g_input_stream_read_async(
            g_io_stream_get_input_stream(G_IO_STREAM(connection_.get())),
            buffer_, sizeof buffer_, G_PRIORITY_DEFAULT, nullptr,
            [](GObject* source, GAsyncResult* result, gpointer data)
            {
                gssize const n = g_input_stream_read_finish(
                    G_INPUT_STREAM(source), result, nullptr);
                --static_cast<canned_server*>(data)->pending_;
                static_cast<canned_server*>(data)->answer_one(n);
            },
            this);
    }

    void answer_one(gssize n)
    {
        if (n <= 0)
            return;
        std::string const& answer =
            answers_.at(std::min(requests_, answers_.size() - 1));
        ++requests_;
        ++pending_;
        g_output_stream_write_all_async(
            g_io_stream_get_output_stream(G_IO_STREAM(connection_.get())),
            answer.data(), answer.size(), G_PRIORITY_DEFAULT, nullptr,
            [](GObject* source, GAsyncResult* result, gpointer data)
            {
                g_output_stream_write_all_finish(
                    G_OUTPUT_STREAM(source), result, nullptr, nullptr);
                --static_cast<canned_server*>(data)->pending_;
                static_cast<canned_server*>(data)->answered();
            },
            this);
    }

    void answered()
    {
        if (requests_ >= answers_.size())
            g_io_stream_close(G_IO_STREAM(connection_.get()), nullptr, nullptr);
        else
            read_next();
    }

    std::vector<std::string> answers_;
    object_ptr<GSocketService> service_;
    object_ptr<GSocketConnection> connection_;
    std::uint16_t port_ = 0;
    std::size_t requests_ = 0;
    int pending_ = 0; // reads and writes in progress
    char buffer_[65536];
};

// Sends requests one after the other and returns what became of each.
std::vector<backend_result>
run_requests(std::uint16_t port, std::string const& method, std::size_t count)
{
    event_loop loop;
    std::vector<backend_result> results;
    std::unique_ptr<backend_client> client;
    auto const send = [&]
    {
        client->run(
            results.size() + 1, {"127.0.0.1", port}, {method, "/", {}, {}},
            std::chrono::seconds(5));
    };
    client = std::make_unique<backend_client>(backend_handlers{
        [&](std::uint64_t, backend_result r)
        {
            results.push_back(std::move(r));
            if (results.size() == count)
                loop.quit();
            else
                send();
        },
        [](std::string const&, bool) {}});
    send();
    loop.run();
    return results;
}

backend_result result_of(std::string const& answer)
{
    canned_server const server({answer});
    return run_requests(server.port(), "POST", 1).at(0);
}

std::string const head = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_CASE("whole answers are taken, by length and in chunks")
{
    std::string const answer = GENERATE(
        head + "Content-Length: 5\r\n\r\nhello",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
    // It would answer a second request, so it keeps the connection open.
    canned_server const server({answer, answer});
    backend_result const r = run_requests(server.port(), "POST", 1).at(0);
    CHECK(std::get<backend_answered>(r).answer_.body_ == "hello");
}

TEST_CASE("answers that are cut, or whose length nobody stated, are in doubt")
{
    std::string const answer = GENERATE(
        head + "Content-Length: 9\r\n\r\nhello",
        head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhello",
        head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        head + "\r\nhello");
    CAPTURE(answer);
    backend_result const r = result_of(answer);
    REQUIRE(std::holds_alternative<backend_broken>(r));
    CHECK(
        std::get<backend_broken>(r).reason_ ==
        indeterminate_reason::answer_incomplete);
}

TEST_CASE("an answer that is too large is in doubt")
{
    std::string const body(max_answer_bytes + 1, 'x');
    backend_result const r = result_of(
        head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body);
    CHECK(
        std::get<backend_broken>(r).reason_ ==
        indeterminate_reason::answer_too_large);
}

TEST_CASE("a connection that ends without an answer is lost")
{
    backend_result const r = result_of("");
    CHECK(
        std::get<backend_broken>(r).reason_ ==
        indeterminate_reason::connection_lost);
}

TEST_CASE("a server that does not listen was not connected to")
{
    std::uint16_t port = 0;
    {
        canned_server const gone({""});
        port = gone.port();
    }
    backend_result const r = run_requests(port, "POST", 1).at(0);
    CHECK(std::get<backend_not_connected>(r).server_failed_);
}

TEST_CASE("a request on a kept connection that breaks is not sent again")
{
    std::string const method = GENERATE("GET", "PUT", "POST");
    canned_server const server(
        {head + "Content-Length: 2\r\n\r\nok", std::string{}});
    std::vector<backend_result> const results =
        run_requests(server.port(), method, 2);
    CHECK(std::holds_alternative<backend_answered>(results.at(0)));
    CHECK(std::holds_alternative<backend_broken>(results.at(1)));
    CHECK(server.requests() == 2);
}
