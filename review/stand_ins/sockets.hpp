// Plain IPv4 sockets for the stand-ins of the review: blocking, with time
// limits, on loopback addresses only.
#ifndef JACKDAWHALL_REVIEW_SOCKETS_HPP
#define JACKDAWHALL_REVIEW_SOCKETS_HPP

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>

namespace review
{

using steady = std::chrono::steady_clock;

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               steady::now().time_since_epoch())
        .count();
}

// Parses "127.x.y.z:port" and refuses any address that is not loopback.
inline sockaddr_in parse_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (colon == std::string::npos ||
        inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) !=
            1)
        throw std::runtime_error("not an address: " + text);
    if ((ntohl(address.sin_addr.s_addr) >> 24) != 127)
        throw std::runtime_error("not a loopback address: " + text);
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    return address;
}

// Waits until `fd` has `events` or `until_ms` has passed.
inline bool wait_for(int fd, short events, std::int64_t until_ms)
{
    for (;;)
    {
        std::int64_t const left = until_ms - now_ms();
        if (left <= 0)
            return false;
        pollfd one{fd, events, 0};
        int const n = poll(&one, 1, static_cast<int>(left));
        if (n > 0)
            return true;
        if (n < 0 && errno != EINTR)
            return false;
    }
}

// Returns a connected socket, or -1. `receive_buffer` of 0 leaves the default.
inline int
connect_to(std::string const& to, std::int64_t until_ms, int receive_buffer = 0)
{
    sockaddr_in const address = parse_address(to);
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    if (receive_buffer > 0)
        setsockopt(
            fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    int const one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    int error = 0;
    socklen_t size = sizeof error;
    if (connect(
            fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) !=
            0 &&
        (errno != EINPROGRESS || !wait_for(fd, POLLOUT, until_ms) ||
         getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
         error != 0))
    {
        close(fd);
        return -1;
    }
    return fd;
}

// Returns a listening socket, or -1 if the address is in use.
inline int listen_at(std::string const& at)
{
    sockaddr_in const address = parse_address(at);
    int const fd = socket(AF_INET, SOCK_STREAM, 0);
    int const one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) !=
            0 ||
        listen(fd, 128) != 0)
    {
        close(fd);
        return -1;
    }
    return fd;
}

inline bool send_all(int fd, std::string_view bytes, std::int64_t until_ms)
{
    while (!bytes.empty())
    {
        ssize_t const n =
            send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0)
            bytes.remove_prefix(static_cast<std::size_t>(n));
        else if (
            (errno != EAGAIN && errno != EINTR) ||
            !wait_for(fd, POLLOUT, until_ms))
            return false;
    }
    return true;
}

// Appends what can be read at once; waits for it until `until_ms`. Returns the
// number of bytes, 0 at the end of the connection, -1 on an error or timeout.
inline ssize_t read_some(
    int fd, std::string& into, std::int64_t until_ms, std::size_t most = 65536)
{
    if (!wait_for(fd, POLLIN, until_ms))
        return -1;
    std::string buffer(most, '\0');
    ssize_t const n = recv(fd, buffer.data(), buffer.size(), 0);
    if (n > 0)
        into.append(buffer.data(), static_cast<std::size_t>(n));
    return n;
}

// Returns the value of a header in a head, without regard to case, or "".
inline std::string header_of(std::string const& head, std::string const& name)
{
    std::size_t at = head.find("\r\n");
    while (at != std::string::npos && at + 2 < head.size())
    {
        std::size_t const begin = at + 2;
        std::size_t const end = head.find("\r\n", begin);
        std::string const line = head.substr(begin, end - begin);
        if (line.size() > name.size() && line[name.size()] == ':' &&
            strncasecmp(line.c_str(), name.c_str(), name.size()) == 0)
        {
            std::size_t const value =
                line.find_first_not_of(" \t", name.size() + 1);
            return value == std::string::npos ? "" : line.substr(value);
        }
        at = end;
    }
    return "";
}

} // namespace review

#endif
