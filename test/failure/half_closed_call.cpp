// Sends standard input to ADDRESS PORT, ends its sending side at once, and
// prints all that comes back, until the other side ends or nothing comes for
// some seconds.
#include <array>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <string>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace
{

constexpr int answer_bound_s = 8;

int connect_to(char const* address, std::uint16_t port)
{
    int const fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval const bound{answer_bound_s, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    inet_pton(AF_INET, address, &to.sin_addr);
    if (connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to) == 0)
        return fd;
    close(fd);
    return -1;
}

} // namespace

int main(int count, char** arguments)
{
    if (count != 3)
        return EXIT_FAILURE;
    int const fd = connect_to(
        arguments[1], static_cast<std::uint16_t>(std::atoi(arguments[2])));
    if (fd < 0)
        return EXIT_FAILURE;
    std::string const request(std::istreambuf_iterator<char>(std::cin), {});
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    shutdown(fd, SHUT_WR);
    std::array<char, 4096> part{};
    ssize_t n = 0;
    while ((n = recv(fd, part.data(), part.size(), 0)) > 0)
        std::cout.write(part.data(), n);
    close(fd);
    return n == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
