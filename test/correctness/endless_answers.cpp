// Bytes of a server that never end, in each part of an answer: the run ends
// long before its time limit and in doubt, the connection is closed, and other
// runs go on.
#include <catch2/catch.hpp>

#include <scripted_server.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using jackdawhall::test::script;
using jackdawhall::test::scripted_server;

namespace
{

constexpr duration time_limit = std::chrono::seconds(3);

// Sends `count` requests to each port at the same time.
std::vector<backend_result>
run_requests(std::vector<std::uint16_t> const& ports, std::size_t count)
{
    event_loop loop;
    std::size_t left = ports.size() * count;
    std::vector<backend_result> results(left);
    backend_client client(backend_handlers{
        [&](std::uint64_t run, backend_result r)
        {
            results.at(run) = std::move(r);
            if (--left == 0)
                loop.quit();
        },
        [](std::string const&, bool) {}});
    std::size_t run = 0;
    for (std::uint16_t const port : ports)
    {
        for (std::size_t i = 0; i < count; ++i)
            client.run(
                run++, {"127.0.0.1", port}, {"GET", "/", {}, {}}, time_limit,
                {"x-id", "a", true});
    }
    loop.run();
    return results;
}

std::string repeat(std::string const& part, std::size_t count)
{
    std::string all;
    for (std::size_t i = 0; i < count; ++i)
        all += part;
    return all;
}

std::string const head = "HTTP/1.1 200 OK\r\n";
std::string const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
std::string const foreign = head + "x-id: z\r\nContent-Length: 0\r\n\r\n";
std::string const informs = "HTTP/1.1 103 Early Hints\r\n\r\n";
std::string const good = head + "x-id: a\r\nContent-Length: 4\r\n\r\nwell";

bool is_given_up(backend_result const& r)
{
    backend_broken const* b = std::get_if<backend_broken>(&r);
    return b && (b->reason_ == indeterminate_reason::answer_too_large ||
                 b->reason_ == indeterminate_reason::answer_incomplete);
}

} // namespace

TEST_CASE("an answer that never ends is given up, and others go on")
{
    script const endless = GENERATE(
        script{"HTTP/1.1 200 ", "O"}, // start line, by bytes
        script{"HTTP/1.1 200 ", std::string(1000, 'O')},
        script{head + "x: ", std::string(1000, 'y')},      // one field
        script{head, "x: y\r\n" + repeat("x: y\r\n", 20)}, // whole fields
        script{informs, informs},                          // one in a read
        script{informs, repeat(informs, 8000)},            // many in a read
        script{foreign, foreign}, script{foreign, repeat(foreign, 4000)},
        script{chunked, "0"}, // size of a chunk
        script{chunked + "1;", std::string(1000, 'e')},
        script{chunked, "1;" + std::string(5000, 'e') + "\r\nx\r\n"},
        script{chunked + "0\r\n", "x: y\r\n"}, // trailer
        script{chunked, "4000\r\n" + std::string(0x4000, 'x') + "\r\n"},
        script{head + "\r\n", std::string(60000, 'x')}, script{"\r\n", "\r\n"},
        script{"\x01\x02", "\x01\x02"});
    CAPTURE(endless.text_, endless.endless_.substr(0, 60));
    scripted_server const faulty({endless});
    scripted_server const sound({script{good, {}}});
    instant const before = read_clocks().now_;
    std::vector<backend_result> const r =
        run_requests({faulty.port(), sound.port()}, 1);
    CHECK(is_given_up(r.at(0)));
    CHECK(read_clocks().now_ - before < time_limit);
    CHECK(std::get<backend_answered>(r.at(1)).answer_.body_ == "well");
}

TEST_CASE("answers in progress hold a bounded amount together")
{
    // Each stays below the bound of one answer, and does not end.
    std::size_t const each = 7 << 20;
    std::size_t const count = 2 * max_held_bytes / each;
    scripted_server const faulty(
        {{head + "Content-Length: " + std::to_string(each + 1) + "\r\n\r\n" +
              std::string(each, 'x'),
          {}}});
    scripted_server const sound({script{good, {}}});
    std::vector<backend_result> const r =
        run_requests({faulty.port(), sound.port()}, count);
    std::size_t given_up = 0;
    for (std::size_t i = 0; i < count; ++i)
    {
        given_up += is_given_up(r.at(i)) ? 1 : 0;
        CHECK(std::holds_alternative<backend_answered>(r.at(count + i)));
    }
    CHECK(given_up * each >= count * each - max_held_bytes);
    CHECK(given_up < count);
}

TEST_CASE("a body in chunks of one byte is taken")
{
    scripted_server const server(
        {{head + "x-id: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
              repeat("1\r\nx\r\n", 300000) + "0\r\n\r\n",
          {}}});
    backend_result const r = run_requests({server.port()}, 1).at(0);
    CHECK(std::get<backend_answered>(r).answer_.body_.size() == 300000);
}
