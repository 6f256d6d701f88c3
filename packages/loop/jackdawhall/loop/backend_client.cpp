#include <jackdawhall/loop/backend_client.hpp>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/socket_options.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr gsize read_bytes = 16 << 10;
constexpr int max_connections_per_server = 1024;
constexpr int max_connections = 8192;
constexpr guint probe_timeout_s = 1;
// A run without an answer for this long is a sign of silence, if a later run
// was answered meanwhile.
constexpr guint silence_ms = 1000;
// Connections are replaced at most this often.
constexpr duration least_age = std::chrono::seconds(1);

std::string uri_of(endpoint const& to, std::string const& path)
{
    return "http://" + to.address_ + ":" + std::to_string(to.port_) + path;
}

headers headers_of(SoupMessage* message)
{
    headers fields;
    SoupMessageHeadersIter iter;
    char const* name = nullptr;
    char const* value = nullptr;
    soup_message_headers_iter_init(
        &iter, soup_message_get_response_headers(message));
    while (soup_message_headers_iter_next(&iter, &name, &value))
    {
        char* lower = g_ascii_strdown(name, -1);
        fields.push_back({lower, value});
        g_free(lower);
    }
    return without_hop_fields(fields);
}

} // namespace

struct backend_client::exchange
{
    backend_client* owner_ = nullptr;
    std::uint64_t run_ = 0;
    object_ptr<SoupSession> session_; // outlives its replacement
    object_ptr<SoupMessage> message_;
    object_ptr<GCancellable> cancellable_;
    object_ptr<GInputStream> body_;
    source_ptr timeout_;
    source_ptr silence_;
    endpoint to_;
    instant began_;
    object_ptr<GSocket> socket_; // if this run made the connection
    guint64 connection_ = 0;     // libsoup's id of it
    std::string answer_;
    bool started_ = false; // the first byte may have been sent
    bool late_ = false;
    bool refused_restart_ = false;
};

backend_client::backend_client(backend_handlers handlers)
    : handlers_(std::move(handlers)), prober_(g_socket_client_new())
{
    g_socket_client_set_enable_proxy(prober_.get(), FALSE);
    g_socket_client_set_timeout(prober_.get(), probe_timeout_s);
}

backend_client::~backend_client()
{
    handlers_ = {[](auto, auto const&) {}, [](auto const&, auto) {}};
    for (auto& open : open_)
        g_cancellable_cancel(open.second->cancellable_.get());
}

SoupSession* backend_client::session_for(endpoint const& to)
{
    connections& c = connections_[to];
    if (c.session_)
        return c.session_.get();
    c.session_.reset(soup_session_new_with_options(
        "max-conns", max_connections, "max-conns-per-host",
        max_connections_per_server, "timeout", 0, "idle-timeout", 30, nullptr));
    soup_session_remove_feature_by_type(
        c.session_.get(), SOUP_TYPE_CONTENT_DECODER);
    soup_session_set_proxy_resolver(c.session_.get(), nullptr);
    c.made_ = read_clocks().now_;
    return c.session_.get();
}

// Runs in progress hold their session, so that it outlives this.
void backend_client::suspect_silence(exchange& e, bool ended)
{
    auto const known = connections_.find(e.to_);
    if (known == connections_.end())
        return;
    connections const& c = known->second;
    bool const old = read_clocks().now_ - c.made_ >= least_age;
    bool const made_before = c.made_ <= e.began_;
    bool const others_go_on = c.last_answer_ > e.began_;
    if (old && made_before && (others_go_on || ended))
        connections_.erase(known);
}

void backend_client::run(
    std::uint64_t run, endpoint const& to, request const& r, duration timeout)
{
    auto made = std::make_unique<exchange>();
    exchange& e = *made;
    e.owner_ = this;
    e.run_ = run;
    e.to_ = to;
    e.began_ = read_clocks().now_;
    e.message_.reset(
        soup_message_new(r.method_.c_str(), uri_of(to, r.path_).c_str()));
    e.cancellable_.reset(g_cancellable_new());
    open_[run] = std::move(made);
    if (!e.message_)
        return finish(e, backend_not_connected{});
    soup_message_add_flags(e.message_.get(), SOUP_MESSAGE_NO_REDIRECT);
    SoupMessageHeaders* fields =
        soup_message_get_request_headers(e.message_.get());
    for (header const& field : r.headers_)
        soup_message_headers_append(
            fields, field.name_.c_str(), field.value_.c_str());
    if (!r.body_.empty())
    {
        bytes_ptr const body(g_bytes_new(r.body_.data(), r.body_.size()));
        soup_message_set_request_body_from_bytes(
            e.message_.get(), nullptr, body.get());
    }
    g_signal_connect(
        e.message_.get(), "starting",
        G_CALLBACK(+[](SoupMessage*, gpointer data)
                   {
                       exchange& starting = *static_cast<exchange*>(data);
                       starting.owner_->note_connection(starting);
                   }),
        &e);
    // libsoup sends some requests again by itself when a kept connection
    // breaks. Only the calls package may decide that.
    g_signal_connect(
        e.message_.get(), "restarted",
        G_CALLBACK(+[](SoupMessage*, gpointer data)
                   {
                       exchange& again = *static_cast<exchange*>(data);
                       again.refused_restart_ = true;
                       g_cancellable_cancel(again.cancellable_.get());
                   }),
        &e);
    g_signal_connect(
        e.message_.get(), "network-event",
        G_CALLBACK(+[](SoupMessage*, GSocketClientEvent event,
                       GIOStream* stream, gpointer data)
                   {
                       if (event != G_SOCKET_CLIENT_CONNECTED ||
                           !G_IS_SOCKET_CONNECTION(stream))
                           return;
                       GSocket* socket = g_socket_connection_get_socket(
                           G_SOCKET_CONNECTION(stream));
                       set_socket_options(socket);
                       static_cast<exchange*>(data)->socket_ = share(socket);
                   }),
        &e);
    e.silence_.reset(g_timeout_source_new(silence_ms));
    g_source_set_callback(
        e.silence_.get(),
        [](gpointer data) -> gboolean
        {
            exchange& waiting = *static_cast<exchange*>(data);
            waiting.owner_->suspect_silence(waiting, false);
            return G_SOURCE_REMOVE;
        },
        &e, nullptr);
    g_source_attach(e.silence_.get(), nullptr);
    e.timeout_.reset(g_timeout_source_new(
        static_cast<guint>(std::max<std::int64_t>(1, timeout.count() / 1000))));
    g_source_set_callback(
        e.timeout_.get(),
        [](gpointer data) -> gboolean
        {
            exchange& late = *static_cast<exchange*>(data);
            late.late_ = true;
            g_cancellable_cancel(late.cancellable_.get());
            return G_SOURCE_REMOVE;
        },
        &e, nullptr);
    g_source_attach(e.timeout_.get(), nullptr);
    e.session_ = share(session_for(to));
    soup_session_send_async(
        e.session_.get(), e.message_.get(), G_PRIORITY_DEFAULT,
        e.cancellable_.get(),
        [](GObject* source, GAsyncResult* result, gpointer data)
        {
            GError* raw = nullptr;
            GInputStream* body =
                soup_session_send_finish(SOUP_SESSION(source), result, &raw);
            exchange& sent = *static_cast<exchange*>(data);
            sent.owner_->take_head(sent, body, error_ptr(raw));
        },
        &e);
}

// Remembers the socket of each connection, for is_still_open().
void backend_client::note_connection(exchange& e)
{
    e.started_ = true;
    e.connection_ = soup_message_get_connection_id(e.message_.get());
    if (!e.socket_)
        return;
    std::erase_if(
        sockets_, [](auto const& known)
        { return g_socket_is_closed(known.second.get()); });
    sockets_.insert_or_assign(e.connection_, std::move(e.socket_));
}

// Whether the peer has not closed the run's connection. libsoup takes the end
// of a connection between two chunks for the last chunk; while the connection
// is open, only the last chunk can have ended the answer.
bool backend_client::is_still_open(exchange const& e) const
{
    auto const known = sockets_.find(e.connection_);
    if (known == sockets_.end())
        return false;
    // Readable here means closed: nothing else was asked for.
    return g_socket_condition_check(known->second.get(), G_IO_IN) == 0;
}

void backend_client::take_head(
    exchange& e, GInputStream* body, error_ptr const& error)
{
    if (!body)
        return fail(e, error);
    e.silence_.reset();
    auto const known = connections_.find(e.to_);
    if (known != connections_.end())
        known->second.last_answer_ = read_clocks().now_;
    e.body_.reset(body);
    read_more(e);
}

void backend_client::read_more(exchange& e)
{
    g_input_stream_read_bytes_async(
        e.body_.get(), read_bytes, G_PRIORITY_DEFAULT, e.cancellable_.get(),
        [](GObject* source, GAsyncResult* result, gpointer data)
        {
            GError* raw = nullptr;
            bytes_ptr bytes(g_input_stream_read_bytes_finish(
                G_INPUT_STREAM(source), result, &raw));
            exchange& reading = *static_cast<exchange*>(data);
            reading.owner_->take_body(
                reading, std::move(bytes), error_ptr(raw));
        },
        &e);
}

void backend_client::take_body(
    exchange& e, bytes_ptr bytes, error_ptr const& error)
{
    if (!bytes)
        return fail(e, error);
    gsize size = 0;
    void const* data = g_bytes_get_data(bytes.get(), &size);
    if (size > 0)
    {
        e.answer_.append(static_cast<char const*>(data), size);
        if (e.answer_.size() > max_answer_bytes)
            return finish(e, backend_broken{doubt_reason::answer_too_large});
        return read_more(e);
    }
    // The end. An answer whose length nobody stated cannot be known whole.
    SoupMessageHeaders* fields =
        soup_message_get_response_headers(e.message_.get());
    SoupEncoding const encoding = soup_message_headers_get_encoding(fields);
    bool const head =
        soup_message_get_method(e.message_.get()) == std::string_view("HEAD");
    auto const length =
        static_cast<gsize>(soup_message_headers_get_content_length(fields));
    bool const whole =
        head || encoding == SOUP_ENCODING_NONE ||
        (encoding == SOUP_ENCODING_CHUNKED && is_still_open(e)) ||
        (encoding == SOUP_ENCODING_CONTENT_LENGTH &&
         length == e.answer_.size());
    if (!whole)
        return finish(e, backend_broken{doubt_reason::answer_incomplete});
    answer a;
    a.status_ =
        static_cast<std::uint16_t>(soup_message_get_status(e.message_.get()));
    a.headers_ = headers_of(e.message_.get());
    a.body_ = std::move(e.answer_);
    finish(e, backend_answered{std::move(a)});
}

void backend_client::fail(exchange& e, error_ptr const&)
{
    bool const given_up = g_cancellable_is_cancelled(e.cancellable_.get());
    if (!e.started_)
        return finish(e, backend_not_connected{!given_up});
    bool const waited =
        read_clocks().now_ - e.began_ >= std::chrono::milliseconds(silence_ms);
    if (given_up && waited && !e.body_)
        suspect_silence(e, true);
    if (e.late_)
        return finish(e, backend_broken{doubt_reason::deadline_passed});
    if (given_up && !e.refused_restart_)
        return finish(e, backend_broken{doubt_reason::cancelled});
    bool const partial = e.body_ != nullptr;
    finish(
        e, backend_broken{
               partial ? doubt_reason::answer_incomplete
                       : doubt_reason::connection_lost});
}

void backend_client::finish(exchange& e, backend_result result)
{
    std::uint64_t const run = e.run_;
    if (e.message_)
        g_signal_handlers_disconnect_by_data(e.message_.get(), &e);
    // Closing gives the connection back for the next run; dropping the stream
    // would close the connection.
    if (e.body_)
        g_input_stream_close_async(
            e.body_.get(), G_PRIORITY_DEFAULT, nullptr, nullptr, nullptr);
    open_.erase(run);
    handlers_.done_(run, std::move(result));
}

void backend_client::cancel(std::uint64_t run)
{
    auto const open = open_.find(run);
    if (open != open_.end())
        g_cancellable_cancel(open->second->cancellable_.get());
}

void backend_client::probe(std::string const& server_id, endpoint const& to)
{
    struct attempt
    {
        backend_client* owner_;
        std::string server_id_;
    };
    object_ptr<GInetAddress> const ip(
        g_inet_address_new_from_string(to.address_.c_str()));
    object_ptr<GSocketAddress> const address(
        g_inet_socket_address_new(ip.get(), to.port_));
    g_socket_client_connect_async(
        prober_.get(), G_SOCKET_CONNECTABLE(address.get()), nullptr,
        [](GObject* source, GAsyncResult* result, gpointer data)
        {
            std::unique_ptr<attempt> const a(static_cast<attempt*>(data));
            object_ptr<GSocketConnection> const connection(
                g_socket_client_connect_finish(
                    G_SOCKET_CLIENT(source), result, nullptr));
            a->owner_->handlers_.probed_(a->server_id_, connection != nullptr);
        },
        new attempt{this, server_id});
}

} // namespace jackdawhall::loop
