#include <jackdawhall/loop/socket_options.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jackdawhall::loop
{

namespace
{

constexpr gint unacknowledged_ms = 3000;
constexpr gint idle_s = 5;
constexpr gint probe_interval_s = 1;
constexpr gint probes = 3;

} // namespace

void set_socket_options(GSocket* socket)
{
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    g_socket_set_option(
        socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_ms, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, idle_s, nullptr);
    g_socket_set_option(
        socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, probes, nullptr);
}

void set_socket_options(GIOStream* stream)
{
    if (G_IS_SOCKET_CONNECTION(stream))
        set_socket_options(
            g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream)));
}

} // namespace jackdawhall::loop
