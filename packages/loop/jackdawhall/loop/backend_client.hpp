// Sends runs to backend servers over HTTP, by libsoup, and says what became of
// each: answered whole, not connected (no byte was sent), or broken.
//
// Each server has a set of kept connections. When a run got no answer for a
// while although a later one did, or got none at all in its time, the kept
// connections may have gone silent: new runs then get a new set, and the old
// one ends with the runs on it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>

#include <libsoup/soup.h>

#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

inline constexpr std::size_t max_answer_bytes = 8 << 20;

struct backend_answered
{
    answer answer_;
};
struct backend_not_connected
{
    bool server_failed_ = true; // false: given up before connecting
};
struct backend_broken
{
    doubt_reason reason_;
};
using backend_result =
    std::variant<backend_answered, backend_not_connected, backend_broken>;

struct backend_handlers
{
    std::function<void(std::uint64_t run, backend_result result)> done_;
    std::function<void(std::string const& server_id, bool alive)> probed_;
};

class backend_client
{
public:
    explicit backend_client(backend_handlers handlers);
    ~backend_client();
    backend_client(backend_client const&) = delete;
    backend_client& operator=(backend_client const&) = delete;

    // Sends `r`; done_ follows once, within `timeout`.
    void
    run(std::uint64_t run, endpoint const& to, request const& r,
        duration timeout);

    // Closes the run's connection; done_ still follows.
    void cancel(std::uint64_t run);

    // Connects to a server and closes again; probed_ follows.
    void probe(std::string const& server_id, endpoint const& to);

private:
    struct exchange;
    // Kept connections to one server.
    struct connections
    {
        object_ptr<SoupSession> session_;
        instant made_;
        instant last_answer_; // of a run on them
    };

    SoupSession* session_for(endpoint const& to);
    void note_connection(exchange& e);
    bool is_still_open(exchange const& e) const;
    void suspect_silence(exchange& e, bool ended);
    void take_head(exchange& e, GInputStream* body, error_ptr const& error);
    void read_more(exchange& e);
    void take_body(exchange& e, bytes_ptr bytes, error_ptr const& error);
    void finish(exchange& e, backend_result result);
    void fail(exchange& e, error_ptr const& error);

    backend_handlers handlers_;
    std::map<endpoint, connections> connections_;
    std::map<guint64, object_ptr<GSocket>> sockets_; // by connection id
    object_ptr<GSocketClient> prober_;
    std::map<std::uint64_t, std::unique_ptr<exchange>> open_;
};

} // namespace jackdawhall::loop
