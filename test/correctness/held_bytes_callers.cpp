// Callers that don't read their answers, and large requests that come in
// slowly: those of one address yield once they hold too much together, the
// requests with a refusal, and others' calls go on.
#include <catch2/catch.hpp>

#include <cerrno>

#include <arpa/inet.h>
#include <sys/socket.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>

using namespace jackdawhall;
using namespace jackdawhall::loop;

namespace
{

constexpr std::size_t mib = 1 << 20;
constexpr std::size_t budget_bytes = 16 * mib;
constexpr std::size_t answer_bytes = 4 * mib;
constexpr std::size_t body_bytes = 900 << 10;
constexpr std::size_t callers = 30;
endpoint const address{"127.0.7.2", 25390};
constexpr char many_from[] = "127.0.7.3";

int connect_from(char const* source)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const small = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    inet_pton(AF_INET, source, &at.sin_addr);
    bind(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at);
    at.sin_port = htons(address.port_);
    inet_pton(AF_INET, address.address_.c_str(), &at.sin_addr);
    connect(fd, reinterpret_cast<sockaddr const*>(&at), sizeof at);
    return fd;
}

void send_text(int fd, std::string const& text)
{
    ::send(fd, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

// Serves on `budget` for a while, with `text` sent by each of many callers, and
// one other caller that asks for something small. Returns what it got.
std::string
serve(budget_ptr const& budget, std::string const& text, std::vector<int>& fds)
{
    event_loop loop;
    http_server* serving = nullptr;
    http_server server(
        address, 100,
        {[&](std::uint64_t number, request r, std::string const&)
         {
             std::size_t const size = r.path_ == "/small" ? 4 : answer_bytes;
             serving->answer(number, {200, {}, std::string(size, 'a')});
         },
         [](std::uint64_t) {}},
        budget);
    serving = &server;
    REQUIRE(server.listen("test"));
    int const other = connect_from("127.0.7.4");
    for (std::size_t i = 0; i < callers; ++i)
        fds.push_back(connect_from(many_from));
    event_loop::delayed begin;
    std::function<void()> feed;
    std::size_t sent = 0;
    feed = [&]
    {
        for (int const fd : fds)
            send_text(fd, sent == 0 ? text.substr(0, 200) : std::string());
        std::size_t const part = 64 << 10;
        for (int const fd : fds)
            if (sent >= 200 && sent < text.size())
                send_text(fd, text.substr(sent, part));
        sent = sent == 0 ? 200 : sent + part;
        begin.set(std::chrono::milliseconds(5), feed);
    };
    feed();
    event_loop::delayed stop;
    stop.set(
        std::chrono::milliseconds(400),
        [&] { send_text(other, "GET /small HTTP/1.1\r\nhost: a\r\n\r\n"); });
    event_loop::delayed end;
    end.set(std::chrono::milliseconds(800), [&] { loop.quit(); });
    loop.run();
    std::string got(1000, char(0));
    ssize_t const n = recv(other, got.data(), got.size(), MSG_DONTWAIT);
    got.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    close_fd(other);
    return got;
}

} // namespace

TEST_CASE("callers that do not read large answers yield, others are served")
{
    budget_ptr const budget = std::make_shared<memory_budget>(budget_bytes);
    std::vector<int> fds;
    std::string const got =
        serve(budget, "GET /large HTTP/1.1\r\nhost: a\r\n\r\n", fds);
    CHECK(got.ends_with("aaaa"));
    CHECK(budget->held().peak_ <= budget_bytes + callers * answer_bytes);
    CHECK(budget->yields().at(holding(unread_answer{}).index()) >= callers / 2);
    for (int const fd : fds)
        close_fd(fd);
}

TEST_CASE("large requests that come in yield with a refusal")
{
    budget_ptr const budget = std::make_shared<memory_budget>(budget_bytes);
    std::vector<int> fds;
    std::string const head = "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: " +
                             std::to_string(body_bytes + 1) + "\r\n\r\n";
    std::string const got =
        serve(budget, head + std::string(body_bytes, 'b'), fds);
    CHECK(got.ends_with("aaaa"));
    std::size_t refused = 0;
    for (int const fd : fds)
    {
        std::string answer(12, char(0));
        ssize_t const n = recv(fd, answer.data(), answer.size(), MSG_DONTWAIT);
        refused += n > 0 && answer.starts_with("HTTP/1.1 503") ? 1 : 0;
        close_fd(fd);
    }
    std::size_t const fit = budget_bytes / body_bytes;
    CHECK(refused >= callers - fit);
    CHECK(refused < callers);
}
