#include <jackdawhall/loop/http_server.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jackdawhall/loop/event_loop.hpp>
#include <jackdawhall/loop/http_message.hpp>
#include <jackdawhall/loop/timer.hpp>

namespace jackdawhall::loop
{

namespace
{

// A connection that is closed with unread bytes is reset, and its caller may
// lose the answer: so what still comes is read and dropped for this long.
constexpr duration linger_time = std::chrono::seconds(1);
// Bytes of the next request that are taken in while one is in progress.
constexpr std::size_t max_early_bytes = 64 << 10;
constexpr int accepts_at_once = 32;
constexpr char give_up_retry_after[] = "1"; // seconds

enum class phase
{
    reading,   // a request, or waiting for one
    answering, // a request is in progress
    writing,   // its answer is being written
    lingering  // the last answer was written
};

std::uint16_t status_of(boost::beast::error_code const& error)
{
    if (error == http::error::header_limit ||
        error == http::error::buffer_overflow)
        return 431;
    if (error == http::error::body_limit)
        return 413;
    return 400;
}

} // namespace

struct http_server::connection
{
    http_server* owner_ = nullptr;
    std::uint64_t id_ = 0;
    std::string remote_;
    phase phase_ = phase::reading;
    std::optional<request_parser> parser_;
    std::size_t taken_ = 0;      // bytes of the request
    std::size_t body_bytes_ = 0; // of the request that waits for its answer
    bool began_ = false;         // the first byte of a request is there
    bool continued_ = false;     // 100 Continue was sent
    std::uint64_t number_ = 0;
    std::string method_;
    bool keep_alive_ = true;
    bool last_ = false;     // no request follows the answer
    bool finished_ = false; // the caller sends nothing more
    bool taking_ = false;   // take_bytes is at work on it
    timer_ptr timer_;
    std::unique_ptr<byte_stream> stream_;
    std::unique_ptr<budget_share> share_;
};

http_server::http_server(
    endpoint listen, std::uint32_t max_connections, http_handlers handlers,
    budget_ptr budget)
    : listen_(std::move(listen)), max_connections_(max_connections),
      handlers_(std::move(handlers)), budget_(std::move(budget))
{
}

http_server::~http_server()
{
    acceptable_.reset();
    if (listener_ >= 0)
        ::close(listener_);
}

leaf::result<void> http_server::listen(std::string const& key)
{
    BOOST_LEAF_ASSIGN(listener_, open_listener(listen_, key));
    acceptable_ = watch_fd(
        listener_, G_IO_IN,
        [](gint, GIOCondition, gpointer self) -> gboolean
        {
            static_cast<http_server*>(self)->accept();
            return G_SOURCE_CONTINUE;
        },
        this);
    return {};
}

void http_server::accept()
{
    for (int i = 0; i < accepts_at_once; ++i)
    {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        int const fd = accept4(
            listener_, reinterpret_cast<sockaddr*>(&from), &size,
            SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        if (connections_.size() >= max_connections_)
        {
            ::close(fd);
            continue;
        }
        auto made = std::make_unique<connection>();
        connection& c = *made;
        c.owner_ = this;
        c.id_ = ++last_number_;
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &from.sin_addr, text.data(), text.size());
        c.remote_ = text.data();
        c.share_ = std::make_unique<budget_share>(
            budget_, [&c] { c.owner_->give_up(c); });
        connections_.emplace(c.id_, std::move(made));
        c.stream_ = std::make_unique<byte_stream>(
            fd,
            stream_handlers{
                [&c] { c.owner_->take_bytes(c); },
                [&c](stream_end how) { c.owner_->take_end(c, how); },
                [&c] { c.owner_->answer_written(c); }},
            caller_stall_time);
        c.timer_ = make_timer([&c] { c.owner_->time_out(c); });
        begin_request(c);
    }
}

void http_server::arm(connection& c, duration after)
{
    set_timer_due(c.timer_, read_clocks().now_ + after);
}

void http_server::begin_request(connection& c)
{
    c.phase_ = phase::reading;
    c.number_ = 0;
    c.began_ = c.continued_ = false;
    c.taken_ = 0;
    c.parser_.emplace();
    c.parser_->eager(true);
    c.parser_->header_limit(limits_.header_bytes_);
    c.parser_->body_limit(limits_.body_bytes_);
    arm(c, limits_.idle_time_);
    c.stream_->read_more(true);
    if (!c.stream_->input().empty())
        take_bytes(c);
}

// An answer that is given at once begins the next request: the loop takes it,
// so that many requests in one read don't nest.
void http_server::take_bytes(connection& c)
{
    if (std::exchange(c.taking_, true))
        return;
    std::string const& in = c.stream_->input();
    std::size_t before = 0;
    do
    {
        before = in.size();
        take_part(c);
    } while (c.phase_ == phase::reading && c.stream_->is_open() &&
             !in.empty() && in.size() < before);
    c.taking_ = false;
    count(c);
}

// Says what the connection holds, of a request that comes in or of an answer
// that goes out, or of the request that waits for its answer.
void http_server::count(connection& c)
{
    if (!c.share_)
        return;
    std::size_t const buffers = c.stream_->allocated();
    if (c.phase_ == phase::answering)
        return c.share_->set(
            request_awaiting_answer{c.remote_}, buffers + c.body_bytes_);
    if (c.phase_ != phase::reading)
        return c.share_->set(unread_answer{c.remote_}, buffers);
    std::size_t const body = c.parser_->get().body().capacity();
    std::size_t const head =
        c.began_
            ? std::min<std::size_t>(c.taken_, c.owner_->limits_.header_bytes_)
            : 0;
    c.share_->set(request_in_progress{c.remote_}, buffers + body + head);
}

// Refuses a request that comes in, as not run; closes the connection of a
// caller that does not read its answer.
void http_server::give_up(connection& c)
{
    switch (c.phase_)
    {
    case phase::reading:
        return refuse(c, {503, {{"retry-after", give_up_retry_after}}, {}});
    case phase::answering:
        c.body_bytes_ = 0;
        if (handlers_.give_back_)
            handlers_.give_back_(c.number_);
        return;
    case phase::writing:
    case phase::lingering:
        c.stream_->reset();
        return close(c);
    }
}

void http_server::take_part(connection& c)
{
    std::string& in = c.stream_->input();
    if (c.phase_ == phase::lingering)
        return in.clear();
    if (c.phase_ == phase::answering || c.phase_ == phase::writing)
    {
        if (in.size() > max_early_bytes)
            c.stream_->read_more(false);
        return;
    }
    if (!c.began_)
    {
        c.began_ = true;
        arm(c, limits_.header_time_);
    }
    boost::beast::error_code const error =
        feed(*c.parser_, in, c.taken_, limits_.header_bytes_);
    if (error)
        return refuse(c, {status_of(error), {}, {}});
    if (c.parser_->is_done())
        return take_request(c);
    if (!c.parser_->is_header_done())
        return;
    // Each part of a body gives it the same time again.
    arm(c, limits_.header_time_);
    if (!c.continued_ &&
        boost::beast::iequals(
            c.parser_->get()[http::field::expect], "100-continue"))
    {
        c.continued_ = true;
        c.stream_->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void http_server::take_request(connection& c)
{
    c.phase_ = phase::answering;
    set_timer_due(c.timer_, instant::max());
    c.keep_alive_ = c.parser_->keep_alive();
    request_parser::value_type message = c.parser_->release();
    request r;
    r.method_ = std::string(message.method_string());
    r.path_ = std::string(message.target());
    r.headers_ = headers_of(message.base());
    r.body_ = std::move(message.body());
    c.body_bytes_ = r.body_.capacity();
    c.method_ = r.method_;
    c.number_ = ++last_number_;
    open_.emplace(c.number_, &c);
    handlers_.requested_(c.number_, std::move(r), c.remote_);
}

void http_server::take_end(connection& c, stream_end how)
{
    bool const owes_answer =
        c.phase_ == phase::answering || c.phase_ == phase::writing;
    if (owes_answer && how == stream_end::finished)
        return take_last_byte(c);
    std::uint64_t const number = c.number_;
    bool const left = open_.erase(number) != 0;
    close(c);
    if (left)
        handlers_.left_(number);
}

// The answer is the last of the connection. What was sent behind its request is
// not taken.
void http_server::take_last_byte(connection& c)
{
    c.finished_ = true;
    if (c.phase_ == phase::answering && handlers_.finished_)
        handlers_.finished_(c.number_);
}

void http_server::refuse(connection& c, jackdawhall::answer a)
{
    c.parser_.reset(); // with what came in of the request
    respond(c, std::move(a), true);
}

void http_server::respond(connection& c, jackdawhall::answer a, bool last)
{
    c.phase_ = phase::writing;
    c.last_ = last;
    // How long the caller may take nothing is the stream's concern.
    set_timer_due(c.timer_, instant::max());
    std::string text = to_text(a, c.method_, last);
    a = {};
    c.stream_->write(std::move(text));
    count(c);
}

void http_server::answer_written(connection& c)
{
    if (c.phase_ != phase::writing)
        return; // 100 Continue
    if (c.finished_)
        return close(c);
    bool const stopped = listener_ < 0 && !c.stream_->has_unread();
    if (c.last_ || stopped)
        linger(c);
    else
        begin_request(c);
    count(c);
}

void http_server::linger(connection& c)
{
    c.phase_ = phase::lingering;
    c.stream_->input().clear();
    c.stream_->read_more(true);
    c.stream_->finish_writing();
    arm(c, linger_time);
}

void http_server::answer(std::uint64_t number, jackdawhall::answer a)
{
    auto const known = open_.find(number);
    if (known == open_.end())
        return;
    connection& c = *known->second;
    open_.erase(known);
    respond(c, std::move(a), closing_ || !c.keep_alive_ || c.finished_);
}

void http_server::time_out(connection& c)
{
    bool const slow = c.phase_ == phase::reading && c.began_;
    if (slow)
        return refuse(c, {408, {}, {}});
    close(c);
}

void http_server::close(connection& c)
{
    auto const known = connections_.find(c.id_);
    if (known == connections_.end())
        return;
    c.stream_->close();
    c.share_.reset();
    c.timer_.reset();
    closed_.push_back(std::move(known->second));
    connections_.erase(known);
    collect_.ask();
}

void http_server::collect()
{
    closed_.clear();
    if (drained_ && connections_.empty())
        std::exchange(drained_, {})();
}

std::size_t http_server::unwritten() const
{
    std::size_t bytes = 0;
    for (auto const& held : connections_)
        bytes += held.second->stream_->unwritten();
    return bytes;
}

void http_server::stop_accepting(std::function<void()> drained)
{
    closing_ = true;
    drained_ = std::move(drained);
    acceptable_.reset();
    if (listener_ >= 0)
        ::close(listener_);
    listener_ = -1;
    std::vector<connection*> idle;
    for (auto const& held : connections_)
    {
        connection& c = *held.second;
        // What is there but not read yet is still answered.
        if (c.phase_ == phase::reading && !c.began_ && !c.stream_->has_unread())
            idle.push_back(&c);
    }
    for (connection* c : idle)
        close(*c);
    collect_.ask();
}

} // namespace jackdawhall::loop
