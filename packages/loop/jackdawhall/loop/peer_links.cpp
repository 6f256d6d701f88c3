#include <jackdawhall/loop/peer_links.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <jackdawhall/loop/peer_frames.hpp>
#include <jackdawhall/loop/peer_link.hpp>

namespace jackdawhall::loop
{

namespace
{

constexpr std::uint32_t max_unproven_frame_bytes = 512;
constexpr std::size_t read_bytes = 64 << 10;
// A frame of this size is taken out of the input before it is handled.
constexpr std::size_t large_frame_bytes = 64 << 10;
// Messages of less are not withdrawn from a queue.
constexpr std::size_t least_withdrawn_bytes = 16 << 10;
constexpr std::size_t vectors_at_once = 16;
constexpr int reads_at_once = 16; // so that one peer does not hold others up

instant now()
{
    return read_clocks().now_;
}

} // namespace

peer_links::peer_links(
    host_name self, endpoint listen, std::string secret, peer_handlers handlers,
    budget_ptr budget)
    : self_(std::move(self)), listen_(std::move(listen)),
      secret_(std::move(secret)), handlers_(std::move(handlers)),
      budget_(std::move(budget)), client_(g_socket_client_new()),
      read_buffer_(read_bytes)
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
        [](auto const&, auto) {},
        [](auto const&, auto) {},
        [](auto const&, auto) {},
        [](auto const&, auto) {},
        [](auto) {},
        [] {}};
    stop_listening();
    for (link& l : links_)
        close(l, "");
}

void peer_links::set_address(host_name const& host, endpoint const& address)
{
    addresses_.insert_or_assign(host, address);
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
    l.queue_share_->clear();
    l.frame_share_->clear();
    std::string().swap(l.in_);
    host_name const host = l.host_;
    std::vector<std::string> unwritten = take_unwritten(l.waiting_);
    for (std::string& bytes : unwritten)
        handlers_.undelivered_(host, std::move(bytes));
    give_back(host, std::exchange(l.before_ready_, {}));
    if (was_ready)
        handlers_.lost_(host, l.waiting_.newest_written_);
    // The link may still be in use by the functions that closed it.
    collect_.ask();
}

void peer_links::collect_closed()
{
    links_.remove_if([](link const& l)
                     { return l.stage_ == link_stage::closed; });
    handlers_.settled_();
}

void peer_links::read_ready(link& l)
{
    for (int i = 0; i < reads_at_once && l.stage_ != link_stage::closed; ++i)
    {
        GError* raw = nullptr;
        gssize const n = g_socket_receive(
            l.socket_, read_buffer_.data(), read_buffer_.size(), nullptr, &raw);
        error_ptr const error(raw);
        if (n < 0 && g_error_matches(raw, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            return;
        if (n <= 0)
            return close(l, n == 0 ? "peer closed it" : message_of(error));
        l.health_ = mark_received(l.health_, now());
        l.in_.append(read_buffer_.data(), static_cast<std::size_t>(n));
        take_frames(l);
        count(l);
        if (static_cast<std::size_t>(n) < read_buffer_.size())
            return;
    }
}

void peer_links::take_frames(link& l)
{
    std::size_t at = 0;
    bool whole = true;
    while (whole && l.stage_ != link_stage::closed)
    {
        std::uint32_t const most = l.stage_ == link_stage::ready
                                       ? max_frame_bytes
                                       : max_unproven_frame_bytes;
        received_frame next =
            decode_frame(std::string_view(l.in_).substr(at), most);
        std::visit(
            overloaded{
                [&](incomplete_frame const&) { whole = false; },
                [&](malformed_frame const& m) { close(l, m.what_); },
                [&](whole_frame& f)
                {
                    at += f.size_;
                    if (f.size_ >= large_frame_bytes)
                        l.in_.erase(0, std::exchange(at, 0));
                    if (l.in_.empty())
                        std::string().swap(l.in_);
                    take_frame(l, std::move(f.frame_));
                },
            },
            next);
    }
    if (l.stage_ != link_stage::closed)
        l.in_.erase(0, at);
}

void peer_links::take_frame(link& l, peer_frame f)
{
    if (l.stage_ == link_stage::proving)
        return take_unproven(l, f);
    std::visit(
        overloaded{
            [&](ping_frame const&) { queue(l, pong_frame{}, 0); },
            [&](pong_frame const&) { take_pong(l); },
            [&](message_frame& m)
            {
                l.health_ = mark_used(l.health_, now());
                handlers_.received_(l.host_, std::move(m.bytes_));
            },
            [&](auto const&) { close(l, "a greeting on a proven link"); },
        },
        f);
}

// On a link on which the connecting side has not proven itself yet.
void peer_links::take_unproven(link& l, peer_frame const& f)
{
    challenge_frame const* challenge = std::get_if<challenge_frame>(&f);
    hello_frame const* hello = std::get_if<hello_frame>(&f);
    if (l.outbound_ && challenge)
    {
        queue(
            l,
            hello_frame{
                self_.str(),
                prove_secret(secret_, challenge->nonce_, self_.str())},
            0);
        return become_ready(l);
    }
    if (!l.outbound_ && hello)
        return take_hello(l, *hello);
    close(l, "no proof of the fleet's secret");
}

void peer_links::take_hello(link& l, hello_frame const& hello)
{
    if (!is_name(hello.host_) ||
        !equal_in_constant_time(
            hello.proof_, prove_secret(secret_, l.nonce_, hello.host_)))
    {
        handlers_.note_("a peer without the fleet's secret was turned away");
        return close(l, "");
    }
    l.host_ = host_name::make(hello.host_).value();
    become_ready(l);
}

void peer_links::become_ready(link& l)
{
    if (l.stage_ == link_stage::closed)
        return;
    l.stage_ = link_stage::ready;
    failed_.erase(l.host_);
    auto waiting = std::move(l.before_ready_);
    l.before_ready_.clear();
    l.before_ready_bytes_ = 0;
    for (auto& [bytes, tag] : waiting)
    {
        if (l.stage_ == link_stage::closed)
            handlers_.undelivered_(l.host_, std::move(bytes));
        else
            queue(l, message_frame{std::move(bytes)}, tag);
    }
    if (l.stage_ != link_stage::closed)
        arm_check(l);
}

void peer_links::queue(link& l, peer_frame f, std::uint64_t tag)
{
    message_frame* message = std::get_if<message_frame>(&f);
    if (std::holds_alternative<ping_frame>(f))
    {
        ++l.pings_;
        l.health_ = mark_probed(l.health_, now());
    }
    bool const asks = !std::holds_alternative<pong_frame>(f);
    std::string bytes = encode_frame(f);
    if (l.waiting_.waiting_ + bytes.size() > max_waiting_bytes)
    {
        if (message)
            handlers_.undelivered_(l.host_, std::move(message->bytes_));
        return close(l, "the peer reads too slowly");
    }
    add_frame(l.waiting_, {std::move(bytes), tag, message != nullptr});
    if (message)
        message->bytes_ = {};
    if (message)
        l.health_ = mark_used(l.health_, now());
    if (asks && !l.health_.unanswered_since_ && l.stage_ == link_stage::ready)
    {
        l.health_ = mark_asked(l.health_, now());
        arm_check(l);
    }
    flush(l);
}

// Writes the first frames that wait. Returns what g_socket_send_message() does.
std::ptrdiff_t peer_links::write_some(link& l, error_ptr& error)
{
    std::array<GOutputVector, vectors_at_once> vectors{};
    std::size_t count = 0;
    std::size_t skipped = l.waiting_.written_;
    for (waiting_frame const& f : l.waiting_.frames_)
    {
        if (count == vectors.size())
            break;
        vectors.at(count++) = {
            f.bytes_.data() + skipped, f.bytes_.size() - skipped};
        skipped = 0;
    }
    GError* raw = nullptr;
    gssize const n = g_socket_send_message(
        l.socket_, nullptr, vectors.data(), static_cast<gint>(count), nullptr,
        0, G_SOCKET_MSG_NONE, nullptr, &raw);
    error.reset(raw);
    return n;
}

void peer_links::flush(link& l)
{
    while (l.waiting_.waiting_ > 0)
    {
        error_ptr error;
        std::ptrdiff_t const n = write_some(l, error);
        if (n < 0 &&
            g_error_matches(error.get(), G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
            break;
        if (n < 0)
            return close(l, message_of(error));
        take_written(l.waiting_, static_cast<std::size_t>(n));
    }
    count(l);
    if (l.waiting_.waiting_ == 0)
    {
        if (l.writable_)
            collect_.ask();
        return l.writable_.reset();
    }
    if (l.writable_)
        return;
    l.writable_ = watch_socket(
        l.socket_, G_IO_OUT,
        [](GSocket*, GIOCondition, gpointer data) -> gboolean
        {
            link& ready = *static_cast<link*>(data);
            ready.owner_->flush(ready);
            return G_SOURCE_CONTINUE;
        },
        &l);
}

void peer_links::count(link& l)
{
    if (l.stage_ == link_stage::closed)
        return;
    l.queue_share_->set(
        peer_queue{l.host_}, l.waiting_.allocated_ + l.before_ready_bytes_);
    l.frame_share_->set(frame_in_progress{l.host_}, l.in_.capacity());
}

// Withdraws the largest messages until half of the queue is left. A link whose
// queue has none to withdraw is closed.
void peer_links::give_up_queue(link& l)
{
    std::size_t const enough = l.waiting_.allocated_ / 2;
    bool any = false;
    while (l.stage_ == link_stage::ready && l.waiting_.allocated_ > enough)
    {
        std::optional<std::string> largest =
            withdraw_largest(l.waiting_, least_withdrawn_bytes);
        if (!largest)
            break;
        any = true;
        handlers_.withdrawn_(l.host_, std::move(*largest));
    }
    if (!any)
        return close(l, "its messages take too much memory");
    count(l);
}

void peer_links::take_pong(link& l)
{
    if (l.pings_ > 0)
        --l.pings_;
    if (l.pings_ == 0)
        collect_.ask();
}

void peer_links::ask_confirmation()
{
    for (link& l : links_)
    {
        if (l.stage_ == link_stage::ready)
            queue(l, ping_frame{}, 0);
    }
}

std::size_t peer_links::links_behind() const
{
    std::size_t count = 0;
    for (link const& l : links_)
    {
        bool const open = l.stage_ != link_stage::closed;
        if (open && (l.pings_ > 0 || l.waiting_.waiting_ > 0 ||
                     !l.before_ready_.empty()))
            ++count;
    }
    return count;
}

void peer_links::finish_writing()
{
    finished_ = true;
    stop_listening();
    for (link& l : links_)
    {
        if (l.stage_ == link_stage::ready)
            g_socket_shutdown(l.socket_, FALSE, TRUE, nullptr);
        else
            close(l, "");
    }
}

std::size_t peer_links::unwritten() const
{
    std::size_t bytes = 0;
    for (link const& l : links_)
    {
        bytes += l.waiting_.waiting_;
        for (auto const& waiting : l.before_ready_)
            bytes += waiting.first.size();
    }
    return bytes;
}

} // namespace jackdawhall::loop
