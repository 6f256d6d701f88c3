// An HTTP server on one address, by libsoup. Each request gets a number and is
// answered later under it. Requests are bounded in size, connections in number
// and in how long they may be idle.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <libsoup/soup.h>

#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

struct http_handlers
{
    std::function<void(
        std::uint64_t number, request r, std::string const& remote_address)>
        requested_;
    // The caller closed its connection before it was answered.
    std::function<void(std::uint64_t number)> left_;
};

class http_server
{
public:
    http_server(
        endpoint listen, std::uint32_t max_connections, http_handlers handlers);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    // Fails with user_error if the address cannot be listened on; `key` is the
    // setting to change.
    leaf::result<void> listen(std::string const& key);

    // Answers a request, unless its caller has left.
    void answer(std::uint64_t number, jackdawhall::answer const& a);

    // Accepts no more connections.
    void stop_accepting();

    std::size_t open_requests() const { return open_.size(); }

private:
    struct exchange;

    void begin(SoupServerMessage* message);
    void take(SoupServerMessage* message);
    void watch_for_leaving(exchange& e);
    static gboolean
    caller_readable(GSocket* socket, GIOCondition, gpointer data);
    void forget(std::uint64_t number);

    endpoint listen_;
    std::uint32_t max_connections_;
    http_handlers handlers_;
    object_ptr<SoupServer> server_;
    // Shared with sockets that outlive this.
    std::shared_ptr<std::uint32_t> connections_ =
        std::make_shared<std::uint32_t>(0);
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, exchange> open_;
};

} // namespace jackdawhall::loop
