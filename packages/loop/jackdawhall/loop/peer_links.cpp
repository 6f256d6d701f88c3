#include <jackdawhall/loop/peer_links.hpp>

#include <algorithm>
#include <cstring>
#include <deque>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/socket_options.hpp>
#include <jackdawhall/loop/timer.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr char ping_kind = 0;
constexpr char pong_kind = 1;
constexpr char message_kind = 2;
constexpr char challenge_kind = 3;
constexpr char hello_kind = 4;

constexpr std::size_t frame_header_bytes = 5;
constexpr std::size_t nonce_bytes = 16;
constexpr std::uint32_t max_unproven_frame_bytes = 512;
constexpr std::size_t read_bytes = 64 << 10;
constexpr int reads_at_once = 16; // so that one peer does not hold others up

constexpr duration connect_timeout = std::chrono::seconds(1);
constexpr duration handshake_timeout = std::chrono::seconds(2);
constexpr duration probe_after = std::chrono::milliseconds(500);
constexpr duration close_after = std::chrono::milliseconds(1500);
constexpr duration probe_step = std::chrono::milliseconds(300);
constexpr duration idle_probe = std::chrono::seconds(15);
constexpr duration idle_close = std::chrono::seconds(60);
constexpr duration reconnect_delay = std::chrono::milliseconds(200);

instant now()
{
    return read_clocks().now_;
}

std::string frame(char kind, std::string const& payload)
{
    guint32 const length =
        GUINT32_TO_BE(static_cast<guint32>(payload.size() + 1));
    std::string bytes(reinterpret_cast<char const*>(&length), sizeof length);
    bytes.push_back(kind);
    return bytes + payload;
}

} // namespace

enum class link_stage
{
    connecting,
    proving,
    ready,
    closed
};

// A frame that waits to be written.
struct waiting_frame
{
    std::uint64_t end_ = 0; // offset in the stream
    std::uint64_t size_ = 0;
    std::uint64_t tag_ = 0;
    std::string message_; // kept to give it back; empty if no message
};

struct peer_links::link
{
    peer_links* owner_ = nullptr;
    link_stage stage_ = link_stage::connecting;
    bool outbound_ = false;
    host_name host_;
    std::string nonce_;
    object_ptr<GSocketConnection> connection_;
    object_ptr<GCancellable> connecting_;
    GSocket* socket_ = nullptr;
    source_ptr readable_;
    source_ptr writable_;
    timer_ptr timer_;
    std::optional<instant> timer_due_;
    std::string in_;
    std::string out_;
    std::uint64_t written_ = 0; // bytes of the stream
    std::uint64_t queued_ = 0;
    std::deque<waiting_frame> frames_;
    std::deque<std::pair<std::string, std::uint64_t>> before_ready_;
    std::uint64_t newest_written_ = 0;
    std::optional<instant> unanswered_since_;
    instant last_received_;
};

peer_links::peer_links(
    host_name self, endpoint listen, std::string secret, peer_handlers handlers)
    : self_(std::move(self)), listen_(std::move(listen)),
      secret_(std::move(secret)), handlers_(std::move(handlers)),
      client_(g_socket_client_new()), read_buffer_(read_bytes)
{
    g_socket_client_set_enable_proxy(client_.get(), FALSE);
    g_socket_client_set_timeout(
        client_.get(),
        static_cast<guint>(
            std::chrono::duration_cast<std::chrono::seconds>(connect_timeout)
                .count()));
}

peer_links::~peer_links()
{
    handlers_ = {
        [](auto const&, auto) {}, [](auto const&, auto) {},
        [](auto const&, auto) {}, [](auto) {}};
    if (service_)
        g_socket_service_stop(service_.get());
    for (link& l : links_)
        close(l, "");
}

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

void peer_links::set_address(host_name const& host, endpoint const& address)
{
    addresses_.insert_or_assign(host, address);
}

peer_links::link& peer_links::add_link()
{
    link& l = links_.emplace_back();
    l.owner_ = this;
    l.last_received_ = now();
    return l;
}

void peer_links::accept(GSocketConnection* connection)
{
    if (links_.size() >= max_peer_connections)
        return; // dropping the connection closes it
    link& l = add_link();
    adopt(l, connection);
    random_source random = random_source::unpredictable();
    l.nonce_ = random.hex(nonce_bytes);
    queue(l, challenge_kind, l.nonce_, 0, false);
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
    l.readable_.reset(g_socket_create_source(l.socket_, G_IO_IN, nullptr));
    g_source_set_callback(
        l.readable_.get(),
        G_SOURCE_FUNC(
            +[](GSocket*, GIOCondition, gpointer data) -> gboolean
            {
                link& ready = *static_cast<link*>(data);
                ready.owner_->read_ready(ready);
                return G_SOURCE_CONTINUE;
            }),
        &l, nullptr);
    attach(l.readable_);
}

void peer_links::close(link& l, std::string const& why)
{
    if (l.stage_ == link_stage::closed)
        return;
    bool const was_ready = l.stage_ == link_stage::ready;
    l.stage_ = link_stage::closed;
    l.readable_.reset();
    l.writable_.reset();
    l.timer_.reset();
    if (l.connecting_)
        g_cancellable_cancel(l.connecting_.get());
    if (l.connection_)
        g_socket_close(l.socket_, nullptr);
    if (l.outbound_ && !was_ready)
        failed_.insert_or_assign(l.host_, now());
    if (!l.host_.empty() && !why.empty())
        handlers_.note_("link with " + l.host_.str() + " closed: " + why);
    host_name const host = l.host_;
    std::uint64_t const newest = l.newest_written_;
    std::vector<std::string> unwritten;
    for (waiting_frame& f : l.frames_)
    {
        if (f.end_ - f.size_ >= l.written_ && !f.message_.empty())
            unwritten.push_back(std::move(f.message_));
        else if (f.tag_ != 0)
            l.newest_written_ = f.tag_;
    }
    for (auto& waiting : l.before_ready_)
        unwritten.push_back(std::move(waiting.first));
    l.frames_.clear();
    l.before_ready_.clear();
    for (std::string& bytes : unwritten)
        handlers_.undelivered_(host, std::move(bytes));
    if (was_ready)
        handlers_.lost_(host, std::max(newest, l.newest_written_));
    // The link may still be in use by the functions that closed it.
    collect_.ask();
}

void peer_links::collect_closed()
{
    links_.remove_if([](link const& l)
                     { return l.stage_ == link_stage::closed; });
}

void peer_links::read_ready(link& l)
{
    std::vector<char>& chunk = read_buffer_;
    for (int i = 0; i < reads_at_once && l.stage_ != link_stage::closed; ++i)
    {
        GError* raw = nullptr;
        gssize const n = g_socket_receive(
            l.socket_, chunk.data(), chunk.size(), nullptr, &raw);
        error_ptr const error(raw);
        if (n < 0 && g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            return;
        if (n <= 0)
            return close(l, n == 0 ? "peer closed it" : message_of(error));
        l.last_received_ = now();
        l.unanswered_since_.reset();
        l.in_.append(chunk.data(), static_cast<std::size_t>(n));
        take_frames(l);
        if (static_cast<std::size_t>(n) < chunk.size())
            return;
    }
}

void peer_links::take_frames(link& l)
{
    std::size_t at = 0;
    while (l.stage_ != link_stage::closed && l.in_.size() - at >= 4)
    {
        guint32 length = 0;
        std::memcpy(&length, l.in_.data() + at, sizeof length);
        length = GUINT32_FROM_BE(length);
        std::uint32_t const most = l.stage_ == link_stage::ready
                                       ? max_frame_bytes
                                       : max_unproven_frame_bytes;
        if (length == 0 || length > most)
            return close(l, "frame of " + std::to_string(length) + " bytes");
        if (l.in_.size() - at < 4 + length)
            break;
        char const kind = l.in_[at + 4];
        std::string payload = l.in_.substr(at + 5, length - 1);
        at += 4 + length;
        take_frame(l, kind, std::move(payload));
    }
    if (l.stage_ != link_stage::closed)
        l.in_.erase(0, at);
}

void peer_links::take_frame(link& l, char kind, std::string payload)
{
    if (l.stage_ == link_stage::proving)
    {
        if (l.outbound_ && kind == challenge_kind)
        {
            queue(
                l, hello_kind, self_.str() + "\n" + proof(payload, self_.str()),
                0, false);
            return become_ready(l);
        }
        if (!l.outbound_ && kind == hello_kind)
            return take_hello(l, payload);
        return close(l, "no proof of the fleet's secret");
    }
    if (kind == ping_kind)
        queue(l, pong_kind, {}, 0, false);
    else if (kind == message_kind)
        handlers_.received_(l.host_, std::move(payload));
    else if (kind != pong_kind)
        close(l, "frame of unknown kind");
}

void peer_links::take_hello(link& l, std::string const& payload)
{
    std::size_t const end = payload.find('\n');
    std::string const host = payload.substr(0, end);
    std::string const given =
        end == std::string::npos ? "" : payload.substr(end + 1);
    if (!is_name(host) || !equal_in_constant_time(given, proof(l.nonce_, host)))
    {
        handlers_.note_("a peer without the fleet's secret was turned away");
        return close(l, "");
    }
    l.host_ = host_name::make(host).value();
    become_ready(l);
}

std::string
peer_links::proof(std::string const& nonce, std::string const& host) const
{
    std::string const text = "jackdawhall 1 " + nonce + " " + host;
    char* raw = g_compute_hmac_for_data(
        G_CHECKSUM_SHA256, reinterpret_cast<guchar const*>(secret_.data()),
        secret_.size(), reinterpret_cast<guchar const*>(text.data()),
        text.size());
    std::string hex = raw;
    g_free(raw);
    return hex;
}

void peer_links::become_ready(link& l)
{
    if (l.stage_ == link_stage::closed)
        return;
    l.stage_ = link_stage::ready;
    failed_.erase(l.host_);
    auto waiting = std::move(l.before_ready_);
    l.before_ready_.clear();
    for (auto& [bytes, tag] : waiting)
    {
        if (l.stage_ == link_stage::closed)
            handlers_.undelivered_(l.host_, std::move(bytes));
        else
            queue(l, message_kind, bytes, tag, true);
    }
    if (l.stage_ != link_stage::closed)
        arm(l, l.unanswered_since_ ? probe_step : idle_probe);
}

void peer_links::queue(
    link& l, char kind, std::string const& payload, std::uint64_t tag,
    bool is_message)
{
    std::string bytes = frame(kind, payload);
    if (l.out_.size() + bytes.size() > max_waiting_bytes)
    {
        if (is_message)
            handlers_.undelivered_(l.host_, payload);
        return close(l, "the peer reads too slowly");
    }
    l.queued_ += bytes.size();
    l.frames_.push_back(
        {l.queued_, bytes.size(), tag, is_message ? payload : std::string{}});
    l.out_ += bytes;
    if (kind != pong_kind && !l.unanswered_since_ &&
        l.stage_ == link_stage::ready)
    {
        l.unanswered_since_ = now();
        arm(l, probe_after);
    }
    flush(l);
}

void peer_links::flush(link& l)
{
    std::size_t done = 0;
    while (done < l.out_.size())
    {
        GError* raw = nullptr;
        gssize const n = g_socket_send(
            l.socket_, l.out_.data() + done, l.out_.size() - done, nullptr,
            &raw);
        error_ptr const error(raw);
        if (n < 0 && g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            break;
        if (n < 0)
            return close(l, message_of(error));
        done += static_cast<std::size_t>(n);
        l.written_ += static_cast<std::uint64_t>(n);
    }
    l.out_.erase(0, done);
    while (!l.frames_.empty() && l.frames_.front().end_ <= l.written_)
    {
        if (l.frames_.front().tag_ != 0)
            l.newest_written_ = l.frames_.front().tag_;
        l.frames_.pop_front();
    }
    if (l.out_.empty())
        return l.writable_.reset();
    if (l.writable_)
        return;
    l.writable_.reset(g_socket_create_source(l.socket_, G_IO_OUT, nullptr));
    g_source_set_callback(
        l.writable_.get(),
        G_SOURCE_FUNC(
            +[](GSocket*, GIOCondition, gpointer data) -> gboolean
            {
                link& ready = *static_cast<link*>(data);
                ready.owner_->flush(ready);
                return G_SOURCE_CONTINUE;
            }),
        &l, nullptr);
    attach(l.writable_);
}

void peer_links::arm(link& l, duration after)
{
    instant const due = now() + after;
    if (l.timer_due_ && *l.timer_due_ <= due)
        return; // tend() sets the next time
    l.timer_due_ = due;
    if (!l.timer_)
        l.timer_ = make_timer(
            [](gpointer data) -> gboolean
            {
                link& tended = *static_cast<link*>(data);
                tended.timer_due_.reset();
                tended.owner_->tend(tended);
                return G_SOURCE_CONTINUE;
            },
            &l);
    set_timer_due(l.timer_, due);
}

void peer_links::tend(link& l)
{
    if (l.stage_ != link_stage::ready)
        return close(l, "it was not made in time");
    instant const at = now();
    if (l.unanswered_since_)
    {
        duration const silent = at - *l.unanswered_since_;
        if (silent >= close_after)
            return close(l, "the peer is silent");
        if (silent >= probe_after)
            queue(l, ping_kind, {}, 0, false);
        if (l.stage_ != link_stage::closed)
            arm(l, std::max(probe_step, probe_after - silent));
        return;
    }
    duration const idle = at - l.last_received_;
    if (!l.outbound_ && idle >= idle_close)
        return close(l, "it was idle");
    if (l.outbound_ && idle >= idle_probe)
        return queue(l, ping_kind, {}, 0, false);
    arm(l, idle_probe);
}

peer_links::link* peer_links::link_to(host_name const& host)
{
    link* best = nullptr;
    for (link& l : links_)
    {
        if (l.host_ != host || l.stage_ == link_stage::closed)
            continue;
        bool const better = !best || (l.outbound_ && !best->outbound_) ||
                            (l.outbound_ == best->outbound_);
        if (better)
            best = &l;
    }
    return best;
}

void peer_links::send(host_name const& to, std::string bytes, std::uint64_t tag)
{
    link* l = link_to(to);
    bool const known = addresses_.contains(to);
    if (known && (!l || !l->outbound_))
    {
        auto const failed = failed_.find(to);
        bool const wait =
            failed != failed_.end() && now() - failed->second < reconnect_delay;
        if (!wait)
        {
            connect_to(to);
            if (!l)
                l = link_to(to);
        }
    }
    if (!l)
        return handlers_.undelivered_(to, std::move(bytes));
    if (l->stage_ == link_stage::ready)
        queue(*l, message_kind, bytes, tag, true);
    else
        l->before_ready_.emplace_back(std::move(bytes), tag);
}

} // namespace jackdawhall::loop
