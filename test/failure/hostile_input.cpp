// Sends generated garbage to a daemon's ports: HTTP to the callers' and the
// operators', frames to the peers'. Each connection must end or be answered
// within a bound, and the daemon must stay healthy; the caller of this program
// checks the latter.
#include <cstdlib>
#include <iostream>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>

#include <arpa/inet.h>
#include <jackdawhall/model.hpp>
#include <netinet/in.h>
#include <unistd.h>

namespace
{

using jackdawhall::random_source;

constexpr int answer_bound_s = 5;

std::string garbage(random_source& random, std::size_t most)
{
    std::string bytes;
    for (std::uint64_t left = random.below(most); left > 0; --left)
        bytes.push_back(static_cast<char>(random.below(256)));
    return bytes;
}

// Announcements that are cut, nested or no UTF-8.
std::string bad_announcement(random_source& random)
{
    static std::string const levels(100000, '[');
    std::string body;
    switch (random.below(4))
    {
    case 0:
        body = "{\"id\":";
        break;
    case 1:
        body = "\xff";
        break;
    case 2:
        body = R"({"id":"odd-1","service":"plans","address":"10.0.0.9:80",)"
               R"("slots":1,"connections":1,"calls":)" +
               levels + std::string(levels.size(), ']') + "}";
        break;
    default:
        body = levels;
    }
    return "POST /.jackdawhall/announce HTTP/1.1\r\nHost: a\r\n"
           "Content-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string bad_http(random_source& random)
{
    static std::string const good =
        "POST /payments HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
        "jackdawhall-key: jdh_a/b/c\r\n\r\nbody";
    switch (random.below(8))
    {
    case 0:
        return garbage(random, 400) + "\r\n\r\n";
    case 1:
        return "GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n\r\n";
    case 2:
        return "GET / HTTP/1.1\r\nA: " + std::string(70000, 'y') + "\r\n\r\n";
    case 3:
        return "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n";
    case 4:
        return "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n";
    case 5:
        return bad_announcement(random);
    default:
    {
        std::string changed = good;
        for (std::uint64_t k = 0; k <= random.below(8); ++k)
            changed[random.below(changed.size())] =
                static_cast<char>(random.below(256));
        return changed;
    }
    }
}

std::string bad_frame(random_source& random)
{
    std::string bytes(4, '\0');
    std::uint32_t const length = htonl(
        random.below(2) == 0 ? static_cast<std::uint32_t>(random.below(600))
                             : static_cast<std::uint32_t>(random.next()));
    bytes.assign(reinterpret_cast<char const*>(&length), sizeof length);
    return bytes + garbage(random, 600);
}

// Sends bytes, half-closes, and waits for the end; false if it hangs.
bool exchange(sockaddr_in const& to, std::string const& bytes)
{
    int const s = ::socket(AF_INET, SOCK_STREAM, 0);
    timeval const bound{answer_bound_s, 0};
    ::setsockopt(s, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    if (::connect(s, reinterpret_cast<sockaddr const*>(&to), sizeof to) != 0)
    {
        ::close(s);
        return false;
    }
    (void)!::send(s, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    ::shutdown(s, SHUT_WR);
    char buffer[4096];
    ssize_t n = 0;
    while ((n = ::recv(s, buffer, sizeof buffer, 0)) > 0)
    {
    }
    bool const hung = n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    ::close(s);
    return !hung;
}

sockaddr_in address_of(char const* ip, int port)
{
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip, &a.sin_addr);
    return a;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
    {
        std::cerr << "hostile_input IP FIRST_PORT COUNT\n";
        return EXIT_FAILURE;
    }
    int const base = std::atoi(argv[2]);
    int const count = std::atoi(argv[3]);
    random_source random(2026);
    int hung = 0;
    for (int i = 0; i < count; ++i)
    {
        int const kind = i % 3; // callers, peers, operators
        std::string const bytes =
            kind == 1 ? bad_frame(random) : bad_http(random);
        if (exchange(address_of(argv[1], base + kind), bytes))
            continue;
        ++hung;
        std::cout << "hung, kind " << kind << ": " << bytes.substr(0, 200)
                  << std::endl;
    }
    std::cout << count << " malformed inputs, " << hung << " hung" << std::endl;
    return hung == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
