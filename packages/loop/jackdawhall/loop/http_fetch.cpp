#include <jackdawhall/loop/http_fetch.hpp>

#include <optional>

#include <libsoup/soup.h>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr gsize read_bytes = 64 << 10;
constexpr char const* other_host = "name another control host";

// A request in progress. Each of its steps ends in one call of GLib, also when
// it is cancelled, and the loop ends with the last one.
struct exchange
{
    event_loop& loop_;
    std::string place_;
    object_ptr<GCancellable> cancelled_;
    object_ptr<GInputStream> stream_; // of the body
    std::string body_;
    std::optional<user_error> problem_;
};

void fail(exchange& e, std::string const& why, std::string const& mend)
{
    if (!e.problem_)
        e.problem_ = user_error{e.place_ + " gave no answer: " + why, mend};
    e.loop_.quit();
}

void fail(exchange& e, error_ptr const& error)
{
    fail(
        e, message_of(error),
        std::string("check that the daemon runs there, or ") + other_host);
}

void read_body(exchange& e);

void take_part(GObject* stream, GAsyncResult* result, gpointer data)
{
    exchange& e = *static_cast<exchange*>(data);
    GError* raw = nullptr;
    bytes_ptr const part(
        g_input_stream_read_bytes_finish(G_INPUT_STREAM(stream), result, &raw));
    error_ptr const error(raw);
    if (!part)
        return fail(e, error);
    gsize size = 0;
    void const* bytes = g_bytes_get_data(part.get(), &size);
    if (size == 0)
        return e.loop_.quit();
    if (e.body_.size() + size > max_fetched_bytes)
        return fail(e, "what it sends is too large", other_host);
    e.body_.append(static_cast<char const*>(bytes), size);
    read_body(e);
}

void read_body(exchange& e)
{
    g_input_stream_read_bytes_async(
        e.stream_.get(), read_bytes, G_PRIORITY_DEFAULT, e.cancelled_.get(),
        take_part, &e);
}

void take_head(GObject* session, GAsyncResult* result, gpointer data)
{
    exchange& e = *static_cast<exchange*>(data);
    GError* raw = nullptr;
    e.stream_.reset(
        soup_session_send_finish(SOUP_SESSION(session), result, &raw));
    error_ptr const error(raw);
    if (!e.stream_)
        return fail(e, error);
    read_body(e);
}

void take_timeout(exchange& e)
{
    e.problem_ = user_error{
        e.place_ + " gave no whole answer in time",
        std::string("check the daemon and the network, or ") + other_host};
    g_cancellable_cancel(e.cancelled_.get());
}

void add_content(SoupMessage* message, request const& r)
{
    SoupMessageHeaders* fields = soup_message_get_request_headers(message);
    for (header const& field : r.headers_)
        soup_message_headers_append(
            fields, field.name_.c_str(), field.value_.c_str());
    if (r.body_.empty())
        return;
    bytes_ptr const body(g_bytes_new(r.body_.data(), r.body_.size()));
    soup_message_set_request_body_from_bytes(
        message, "application/json", body.get());
}

} // namespace

leaf::result<answer>
fetch(endpoint const& to, request const& r, std::chrono::seconds timeout)
{
    std::string const place = to.address_ + ":" + std::to_string(to.port_);
    object_ptr<SoupSession> const session(soup_session_new());
    soup_session_set_proxy_resolver(session.get(), nullptr);
    object_ptr<SoupMessage> const message(soup_message_new(
        r.method_.c_str(), ("http://" + place + r.path_).c_str()));
    if (!message)
        return leaf::new_error(user_error{
            "'" + place + "' is not an address",
            "write an IPv4 number and a port"});
    add_content(message.get(), r);
    event_loop loop;
    exchange e{loop, place, object_ptr<GCancellable>(g_cancellable_new()),
               {},   {},    {}};
    event_loop::delayed end;
    end.set(timeout, [&e] { take_timeout(e); });
    soup_session_send_async(
        session.get(), message.get(), G_PRIORITY_DEFAULT, e.cancelled_.get(),
        take_head, &e);
    loop.run();
    if (e.problem_)
        return leaf::new_error(*e.problem_);
    return answer{
        static_cast<std::uint16_t>(soup_message_get_status(message.get())),
        {},
        std::move(e.body_)};
}

void pause_program(duration d)
{
    event_loop loop;
    event_loop::delayed end;
    end.set(d, [&loop] { loop.quit(); });
    loop.run();
}

} // namespace jackdawhall::loop
