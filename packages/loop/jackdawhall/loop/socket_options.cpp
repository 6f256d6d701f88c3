#include <jackdawhall/loop/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jackdawhall::loop
{

namespace
{

constexpr int idle_s = 5;
constexpr int probe_interval_s = 1;
constexpr int probes = 3;

void set(int fd, int level, int option, int value)
{
    setsockopt(fd, level, option, &value, sizeof value);
}

} // namespace

void set_socket_options(int fd, duration stall_time)
{
    std::chrono::milliseconds const stall =
        std::chrono::duration_cast<std::chrono::milliseconds>(stall_time);
    set(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(fd, IPPROTO_TCP, TCP_NODELAY, 1);
    set(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(stall.count()));
    set(fd, IPPROTO_TCP, TCP_KEEPIDLE, idle_s);
    set(fd, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set(fd, IPPROTO_TCP, TCP_KEEPCNT, probes);
}

void set_socket_options(GSocket* socket)
{
    set_socket_options(g_socket_get_fd(socket));
}

} // namespace jackdawhall::loop
