// A backend server on a loopback address that answers with given texts, and
// requests to it, one after the other.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/loop/timer.hpp>

namespace jackdawhall::test
{

// One of the texts that a connection's requests are answered with; `endless_`
// follows it part by part until the caller closes.
struct script
{
    std::string text_;
    std::string endless_;
    bool ends_ = false; // the connection ends after it
};

class scripted_server
{
public:
    explicit scripted_server(std::vector<script> answers)
        : answers_(std::move(answers))
    {
        listener_ = loop::open_listener({"127.0.0.1", 0}, "test").value();
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        acceptable_ = loop::watch_fd(
            listener_, G_IO_IN,
            [](gint fd, GIOCondition, gpointer self) -> gboolean
            {
                int const accepted =
                    accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
                static_cast<scripted_server*>(self)->serve(accepted);
                return G_SOURCE_CONTINUE;
            },
            this);
    }
    ~scripted_server() { loop::close_fd(listener_); }
    scripted_server(scripted_server const&) = delete;
    scripted_server& operator=(scripted_server const&) = delete;

    std::uint16_t port() const { return port_; }
    std::size_t connections() const { return served_.size(); }

private:
    struct served
    {
        std::unique_ptr<loop::byte_stream> stream_;
        std::string endless_;
        loop::timer_ptr next_;
        bool ended_ = false;
    };

    void serve(int fd)
    {
        served& s = *served_.emplace_back(std::make_unique<served>());
        s.next_ = loop::make_timer([this, &s] { write_endless(s); });
        s.stream_ = std::make_unique<loop::byte_stream>(
            fd,
            loop::stream_handlers{
                [this, &s] { answer(s); },
                [&s](loop::stream_end) { s.ended_ = true; },
                {}});
    }

    void answer(served& s)
    {
        if (s.stream_->input().find("\r\n\r\n") == std::string::npos)
            return;
        s.stream_->input().clear();
        script const& next =
            answers_.at(std::min(answered_++, answers_.size() - 1));
        s.stream_->write(next.text_);
        if (next.ends_)
            s.stream_->finish_writing();
        s.endless_ = next.endless_;
        if (!s.endless_.empty())
            loop::set_timer_due(s.next_, loop::read_clocks().now_);
    }

    void write_endless(served& s)
    {
        if (s.ended_)
            return;
        if (s.stream_->unwritten() == 0)
            s.stream_->write(s.endless_);
        loop::set_timer_due(s.next_, loop::read_clocks().now_);
    }

    std::vector<script> answers_;
    std::size_t answered_ = 0;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    loop::source_ptr acceptable_;
    std::vector<std::unique_ptr<served>> served_;
};

} // namespace jackdawhall::test
