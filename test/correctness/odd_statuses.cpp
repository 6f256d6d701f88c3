// A server in trouble answers with a status that HTTP doesn't have, such as
// 000. Its caller never gets that as an answer, and the connection is not used
// again (MIXED).
#include <catch2/catch.hpp>

#include <scripted_server.hpp>

#include <jackdawhall/platform.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using jackdawhall::test::script;
using jackdawhall::test::scripted_server;

namespace
{

std::string const body = "Content-Length: 2\r\n\r\nok";
std::string const proper = "HTTP/1.1 200 OK\r\nx-id: a\r\n" + body;

struct odd_answer
{
    char const* shape_;
    std::function<script(std::string const& status)> make_;
};

script ending(std::string text)
{
    return {std::move(text), {}, true};
}

std::vector<odd_answer> const odd_answers{
    {"with a length", [](std::string const& s)
     { return script{"HTTP/1.1 " + s + " Odd\r\nx-id: a\r\n" + body}; }},
    {"without a reason", [](std::string const& s)
     { return script{"HTTP/1.1 " + s + "\r\nx-id: a\r\n" + body}; }},
    {"with an empty body",
     [](std::string const& s)
     {
         return script{
             "HTTP/1.1 " + s + " Odd\r\nx-id: a\r\nContent-Length: 0\r\n\r\n"};
     }},
    {"without a length", [](std::string const& s)
     { return ending("HTTP/1.1 " + s + " Odd\r\nx-id: a\r\n\r\nok"); }},
    {"without fields", [](std::string const& s)
     { return ending("HTTP/1.1 " + s + " Odd\r\n\r\n"); }},
    {"in chunks",
     [](std::string const& s)
     {
         return script{
             "HTTP/1.1 " + s +
             " Odd\r\nx-id: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nok\r\n0\r\n\r\n"};
     }},
    {"after hints",
     [](std::string const& s)
     {
         return script{
             "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 " + s +
             " Odd\r\nx-id: a\r\n" + body};
     }},
    {"of HTTP/1.0", [](std::string const& s)
     { return ending("HTTP/1.0 " + s + " Odd\r\nx-id: a\r\n" + body); }},
    {"with a proper one behind it",
     [](std::string const& s) {
         return script{"HTTP/1.1 " + s + " Odd\r\nx-id: a\r\n" + body + proper};
     }},
    {"that claims not to have run",
     [](std::string const& s)
     {
         return script{
             "HTTP/1.1 " + s +
             " Odd\r\nx-id: a\r\nX-Jackdawhall-Not-Executed: full\r\n" + body};
     }},
};

struct exchange
{
    std::vector<backend_result> results_;
    std::size_t connections_ = 0;
};

// Sends a request that is answered oddly, then one that is answered properly.
exchange
run_two(script odd, std::string const& method, answer_rules const& rules)
{
    scripted_server const server({std::move(odd), script{proper}});
    event_loop loop;
    exchange e;
    std::unique_ptr<backend_client> client;
    std::function<void()> const send = [&]
    {
        client->run(
            e.results_.size() + 1, {"127.0.0.1", server.port()},
            {method, "/", {}, {}}, std::chrono::seconds(2), rules);
    };
    client = std::make_unique<backend_client>(backend_handlers{
        [&](std::uint64_t, backend_result r)
        {
            e.results_.push_back(std::move(r));
            if (e.results_.size() == 2)
                loop.quit();
            else
                send();
        },
        [](std::string const&, bool) {}});
    send();
    loop.run();
    e.connections_ = server.connections();
    return e;
}

} // namespace

TEST_CASE("an answer whose status HTTP doesn't have is no answer")
{
    std::string const status = GENERATE("000", "099", "600", "999", "1000");
    std::string const method = GENERATE("GET", "HEAD", "POST");
    bool const lacks_length = GENERATE(true, false);
    bool const repeatable = GENERATE(true, false);
    std::string const echoed = GENERATE("x-id", "");
    for (odd_answer const& odd : odd_answers)
    {
        CAPTURE(status, odd.shape_, method, lacks_length, repeatable, echoed);
        exchange const e = run_two(
            odd.make_(status), method, {echoed, "a", lacks_length, repeatable});
        REQUIRE(std::holds_alternative<backend_broken>(e.results_.at(0)));
        CHECK(std::holds_alternative<backend_answered>(e.results_.at(1)));
        CHECK(e.connections_ == 2);
    }
}

TEST_CASE("a caller is told that a request answered so may have run")
{
    answer const a = platform::to_caller(
        may_have_run{indeterminate_reason::answer_incomplete}, "attempt");
    CHECK(a.status_ == 502);
}
