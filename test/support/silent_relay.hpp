// Relays TCP connections to one address on a thread of its own. From
// fall_silent() on, the connections that are open carry nothing more, and new
// ones work. From drop_packets() on, what is sent on those that are open is not
// even acknowledged.
#pragma once

#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>
#include <vector>

#include <jackdawhall/loop/byte_stream.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::test
{

class silent_relay
{
public:
    explicit silent_relay(endpoint target)
        : target_(std::move(target)),
          listener_(loop::open_listener({"127.0.0.1", 0}, "relay").value()),
          thread_([this] { run(); })
    {
    }
    ~silent_relay()
    {
        ended_ = true;
        thread_.join();
        for (pair const& p : pairs_)
        {
            ::close(p.caller_);
            ::close(p.target_);
        }
        ::close(listener_);
    }

    endpoint address() const
    {
        sockaddr_in at{};
        socklen_t size = sizeof at;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
        return {"127.0.0.1", ntohs(at.sin_port)};
    }

    void fall_silent() { silence_ = true; }
    void drop_packets()
    {
        drops_ = true;
        silence_ = true;
    }
    int connections() const { return connections_; }

private:
    struct pair
    {
        int caller_ = -1;
        int target_ = -1;
        bool silent_ = false;
    };

    void accept_one()
    {
        int const caller = ::accept(listener_, nullptr, nullptr);
        if (caller < 0)
            return;
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(target_.port_);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        int const target = ::socket(AF_INET, SOCK_STREAM, 0);
        ::connect(target, reinterpret_cast<sockaddr*>(&to), sizeof to);
        pairs_.push_back({caller, target, false});
        ++connections_;
    }

    // The kernel drops all packets that come to this end.
    static void deafen(int fd)
    {
        sock_filter take_nothing = BPF_STMT(BPF_RET | BPF_K, 0);
        sock_fprog const program{1, &take_nothing};
        ::setsockopt(
            fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
    }

    void silence(pair& p) const
    {
        p.silent_ = true;
        if (!drops_)
            return;
        deafen(p.caller_);
        deafen(p.target_);
    }

    static void pass(int from, int to)
    {
        char bytes[4096];
        ssize_t const n = ::recv(from, bytes, sizeof bytes, MSG_DONTWAIT);
        if (n > 0)
            ::send(to, bytes, static_cast<std::size_t>(n), MSG_NOSIGNAL);
        if (n == 0)
            ::shutdown(to, SHUT_WR);
    }

    void run()
    {
        while (!ended_)
        {
            pollfd wait{listener_, POLLIN, 0};
            if (::poll(&wait, 1, 2) > 0)
                accept_one();
            bool const asked = silence_.exchange(false);
            for (pair& p : pairs_)
            {
                if (asked)
                    silence(p);
                if (p.silent_)
                    continue;
                pass(p.caller_, p.target_);
                pass(p.target_, p.caller_);
            }
        }
    }

    endpoint target_;
    int listener_;
    std::vector<pair> pairs_;
    std::atomic<bool> ended_{false};
    std::atomic<bool> silence_{false};
    std::atomic<bool> drops_{false};
    std::atomic<int> connections_{0};
    std::thread thread_;
};

} // namespace jackdawhall::test
