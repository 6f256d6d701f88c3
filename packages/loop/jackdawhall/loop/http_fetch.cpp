#include <jackdawhall/loop/http_fetch.hpp>

#include <libsoup/soup.h>

#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

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
    GError* raw = nullptr;
    bytes_ptr const bytes(soup_session_send_and_read(
        session.get(), message.get(), nullptr, &raw));
    error_ptr const error(raw);
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
    g_usleep(static_cast<gulong>(d.count()));
}

} // namespace jackdawhall::loop
