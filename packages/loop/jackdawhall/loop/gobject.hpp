// Owning pointers to GLib objects. Not for users of the package.
#pragma once

#include <gio/gio.h>
#include <memory>
#include <string>

namespace jackdawhall::loop
{

struct object_deleter
{
    void operator()(void* object) const { g_object_unref(object); }
};
template <class Object>
using object_ptr = std::unique_ptr<Object, object_deleter>;

struct error_deleter
{
    void operator()(GError* error) const { g_error_free(error); }
};
using error_ptr = std::unique_ptr<GError, error_deleter>;

struct bytes_deleter
{
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using bytes_ptr = std::unique_ptr<GBytes, bytes_deleter>;

// A source attached to the default context; destroyed with its owner.
struct source_deleter
{
    void operator()(GSource* source) const
    {
        g_source_destroy(source);
        g_source_unref(source);
    }
};
using source_ptr = std::unique_ptr<GSource, source_deleter>;

// Attaches a source to the default context. Nothing here runs the loop from
// within a source, so the source is not taken off the poll while it is
// dispatched, which would wake that poll twice.
inline void attach(source_ptr const& source)
{
    g_source_set_can_recurse(source.get(), TRUE);
    g_source_attach(source.get(), nullptr);
}

// Calls `f` when a socket has one of the conditions.
inline source_ptr watch_socket(
    GSocket* socket, GIOCondition condition, GSocketSourceFunc f, gpointer data)
{
    source_ptr source(g_socket_create_source(socket, condition, nullptr));
    g_source_set_callback(source.get(), G_SOURCE_FUNC(f), data, nullptr);
    attach(source);
    return source;
}

template <class Object>
object_ptr<Object> share(Object* object)
{
    return object_ptr<Object>(
        static_cast<Object*>(g_object_ref(static_cast<void*>(object))));
}

inline std::string message_of(error_ptr const& error)
{
    return error ? error->message : "unknown error";
}

} // namespace jackdawhall::loop
