#include <jackdawhall/loop/http_fetch.hpp>

#include <libsoup/soup.h>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

namespace
{

// What came of the request; the loop that waits for it ends then.
struct outcome
{
    event_loop& loop_;
    bytes_ptr bytes_;
    error_ptr error_;
};

void take_outcome(GObject* session, GAsyncResult* result, gpointer data)
{
    outcome& o = *static_cast<outcome*>(data);
    GError* raw = nullptr;
    o.bytes_.reset(
        soup_session_send_and_read_finish(SOUP_SESSION(session), result, &raw));
    o.error_.reset(raw);
    o.loop_.quit();
}

} // namespace

leaf::result<answer>
fetch(endpoint const& to, request const& r, std::chrono::seconds timeout)
{
    std::string const place = to.address_ + ":" + std::to_string(to.port_);
    object_ptr<SoupSession> const session(soup_session_new_with_options(
        "timeout", static_cast<guint>(timeout.count()), nullptr));
    soup_session_set_proxy_resolver(session.get(), nullptr);
    object_ptr<SoupMessage> const message(soup_message_new(
        r.method_.c_str(), ("http://" + place + r.path_).c_str()));
    if (!message)
        return leaf::new_error(user_error{
            "'" + place + "' is not an address",
            "write an IPv4 number and a port"});
    SoupMessageHeaders* fields =
        soup_message_get_request_headers(message.get());
    for (header const& field : r.headers_)
        soup_message_headers_append(
            fields, field.name_.c_str(), field.value_.c_str());
    if (!r.body_.empty())
    {
        bytes_ptr const body(g_bytes_new(r.body_.data(), r.body_.size()));
        soup_message_set_request_body_from_bytes(
            message.get(), "application/json", body.get());
    }
    event_loop loop;
    outcome got{loop, nullptr, nullptr};
    soup_session_send_and_read_async(
        session.get(), message.get(), G_PRIORITY_DEFAULT, nullptr, take_outcome,
        &got);
    loop.run();
    bytes_ptr const bytes = std::move(got.bytes_);
    error_ptr const error = std::move(got.error_);
    if (!bytes)
        return leaf::new_error(user_error{
            place + " gave no answer: " + message_of(error),
            "check that the daemon runs there, or name another control host"});
    gsize size = 0;
    void const* data = g_bytes_get_data(bytes.get(), &size);
    answer a;
    a.status_ =
        static_cast<std::uint16_t>(soup_message_get_status(message.get()));
    if (size > 0)
        a.body_.assign(static_cast<char const*>(data), size);
    return a;
}

void pause_program(duration d)
{
    event_loop loop;
    event_loop::delayed end;
    end.set(d, [&loop] { loop.quit(); });
    loop.run();
}

} // namespace jackdawhall::loop
