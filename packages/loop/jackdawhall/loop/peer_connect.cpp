// How links come to be: listening, accepting and connecting.
#include <jackdawhall/loop/peer_link.hpp>
#include <jackdawhall/loop/peer_links.hpp>
#include <jackdawhall/loop/socket_options.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr std::size_t nonce_bytes = 16;

} // namespace

leaf::result<void> peer_links::listen()
{
    service_.reset(g_socket_service_new());
    object_ptr<GInetAddress> const ip(
        g_inet_address_new_from_string(listen_.address_.c_str()));
    object_ptr<GSocketAddress> const address(
        g_inet_socket_address_new(ip.get(), listen_.port_));
    GError* raw = nullptr;
    gboolean const bound = g_socket_listener_add_address(
        G_SOCKET_LISTENER(service_.get()), address.get(), G_SOCKET_TYPE_STREAM,
        G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &raw);
    error_ptr const error(raw);
    if (!bound)
        return leaf::new_error(user_error{
            "cannot listen for peers on " + listen_.address_ + ":" +
                std::to_string(listen_.port_) + ": " + message_of(error),
            "free the port, or change listen.peers"});
    g_signal_connect(
        service_.get(), "incoming",
        G_CALLBACK(
            +[](GSocketService*, GSocketConnection* connection, GObject*,
                gpointer self) -> gboolean
            {
                static_cast<peer_links*>(self)->accept(connection);
                return TRUE;
            }),
        this);
    g_socket_service_start(service_.get());
    return {};
}

// Peers whose connections were not accepted yet see them reset.
void peer_links::stop_listening()
{
    if (!service_)
        return;
    g_socket_service_stop(service_.get());
    g_socket_listener_close(G_SOCKET_LISTENER(service_.get()));
    service_.reset();
}

peer_links::link& peer_links::add_link()
{
    link& l = links_.emplace_back();
    l.owner_ = this;
    l.queue_share_ = std::make_unique<budget_share>(
        budget_, [&l] { l.owner_->give_up_queue(l); });
    l.frame_share_ = std::make_unique<budget_share>(
        budget_,
        [&l] { l.owner_->close(l, "its messages take too much memory"); });
    l.health_.last_received_ = l.health_.last_used_ = read_clocks().now_;
    return l;
}

void peer_links::accept(GSocketConnection* connection)
{
    if (finished_ || links_.size() >= max_peer_connections)
        return; // dropping the connection closes it
    link& l = add_link();
    adopt(l, connection);
    random_source random = random_source::from_system_entropy();
    l.nonce_ = random.hex(nonce_bytes);
    queue(l, challenge_frame{l.nonce_}, 0);
    if (l.stage_ != link_stage::closed)
        arm(l, handshake_timeout);
}

void peer_links::connect_to(host_name const& host)
{
    link& l = add_link();
    l.outbound_ = true;
    l.host_ = host;
    l.connecting_.reset(g_cancellable_new());
    endpoint const& to = addresses_.at(host);
    object_ptr<GInetAddress> const ip(
        g_inet_address_new_from_string(to.address_.c_str()));
    object_ptr<GSocketAddress> const address(
        g_inet_socket_address_new(ip.get(), to.port_));
    struct attempt
    {
        link* link_;
        object_ptr<GCancellable> cancelled_;
    };
    g_socket_client_connect_async(
        client_.get(), G_SOCKET_CONNECTABLE(address.get()), l.connecting_.get(),
        [](GObject* source, GAsyncResult* result, gpointer data)
        {
            std::unique_ptr<attempt> const a(static_cast<attempt*>(data));
            GError* raw = nullptr;
            object_ptr<GSocketConnection> const connection(
                g_socket_client_connect_finish(
                    G_SOCKET_CLIENT(source), result, &raw));
            error_ptr const error(raw);
            if (g_cancellable_is_cancelled(a->cancelled_.get()))
                return; // the link is gone
            link& made = *a->link_;
            if (!connection)
                return made.owner_->close(made, message_of(error));
            made.owner_->adopt(made, connection.get());
        },
        new attempt{&l, share(l.connecting_.get())});
    arm(l, connect_timeout + handshake_timeout);
}

void peer_links::adopt(link& l, GSocketConnection* connection)
{
    l.connection_ = share(connection);
    l.socket_ = g_socket_connection_get_socket(connection);
    l.stage_ = link_stage::proving;
    g_socket_set_blocking(l.socket_, FALSE);
    g_socket_set_timeout(l.socket_, 0);
    set_socket_options(l.socket_);
    l.readable_ = watch_socket(
        l.socket_, G_IO_IN,
        [](GSocket*, GIOCondition, gpointer data) -> gboolean
        {
            link& ready = *static_cast<link*>(data);
            ready.owner_->read_ready(ready);
            return G_SOURCE_CONTINUE;
        },
        &l);
}

} // namespace jackdawhall::loop
