// A backend server as the pages describe it:
//   backend ID LISTEN ORDERS SERVICE [--beat_ms N] [--record FILE]
// It pings ORDERS, answers GET /health, answers 421 if another instance is
// expected, and runs every other request: "?work=MS" in the path is the time
// that it works, "?size=N" the bytes of its answer. Like most servers it drops
// a request whose connection closes. Each run goes to the record as
//   run ID ATTEMPT METHOD PATH at MS
// and its end as "done" or "dropped".
#include <atomic>
#include <fstream>
#include <iostream>
#include <mutex>
#include <thread>

#include "sockets.hpp"

namespace
{

struct server
{
    std::string id_;
    std::string listen_;
    std::string orders_;
    std::string service_;
    int beat_ms_ = 1500;
    std::ofstream record_;
    std::mutex record_lock_;
};

void record(server& s, std::string const& what)
{
    auto const wall = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    std::lock_guard const held(s.record_lock_);
    s.record_ << what << " at " << wall << std::endl;
}

void beat(server& s)
{
    auto const born = std::chrono::duration_cast<std::chrono::milliseconds>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
    for (std::uint64_t sequence = 1;; ++sequence)
    {
        std::string const body =
            "{\"service\":\"" + s.service_ + "\",\"address\":\"" + s.listen_ +
            "\",\"zone\":\"sask-rgn\",\"version\":\"v1\",\"slots\":77," +
            "\"state\":\"ready\",\"coldRemaining\":0,\"sequence\":" +
            std::to_string(sequence) + ",\"born\":" + std::to_string(born) +
            "}";
        std::int64_t const began = review::now_ms();
        int const fd = review::connect_to(s.orders_, began + 1000);
        if (fd >= 0)
        {
            std::string answer;
            if (review::send_all(
                    fd,
                    "POST /-/rpc?call=instances.heartbeat&of=" + s.id_ +
                        " HTTP/1.1\r\nHost: " + s.orders_ +
                        "\r\nContent-Type: application/json\r\n"
                        "Connection: close\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n" + body,
                    began + 1000))
                review::read_some(fd, answer, began + 1000);
            close(fd);
            if (sequence == 1)
                record(s, "beat answered " + answer.substr(0, 15));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(s.beat_ms_));
    }
}

long number_in(std::string const& path, std::string const& name)
{
    std::size_t const at = path.find(name + "=");
    return at == std::string::npos ? 0 : std::atol(&path[at + name.size() + 1]);
}

// Works for `ms`, and returns false if the caller leaves meanwhile.
bool work(int fd, long ms)
{
    std::int64_t const until = review::now_ms() + ms;
    while (review::now_ms() < until)
    {
        if (!review::wait_for(fd, POLLIN, until))
            continue;
        char byte = 0;
        ssize_t const n = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n == 0 || (n < 0 && errno != EAGAIN))
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

std::string
head_of(std::string const& status, std::size_t length, std::string const& more)
{
    return "HTTP/1.1 " + status +
           "\r\nContent-Length: " + std::to_string(length) +
           "\r\nKeep-Alive: timeout=10\r\n" + more + "\r\n";
}

// Returns whether the connection can be used again.
bool serve_one(server& s, int fd, std::string& in)
{
    std::int64_t const forever = review::now_ms() + 600'000;
    std::size_t end = 0;
    while ((end = in.find("\r\n\r\n")) == std::string::npos)
    {
        if (review::read_some(fd, in, forever) <= 0)
            return false;
    }
    std::string const head = in.substr(0, end + 2);
    std::string const length = review::header_of(head, "Content-Length");
    std::size_t const whole =
        end + 4 + (length.empty() ? 0 : std::stoul(length));
    while (in.size() < whole)
    {
        if (review::read_some(fd, in, forever) <= 0)
            return false;
    }
    in.erase(0, whole);
    std::string const method = head.substr(0, head.find(' '));
    std::size_t const path_at = method.size() + 1;
    std::string const path =
        head.substr(path_at, head.find(' ', path_at) - path_at);
    if (path == "/health")
        return review::send_all(
            fd,
            head_of(
                "200 OK", 0, "X-Jackdawhall-Instance-Id: " + s.id_ + "\r\n"),
            forever);
    std::string const expected =
        review::header_of(head, "X-Jackdawhall-Expected-Instance");
    std::string const attempt =
        review::header_of(head, "X-Jackdawhall-Attempt-Id");
    std::string const echo = "X-Jackdawhall-Attempt-Id: " + attempt +
                             "\r\nX-Jackdawhall-Instance-Id: " + s.id_ + "\r\n";
    if (!expected.empty() && expected != s.id_)
        return review::send_all(
            fd, head_of("421 Misdirected Request", 0, echo), forever);
    std::string const named = s.id_ + " " + attempt + " " + method + " " + path;
    record(s, "run " + named);
    if (!work(fd, number_in(path, "work")))
    {
        record(s, "dropped " + named);
        return false;
    }
    static std::atomic<unsigned> stamps{0};
    std::string const body(
        static_cast<std::size_t>(number_in(path, "size")), 'x');
    bool const sent = review::send_all(
        fd,
        head_of(
            "200 OK", body.size(),
            echo + "X-Jackdawhall-Server-Stamp: " + s.id_ + "." +
                std::to_string(++stamps) + "\r\n") +
            body,
        forever);
    record(s, (sent ? "done " : "cut ") + named);
    return sent;
}

void serve(server& s, int fd)
{
    std::string in;
    while (serve_one(s, fd, in))
    {
    }
    close(fd);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    static server s;
    s.id_ = argv[1];
    s.listen_ = argv[2];
    s.orders_ = argv[3];
    s.service_ = argv[4];
    for (int i = 5; i + 1 < argc; i += 2)
    {
        if (std::string(argv[i]) == "--beat_ms")
            s.beat_ms_ = std::atoi(argv[i + 1]);
        else
            s.record_.open(argv[i + 1], std::ios::app);
    }
    int const listener = review::listen_at(s.listen_);
    if (listener < 0)
        return 2;
    std::thread([] { beat(s); }).detach();
    for (;;)
    {
        int const fd = accept(listener, nullptr, nullptr);
        if (fd >= 0)
            std::thread([fd] { serve(s, fd); }).detach();
    }
}
