// A faulty backend server on one address: its answers never end, in one of
// several forms, or end after a large body. It holds one part of an answer for
// each connection and announces nothing.
// Usage: endless_backend IP PORT chunked|unbounded|unfinished|large
#include <cstdlib>
#include <iostream>
#include <limits>
#include <list>
#include <map>
#include <optional>
#include <string>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/later.hpp>
#include <sys/socket.h>

namespace
{

using namespace jackdawhall::loop;

constexpr std::size_t part_bytes = 50000;
constexpr std::size_t no_end = std::numeric_limits<std::size_t>::max();

// What each request is answered with: a head, and a part that is repeated.
struct answer_form
{
    std::string head_;
    std::string part_;
    std::size_t parts_ = no_end;
    auto operator<=>(answer_form const&) const = default;
};

std::optional<answer_form> find_form(std::string const& name)
{
    std::string const ok = "HTTP/1.1 200 OK\r\n";
    std::string const part(part_bytes, 'x');
    // 140 parts are a whole answer of 7 MB; 166 are not all of 8,388,608 bytes.
    std::map<std::string, answer_form> const forms{
        {"chunked",
         {ok + "Transfer-Encoding: chunked\r\n\r\n", "c350\r\n" + part + "\r\n",
          no_end}},
        {"unbounded", {ok + "\r\n", part, no_end}},
        {"unfinished", {ok + "Content-Length: 8388608\r\n\r\n", part, 166}},
        {"large", {ok + "Content-Length: 7000000\r\n\r\n", part, 140}}};
    auto const found = forms.find(name);
    if (found == forms.end())
        return std::nullopt;
    return found->second;
}

// A connection; its answer goes on whenever the last part was sent.
class served
{
public:
    served(int fd, answer_form const& form)
        : form_(form), stream_(
                           fd, {[this] { take_request(); },
                                [this](stream_end) { ended_ = true; },
                                [this] { next_.ask(); }})
    {
    }

    bool ended() const { return ended_; }

private:
    void take_request()
    {
        if (stream_.input().find("\r\n\r\n") == std::string::npos)
            return;
        stream_.input().clear();
        left_ = form_.parts_;
        stream_.write(form_.head_);
    }

    void write_part()
    {
        if (ended_ || left_ == 0 || stream_.unwritten() > 0)
            return;
        if (left_ != no_end)
            --left_;
        stream_.write(form_.part_);
    }

    answer_form const& form_;
    std::size_t left_ = 0;
    bool ended_ = false;
    later next_{[this] { write_part(); }};
    byte_stream stream_;
};

struct server
{
    answer_form form_;
    std::list<served> served_;
};

gboolean accept_one(gint listener, GIOCondition, gpointer data)
{
    server& s = *static_cast<server*>(data);
    s.served_.remove_if([](served const& each) { return each.ended(); });
    int const fd =
        accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0)
        s.served_.emplace_back(fd, s.form_);
    return G_SOURCE_CONTINUE;
}

} // namespace

int main(int argc, char** argv)
{
    std::optional<answer_form> const form =
        argc == 4 ? find_form(argv[3]) : std::nullopt;
    if (!form)
    {
        std::cerr << "endless_backend IP PORT "
                     "chunked|unbounded|unfinished|large\n";
        return EXIT_FAILURE;
    }
    event_loop loop;
    auto const port = static_cast<std::uint16_t>(std::atoi(argv[2]));
    jackdawhall::leaf::result<int> const listener =
        open_listener({argv[1], port}, "PORT");
    if (!listener)
        return EXIT_FAILURE;
    server all{*form, {}};
    source_ptr const acceptable =
        watch_fd(listener.value(), G_IO_IN, accept_one, &all);
    loop.on_stop_signal([&] { loop.quit(); });
    loop.run();
    return EXIT_SUCCESS;
}
