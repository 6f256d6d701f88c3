// Forwards TCP connections to one address, until SIGUSR1: from then on it reads
// and drops what comes on the connections that are open, and forwards only new
// ones, as something between two ends does that lost track of them. At SIGUSR2
// it resets the connections that are open, at both ends. From SIGHUP on, the
// kernel drops all packets of the connections that are open: what is sent on
// them is not even acknowledged.
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <list>

#include <glib-unix.h>
#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/gobject.hpp>
#include <linux/filter.h>
#include <sys/socket.h>

namespace
{

using namespace jackdawhall::loop;

struct pipe_pair
{
    object_ptr<GSocketConnection> in_;
    object_ptr<GSocketConnection> out_;
    bool silent_ = false;
    int ended_ = 0; // directions
    char up_[65536];
    char down_[65536];
};

std::list<pipe_pair> pairs;
object_ptr<GSocketClient> client(g_socket_client_new());
object_ptr<GSocketAddress> target;

struct pump
{
    pipe_pair* pair_;
    GInputStream* from_;
    GSocketConnection* to_;
    char* buffer_;
};

void pump_on(pump* p);

GSocket* socket_of(object_ptr<GSocketConnection> const& connection)
{
    return g_socket_connection_get_socket(connection.get());
}

// Passes the end of one direction on; both connections are closed after that
// of the other one.
void end_direction(pump const& p)
{
    pipe_pair& pair = *p.pair_;
    g_socket_shutdown(
        g_socket_connection_get_socket(p.to_), FALSE, TRUE, nullptr);
    if (++pair.ended_ == 2)
        pairs.remove_if([&](pipe_pair const& other)
                        { return &other == &pair; });
}

void read_done(GObject* source, GAsyncResult* result, gpointer data)
{
    pump* p = static_cast<pump*>(data);
    gssize const n =
        g_input_stream_read_finish(G_INPUT_STREAM(source), result, nullptr);
    bool const open = n > 0;
    if (open && !p->pair_->silent_)
        g_output_stream_write_all(
            g_io_stream_get_output_stream(G_IO_STREAM(p->to_)), p->buffer_,
            static_cast<gsize>(n), nullptr, nullptr, nullptr);
    if (open)
        return pump_on(p);
    if (!p->pair_->silent_)
        end_direction(*p);
    delete p;
}

void pump_on(pump* p)
{
    g_input_stream_read_async(
        p->from_, p->buffer_, 65536, G_PRIORITY_DEFAULT, nullptr, read_done, p);
}

gboolean
accept_one(GSocketService*, GSocketConnection* connection, GObject*, gpointer)
{
    GSocketConnection* out = g_socket_client_connect(
        client.get(), G_SOCKET_CONNECTABLE(target.get()), nullptr, nullptr);
    if (!out)
        return TRUE;
    pipe_pair& p = pairs.emplace_back();
    p.in_ = share(connection);
    p.out_.reset(out);
    GIOStream* in_stream = G_IO_STREAM(p.in_.get());
    GIOStream* out_stream = G_IO_STREAM(p.out_.get());
    pump_on(new pump{
        &p, g_io_stream_get_input_stream(in_stream), p.out_.get(), p.up_});
    pump_on(new pump{
        &p, g_io_stream_get_input_stream(out_stream), p.in_.get(), p.down_});
    return TRUE;
}

GSocketAddress* address_of(char const* ip, char const* port)
{
    object_ptr<GInetAddress> const number(g_inet_address_new_from_string(ip));
    return g_inet_socket_address_new(
        number.get(), static_cast<guint16>(std::atoi(port)));
}

gboolean go_silent(gpointer)
{
    for (pipe_pair& p : pairs)
        p.silent_ = true;
    return G_SOURCE_CONTINUE;
}

// The reads that are open end, and the connections are closed by a reset.
void reset(pipe_pair& p)
{
    linger const at_once{1, 0};
    p.silent_ = false;
    for (GSocket* const end : {socket_of(p.in_), socket_of(p.out_)})
    {
        setsockopt(
            g_socket_get_fd(end), SOL_SOCKET, SO_LINGER, &at_once,
            sizeof at_once);
        g_socket_shutdown(end, TRUE, FALSE, nullptr);
    }
}

gboolean reset_all(gpointer)
{
    for (pipe_pair& p : pairs)
        reset(p);
    return G_SOURCE_CONTINUE;
}

void drop_packets(pipe_pair const& p)
{
    sock_filter take_nothing = BPF_STMT(BPF_RET | BPF_K, 0);
    sock_fprog const program{1, &take_nothing};
    for (GSocket* const end : {socket_of(p.in_), socket_of(p.out_)})
        setsockopt(
            g_socket_get_fd(end), SOL_SOCKET, SO_ATTACH_FILTER, &program,
            sizeof program);
}

gboolean drop_packets_of_all(gpointer)
{
    for (pipe_pair& p : pairs)
    {
        p.silent_ = true;
        drop_packets(p);
    }
    return G_SOURCE_CONTINUE;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 5)
    {
        std::cerr << "forwarder IP PORT TO_IP TO_PORT\n";
        return EXIT_FAILURE;
    }
    event_loop loop;
    target.reset(address_of(argv[3], argv[4]));
    object_ptr<GSocketService> const service(g_socket_service_new());
    object_ptr<GSocketAddress> const here(address_of(argv[1], argv[2]));
    if (!g_socket_listener_add_address(
            G_SOCKET_LISTENER(service.get()), here.get(), G_SOCKET_TYPE_STREAM,
            G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, nullptr))
        return EXIT_FAILURE;
    g_signal_connect(
        service.get(), "incoming", G_CALLBACK(accept_one), nullptr);
    g_unix_signal_add(SIGUSR1, go_silent, nullptr);
    g_unix_signal_add(SIGUSR2, reset_all, nullptr);
    g_unix_signal_add(SIGHUP, drop_packets_of_all, nullptr);
    loop.on_stop_signal([&] { loop.quit(); });
    loop.run();
    return EXIT_SUCCESS;
}
