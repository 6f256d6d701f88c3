#include <jackdawhall/loop/http_server.hpp>

#include <sys/socket.h>

#include <jackdawhall/loop/socket_options.hpp>

namespace jackdawhall::loop
{

namespace
{

// A connection without any byte for this long is closed.
constexpr guint idle_timeout_s = 60;
// Marks sockets whose options are set.
constexpr char known_mark[] = "jackdawhall-known";
// Bytes of a request's body read so far.
constexpr char seen_bytes_mark[] = "jackdawhall-bytes";
constexpr goffset max_request_bytes = (1 << 20) + 1;

headers headers_of(SoupMessageHeaders* from)
{
    headers fields;
    SoupMessageHeadersIter iter;
    char const* name = nullptr;
    char const* value = nullptr;
    soup_message_headers_iter_init(&iter, from);
    while (soup_message_headers_iter_next(&iter, &name, &value))
    {
        char* lower = g_ascii_strdown(name, -1);
        fields.push_back({lower, value});
        g_free(lower);
    }
    return fields;
}

request request_of(SoupServerMessage* message)
{
    request r;
    r.method_ = soup_server_message_get_method(message);
    GUri* uri = soup_server_message_get_uri(message);
    r.path_ = g_uri_get_path(uri);
    if (char const* query = g_uri_get_query(uri))
        r.path_ += std::string("?") + query;
    r.headers_ = headers_of(soup_server_message_get_request_headers(message));
    SoupMessageBody* body = soup_server_message_get_request_body(message);
    bytes_ptr const bytes(soup_message_body_flatten(body));
    gsize size = 0;
    void const* data = g_bytes_get_data(bytes.get(), &size);
    if (size > 0)
        r.body_.assign(static_cast<char const*>(data), size);
    return r;
}

void refuse_large(SoupServerMessage* message)
{
    soup_server_message_set_status(
        message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE, nullptr);
    SoupMessageHeaders* fields =
        soup_server_message_get_response_headers(message);
    soup_message_headers_replace(fields, "Connection", "close");
    soup_message_headers_replace(fields, verdict_header, "not-run");
    soup_message_headers_replace(fields, reason_header, "too_large");
}

// Closes the connection of a request whose body grows beyond the bound.
void bound_chunk(SoupServerMessage* message, GBytes* chunk, gpointer)
{
    auto* seen = static_cast<gsize*>(
        g_object_get_data(G_OBJECT(message), seen_bytes_mark));
    if (!seen)
    {
        seen = g_new0(gsize, 1);
        g_object_set_data_full(
            G_OBJECT(message), seen_bytes_mark, seen, g_free);
    }
    *seen += g_bytes_get_size(chunk);
    if (*seen <= static_cast<gsize>(max_request_bytes))
        return;
    GSocket* socket = soup_server_message_get_socket(message);
    if (socket)
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void bound_early(
    SoupServer*, SoupServerMessage* message, char const*, GHashTable*, gpointer)
{
    SoupMessageHeaders* fields =
        soup_server_message_get_request_headers(message);
    if (soup_message_headers_get_encoding(fields) ==
            SOUP_ENCODING_CONTENT_LENGTH &&
        soup_message_headers_get_content_length(fields) > max_request_bytes)
        return refuse_large(message);
    g_signal_connect(message, "got-chunk", G_CALLBACK(bound_chunk), nullptr);
}

// Whether the peer has closed its side and nothing is left to read. Never
// waits: a GSocket in its blocking mode would, when libsoup has read the bytes
// that woke this up.
bool has_ended(GSocket* socket)
{
    char byte = 0;
    return ::recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
           0;
}

gboolean
idle_connection_readable(GSocket* socket, GIOCondition, gpointer message)
{
    if (!has_ended(socket))
        return G_SOURCE_REMOVE; // the next request
    object_ptr<GIOStream> const connection(
        soup_server_message_steal_connection(SOUP_SERVER_MESSAGE(message)));
    if (connection)
        g_io_stream_close(connection.get(), nullptr, nullptr);
    return G_SOURCE_REMOVE;
}

// libsoup 3.2.3 does not notice that its peer closed a kept connection between
// two requests. `message` is the next one, still blank.
void close_when_idle_peer_leaves(SoupServerMessage* message, GSocket* socket)
{
    GSource* readable = g_socket_create_source(socket, G_IO_IN, nullptr);
    g_source_set_callback(
        readable, G_SOURCE_FUNC(idle_connection_readable),
        g_object_ref(message), g_object_unref);
    g_source_attach(readable, nullptr);
    g_source_unref(readable);
}

} // namespace

struct http_server::exchange
{
    http_server* owner_ = nullptr;
    std::uint64_t number_ = 0;
    object_ptr<SoupServerMessage> message_;
    gulong finished_ = 0; // signal handler
    source_ptr leaving_;
    bool paused_ = false;
};

http_server::http_server(
    endpoint listen, std::uint32_t max_connections, http_handlers handlers)
    : listen_(std::move(listen)), max_connections_(max_connections),
      handlers_(std::move(handlers)),
      server_(SOUP_SERVER(g_object_new(SOUP_TYPE_SERVER, nullptr)))
{
    soup_server_add_early_handler(
        server_.get(), nullptr, bound_early, nullptr, nullptr);
    soup_server_add_handler(
        server_.get(), nullptr,
        [](SoupServer*, SoupServerMessage* message, char const*, GHashTable*,
           gpointer self) { static_cast<http_server*>(self)->take(message); },
        this, nullptr);
}

http_server::~http_server()
{
    for (auto& open : open_)
        g_signal_handler_disconnect(
            open.second.message_.get(), open.second.finished_);
    open_.clear();
    stop_accepting();
}

leaf::result<void> http_server::listen(std::string const& key)
{
    object_ptr<GInetAddress> const ip(
        g_inet_address_new_from_string(listen_.address_.c_str()));
    object_ptr<GSocketAddress> const address(
        g_inet_socket_address_new(ip.get(), listen_.port_));
    g_signal_connect(
        server_.get(), "request-started",
        G_CALLBACK(+[](SoupServer*, SoupServerMessage* message, gpointer self)
                   { static_cast<http_server*>(self)->begin(message); }),
        this);
    GError* raw = nullptr;
    gboolean const bound = soup_server_listen(
        server_.get(), address.get(), SoupServerListenOptions{}, &raw);
    error_ptr const error(raw);
    if (!bound)
        return leaf::new_error(user_error{
            "cannot listen on " + listen_.address_ + ":" +
                std::to_string(listen_.port_) + ": " + message_of(error),
            "free the port, or change " + key});
    return {};
}

// Called before a request is read. The first one of a connection bounds it.
void http_server::begin(SoupServerMessage* message)
{
    GSocket* socket = soup_server_message_get_socket(message);
    if (!socket)
        return;
    close_when_idle_peer_leaves(message, socket);
    if (g_object_get_data(G_OBJECT(socket), known_mark))
        return;
    g_object_set_data(G_OBJECT(socket), known_mark, socket);
    g_socket_set_timeout(socket, idle_timeout_s);
    set_socket_options(socket);
    ++*connections_;
    g_object_weak_ref(
        G_OBJECT(socket),
        [](gpointer count, GObject*)
        {
            std::unique_ptr<std::shared_ptr<std::uint32_t>> const held(
                static_cast<std::shared_ptr<std::uint32_t>*>(count));
            --**held;
        },
        new std::shared_ptr<std::uint32_t>(connections_));
    if (*connections_ > max_connections_)
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
}

void http_server::take(SoupServerMessage* message)
{
    if (soup_server_message_get_status(message) != 0)
        return; // refused early
    std::uint64_t const number = ++last_number_;
    exchange& e = open_[number];
    e.owner_ = this;
    e.number_ = number;
    e.message_ = share(message);
    e.finished_ = g_signal_connect(
        message, "finished",
        G_CALLBACK(+[](SoupServerMessage*, gpointer data)
                   {
                       exchange& ended = *static_cast<exchange*>(data);
                       ended.owner_->forget(ended.number_);
                   }),
        &e);
    char const* host = soup_server_message_get_remote_host(message);
    handlers_.requested_(number, request_of(message), host ? host : "");
    // A message that is answered by now must not be paused: libsoup would not
    // read the next request of its connection.
    auto const open = open_.find(number);
    if (open == open_.end())
        return;
    open->second.paused_ = true;
    soup_server_message_pause(message);
    watch_for_leaving(open->second);
}

gboolean
http_server::caller_readable(GSocket* socket, GIOCondition, gpointer data)
{
    exchange& waiting = *static_cast<exchange*>(data);
    bool const left = has_ended(socket);
    http_server& server = *waiting.owner_;
    std::uint64_t const number = waiting.number_;
    waiting.leaving_.reset();
    if (left)
    {
        object_ptr<SoupServerMessage> const message =
            share(waiting.message_.get());
        server.handlers_.left_(number);
        // Nobody reads an answer; libsoup needs one to end the connection.
        soup_server_message_set_status(
            message.get(), SOUP_STATUS_SERVICE_UNAVAILABLE, nullptr);
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
        server.forget(number);
    }
    return G_SOURCE_REMOVE;
}

// While a request waits for its answer, its caller has nothing to send; a
// readable connection without bytes means that the caller closed it.
void http_server::watch_for_leaving(exchange& e)
{
    GSocket* socket = soup_server_message_get_socket(e.message_.get());
    if (!socket)
        return;
    e.leaving_.reset(g_socket_create_source(socket, G_IO_IN, nullptr));
    g_source_set_callback(
        e.leaving_.get(), G_SOURCE_FUNC(caller_readable), &e, nullptr);
    g_source_attach(e.leaving_.get(), nullptr);
}

void http_server::forget(std::uint64_t number)
{
    auto const open = open_.find(number);
    if (open == open_.end())
        return;
    g_signal_handler_disconnect(
        open->second.message_.get(), open->second.finished_);
    if (open->second.paused_)
        soup_server_message_unpause(open->second.message_.get());
    open_.erase(open);
}

void http_server::answer(std::uint64_t number, jackdawhall::answer const& a)
{
    auto const open = open_.find(number);
    if (open == open_.end())
        return;
    SoupServerMessage* message = open->second.message_.get();
    SoupMessageHeaders* fields =
        soup_server_message_get_response_headers(message);
    for (header const& field : a.headers_)
        soup_message_headers_append(
            fields, field.name_.c_str(), field.value_.c_str());
    soup_server_message_set_status(message, a.status_, nullptr);
    SoupMessageBody* body = soup_server_message_get_response_body(message);
    soup_message_body_append(
        body, SOUP_MEMORY_COPY, a.body_.data(), a.body_.size());
    soup_message_body_complete(body);
    forget(number);
}

void http_server::stop_accepting()
{
    soup_server_disconnect(server_.get());
}

} // namespace jackdawhall::loop
