// Kept connections between daemons, on which frames go. The accepting side
// sends a challenge, and the connecting side proves that it knows the fleet's
// secret before any frame of its is taken.
//
// A link on which something was sent but nothing came back is probed, and
// closed if it stays silent, without waiting for its peer. What was not yet
// written to a link that closes is given back as undelivered.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/loop/later.hpp>
#include <jackdawhall/loop/memory_budget.hpp>
#include <jackdawhall/loop/peer_frames.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

inline constexpr std::uint32_t max_frame_bytes = 64 << 20;
// Bytes that may wait to be written to one peer.
inline constexpr std::size_t max_waiting_bytes = 96 << 20;
inline constexpr std::size_t max_peer_connections = 16384;

struct peer_handlers
{
    std::function<void(host_name const& from, std::string bytes)> received_;
    // A link broke; tags up to `newest_written` may have reached the peer.
    std::function<void(host_name const& host, std::uint64_t newest_written)>
        lost_;
    std::function<void(host_name const& to, std::string bytes)> undelivered_;
    // No byte of it was written, and the link goes on: it took too much memory.
    std::function<void(host_name const& to, std::string bytes)> withdrawn_;
    std::function<void(std::string)> note_;
    // In a later round of the loop: bytes that waited are written, or a link
    // closed.
    std::function<void()> settled_;
};

class peer_links
{
public:
    peer_links(
        host_name self, endpoint listen, std::string secret,
        peer_handlers handlers,
        budget_ptr budget = std::make_shared<memory_budget>(max_waiting_bytes));
    ~peer_links();
    peer_links(peer_links const&) = delete;
    peer_links& operator=(peer_links const&) = delete;

    // Fails with user_error if the address cannot be listened on.
    leaf::result<void> listen();

    // Where to connect to a host.
    void set_address(host_name const& host, endpoint const& address);

    // Sends a message. A tag other than 0 is reported by lost_.
    void send(host_name const& to, std::string bytes, std::uint64_t tag);

    // Asks each peer to confirm that it has taken all frames sent so far.
    void ask_confirmation();
    // Links on which bytes wait to be written or confirmed.
    std::size_t links_behind() const;

    // Sends nothing more, and ends each link's writing side: peers then close
    // theirs. Takes no new link, on which nothing could be answered.
    void finish_writing();

    std::size_t open_links() const { return links_.size(); }
    // Bytes that wait to be written.
    std::size_t unwritten() const;

private:
    struct link;

    // Kinds of links with a host; the last is used first.
    enum class preference
    {
        doubted,    // silent since another link with the host was
        connecting, // opened by this side
        peers,      // opened by the peer
        own
    };

    link& add_link();
    void stop_listening();
    void accept(GSocketConnection* connection);
    void connect_to(host_name const& host);
    void adopt(link& l, GSocketConnection* connection);
    void close(link& l, std::string const& why);
    void collect_closed();
    void read_ready(link& l);
    void take_frames(link& l);
    void take_frame(link& l, peer_frame f);
    void take_unproven(link& l, peer_frame const& f);
    void take_pong(link& l);
    void take_hello(link& l, hello_frame const& hello);
    void queue(link& l, peer_frame f, std::uint64_t tag);
    void flush(link& l);
    static std::ptrdiff_t write_some(link& l, error_ptr& error);
    static void count(link& l);
    void give_up_queue(link& l);
    void arm(link& l, duration after);
    void arm_check(link& l);
    void tend(link& l);
    void close_silent(link& l);
    static std::size_t unacknowledged_bytes(link const& l);
    bool is_trusted(link const& l) const;
    void become_ready(link& l);
    preference preference_of(link const& l) const;
    link* link_to(host_name const& host);
    bool has_own_link(host_name const& host) const;
    bool may_connect(host_name const& host) const;
    void give_back(
        host_name const& host,
        std::deque<std::pair<std::string, std::uint64_t>> waiting);

    host_name self_;
    endpoint listen_;
    std::string secret_;
    peer_handlers handlers_;
    budget_ptr budget_;
    object_ptr<GSocketService> service_;
    object_ptr<GSocketClient> client_;
    std::map<host_name, endpoint> addresses_;
    std::map<host_name, instant> failed_; // connects that failed lately
    // When bytes were sent over a link with a host that proved silent.
    std::map<host_name, instant> doubted_since_;
    std::list<link> links_;
    bool finished_ = false;
    later collect_{[this] { collect_closed(); }};
    std::vector<char> read_buffer_; // used within one read only
};

} // namespace jackdawhall::loop
