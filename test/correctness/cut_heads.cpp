// An answer whose head is cut off by the end of its connection is never taken
// for a whole one, wherever it is cut.
#include <catch2/catch.hpp>

#include <scripted_server.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using jackdawhall::test::script;
using jackdawhall::test::scripted_server;

namespace
{

std::string const whole = "HTTP/1.1 200 OK\r\nx-id: a\r\nKeep-Alive: "
                          "timeout=10\r\nContent-Length: 2\r\n\r\nok";

// Sends `count` requests, one after the other, and returns the last result.
backend_result last_result(
    std::vector<script> answers, std::size_t count, bool may_lack_length)
{
    scripted_server const server(std::move(answers));
    event_loop loop;
    std::unique_ptr<backend_client> client;
    std::size_t done = 0;
    backend_result last;
    std::function<void()> const send = [&]
    {
        client->run(
            done + 1, {"127.0.0.1", server.port()}, {"GET", "/", {}, {}},
            std::chrono::seconds(2), {"x-id", "a", may_lack_length});
    };
    client = std::make_unique<backend_client>(backend_handlers{
        [&](std::uint64_t, backend_result r)
        {
            last = std::move(r);
            if (++done == count)
                loop.quit();
            else
                send();
        },
        [](std::string const&, bool) {}});
    send();
    loop.run();
    return last;
}

void check_in_doubt(backend_result const& r)
{
    REQUIRE(std::holds_alternative<backend_broken>(r));
    indeterminate_reason const why = std::get<backend_broken>(r).reason_;
    bool const is_cut = why == indeterminate_reason::answer_incomplete ||
                        why == indeterminate_reason::connection_lost;
    CHECK(is_cut);
}

void check_each_cut(
    std::string const& before, std::string const& answer,
    std::vector<script> const& earlier)
{
    bool const may_lack_length = GENERATE(false, true);
    std::size_t const head = answer.find("\r\n\r\n") + 4;
    for (std::size_t cut = 0; cut < head; ++cut)
    {
        CAPTURE(cut, may_lack_length);
        std::vector<script> answers = earlier;
        answers.push_back({before + answer.substr(0, cut), {}, true});
        check_in_doubt(last_result(answers, answers.size(), may_lack_length));
    }
}

} // namespace

// Callers were given an empty 200, framed as whole.
TEST_CASE("a head that is cut is no answer, on a new connection")
{
    std::string const answer = GENERATE(
        std::string(whole), std::string("HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nok"),
        std::string("HTTP/1.1 200 OK\r\nx-id: a\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
        std::string("HTTP/1.1 204 No Content\r\nx-id: a\r\n\r\n"));
    check_each_cut("", answer, {});
}

TEST_CASE("a head that is cut is no answer, on a kept connection")
{
    check_each_cut("", whole, {{whole, {}, false}});
}

TEST_CASE("a head that is cut behind an informational answer is no answer")
{
    check_each_cut("HTTP/1.1 100 Continue\r\n\r\n", whole, {});
}

TEST_CASE("the same answers are taken whole")
{
    bool const may_lack_length = GENERATE(false, true);
    backend_result const r =
        last_result({{whole, {}, true}}, 1, may_lack_length);
    CHECK(std::get<backend_answered>(r).answer_.body_ == "ok");
}
