// A copy of an earlier answer on a kept connection is never taken for the
// answer to the request that is sent there next, whether the copy has the id
// of another request, none, or that of the same request sent before.
#include <catch2/catch.hpp>

#include <scripted_server.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;
using jackdawhall::test::scripted_server;

namespace
{

std::string answer_of(
    std::string const& status, std::string const& id, std::string const& body)
{
    return "HTTP/1.1 " + status + "\r\n" +
           (id.empty() ? "" : "x-id: " + id + "\r\n") +
           "Keep-Alive: timeout=10\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Sends a request for each id, one after the other.
std::vector<backend_result>
run_requests(std::uint16_t port, std::vector<std::string> const& ids)
{
    event_loop loop;
    std::vector<backend_result> results;
    std::unique_ptr<backend_client> client;
    std::function<void()> const send = [&]
    {
        client->run(
            results.size() + 1, {"127.0.0.1", port}, {"GET", "/", {}, {}},
            std::chrono::seconds(2), {"x-id", ids.at(results.size()), true});
    };
    timer_ptr const pause = make_timer(send);
    client = std::make_unique<backend_client>(backend_handlers{
        [&](std::uint64_t, backend_result r)
        {
            results.push_back(std::move(r));
            if (results.size() == ids.size())
                return loop.quit();
            set_timer_due(
                pause, read_clocks().now_ + std::chrono::milliseconds(20));
        },
        [](std::string const&, bool) {}});
    send();
    loop.run();
    return results;
}

std::string body_of(backend_result const& r)
{
    backend_answered const* a = std::get_if<backend_answered>(&r);
    return a ? a->answer_.body_ : "(none)";
}

std::string const busy = "503 Service Unavailable";
std::string const good = "200 OK";

} // namespace

TEST_CASE("a request that was refused is not sent again on that connection")
{
    // On one connection, the second answer would be a copy of the first.
    scripted_server const server(
        {{answer_of(busy, "a", "refused"), {}},
         {answer_of(good, "a", "ran"), {}}});
    std::vector<backend_result> const r =
        run_requests(server.port(), {"a", "a"});
    CHECK(body_of(r.at(0)) == "refused");
    CHECK(body_of(r.at(1)) == "ran");
    CHECK(server.connections() == 2);
}

TEST_CASE("a connection with a refusal carries other requests")
{
    scripted_server const server(
        {{answer_of(busy, "a", "refused"), {}},
         {answer_of(good, "b", "ran"), {}}});
    std::vector<backend_result> const r =
        run_requests(server.port(), {"a", "b"});
    CHECK(body_of(r.at(1)) == "ran");
    CHECK(server.connections() == 1);
}

TEST_CASE("an answer without an id on a kept connection leaves the run in "
          "doubt")
{
    std::string const status = GENERATE(
        std::string(busy), std::string("421 Misdirected Request"),
        std::string("500 Internal Server Error"), std::string(good));
    CAPTURE(status);
    scripted_server const server(
        {{answer_of(good, "a", "ran"), {}},
         {answer_of(status, "", "copy") + answer_of(good, "b", "ran"), {}}});
    std::vector<backend_result> const r =
        run_requests(server.port(), {"a", "b"});
    REQUIRE(std::holds_alternative<backend_broken>(r.at(1)));
    CHECK(
        std::get<backend_broken>(r.at(1)).reason_ ==
        indeterminate_reason::answer_incomplete);
}

TEST_CASE("an answer without an id is taken on a new connection")
{
    test::script const refusal{answer_of(busy, "", "refused"), {}};
    scripted_server const server({refusal});
    std::vector<backend_result> const r = run_requests(server.port(), {"a"});
    CHECK(body_of(r.at(0)) == "refused");
}

TEST_CASE("a copy of a refusal of another request is passed over")
{
    scripted_server const server(
        {{answer_of(busy, "a", "refused"), {}},
         {answer_of(busy, "a", "refused") + answer_of(good, "b", "ran"), {}}});
    std::vector<backend_result> const r =
        run_requests(server.port(), {"a", "b"});
    CHECK(body_of(r.at(1)) == "ran");
}

TEST_CASE("an answer to another request that ends the connection is no answer")
{
    test::script const other{
        "HTTP/1.1 200 OK\r\nx-id: z\r\n\r\nnot yours", {}, true};
    scripted_server const server({other});
    std::vector<backend_result> const r = run_requests(server.port(), {"a"});
    REQUIRE(std::holds_alternative<backend_broken>(r.at(0)));
    CHECK(
        std::get<backend_broken>(r.at(0)).reason_ ==
        indeterminate_reason::connection_lost);
}
