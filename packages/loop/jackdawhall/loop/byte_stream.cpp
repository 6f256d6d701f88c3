#include <jackdawhall/loop/byte_stream.hpp>

#include <array>
#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jackdawhall::loop
{

namespace
{

constexpr std::size_t read_bytes = 16 << 10;
constexpr int listen_backlog = 1024;
// Memory of this size is kept for the next bytes of a stream; more is freed as
// soon as it is empty.
constexpr std::size_t kept_bytes = 4 << 10;

void free_if_empty(std::string& bytes)
{
    if (bytes.empty() && bytes.capacity() > kept_bytes)
        std::string().swap(bytes);
}

sockaddr_in to_socket_address(endpoint const& e)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(e.port_);
    inet_pton(AF_INET, e.address_.c_str(), &address.sin_addr);
    return address;
}

} // namespace

int begin_connect(endpoint const& to)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -1;
    set_socket_options(fd);
    sockaddr_in const address = to_socket_address(to);
    int const done = connect(
        fd, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    if (done == 0 || errno == EINPROGRESS)
        return fd;
    close(fd);
    return -1;
}

bool is_connected(int fd)
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
           error == 0;
}

void close_fd(int fd)
{
    if (fd >= 0)
        close(fd);
}

leaf::result<int> open_listener(endpoint const& on, std::string const& setting)
{
    int const fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const yes = 1;
    if (fd >= 0)
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in const address = to_socket_address(on);
    bool const listens =
        fd >= 0 &&
        bind(fd, reinterpret_cast<sockaddr const*>(&address), sizeof address) ==
            0 &&
        listen(fd, listen_backlog) == 0;
    if (listens)
        return fd;
    std::string const why = std::strerror(errno);
    if (fd >= 0)
        close(fd);
    return leaf::new_error(user_error{
        "cannot listen on " + on.address_ + ":" + std::to_string(on.port_) +
            ": " + why,
        "free the port, or change " + setting});
}

source_ptr
watch_fd(int fd, GIOCondition condition, GUnixFDSourceFunc f, gpointer data)
{
    source_ptr source(g_unix_fd_source_new(fd, condition));
    g_source_set_callback(source.get(), G_SOURCE_FUNC(f), data, nullptr);
    attach(source);
    return source;
}

byte_stream::byte_stream(int fd, stream_handlers handlers, duration stall_time)
    : fd_(fd), handlers_(std::move(handlers))
{
    set_socket_options(fd_, stall_time);
    read_more(true);
}

byte_stream::~byte_stream()
{
    close();
}

void byte_stream::close()
{
    readable_.reset();
    writable_.reset();
    if (fd_ >= 0)
        ::close(fd_);
    fd_ = -1;
}

void byte_stream::reset()
{
    linger const at_once{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

void byte_stream::read_more(bool wanted)
{
    if (peer_finished_)
        return;
    if (!wanted)
        return readable_.reset();
    if (!readable_ && fd_ >= 0)
        readable_ = watch_fd(fd_, G_IO_IN, readable, this);
}

bool byte_stream::has_unread() const
{
    pollfd probe{fd_, POLLIN, 0};
    return !in_.empty() || poll(&probe, 1, 0) != 0;
}

void byte_stream::end(stream_end how)
{
    readable_.reset();
    writable_.reset();
    handlers_.ended_(how);
}

gboolean byte_stream::readable(gint, GIOCondition, gpointer self)
{
    static_cast<byte_stream*>(self)->receive();
    return G_SOURCE_CONTINUE;
}

// One read at a time: requests that came together are taken from the front of
// the input, and what is left moves up each time.
void byte_stream::receive()
{
    static std::array<char, read_bytes> chunk;
    ssize_t const n = recv(fd_, chunk.data(), chunk.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n == 0)
        return finish_reading();
    if (n < 0)
        return end(stream_end::broken);
    in_.append(chunk.data(), static_cast<std::size_t>(n));
    handlers_.received_();
    free_if_empty(in_);
}

// The end of input is readable for ever: from now on the loop waits only for
// the stream to break.
void byte_stream::finish_reading()
{
    peer_finished_ = true;
    readable_ = watch_fd(
        fd_, static_cast<GIOCondition>(G_IO_ERR | G_IO_HUP), broken, this);
    handlers_.ended_(stream_end::finished);
}

gboolean byte_stream::broken(gint, GIOCondition, gpointer self)
{
    static_cast<byte_stream*>(self)->end(stream_end::broken);
    return G_SOURCE_CONTINUE;
}

void byte_stream::write(std::string bytes)
{
    if (!out_.empty())
    {
        out_ += bytes;
        return;
    }
    out_ = std::move(bytes);
    flush();
}

gboolean byte_stream::writable(gint, GIOCondition, gpointer self)
{
    static_cast<byte_stream*>(self)->flush();
    return G_SOURCE_CONTINUE;
}

void byte_stream::flush()
{
    while (written_ < out_.size())
    {
        ssize_t const n = ::send(
            fd_, out_.data() + written_, out_.size() - written_, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR || errno == ENOTCONN))
            break;
        if (n < 0)
            return end(stream_end::broken);
        written_ += static_cast<std::size_t>(n);
    }
    if (written_ == out_.size())
    {
        out_.clear();
        written_ = 0;
        free_if_empty(out_);
        writable_.reset();
        if (handlers_.written_)
            handlers_.written_();
    }
    else if (!writable_)
        writable_ = watch_fd(
            fd_, static_cast<GIOCondition>(G_IO_OUT | G_IO_ERR | G_IO_HUP),
            writable, this);
}

std::size_t byte_stream::unacknowledged() const
{
    int in_kernel = 0;
    if (ioctl(fd_, SIOCOUTQ, &in_kernel) != 0)
        in_kernel = 0;
    return unwritten() + static_cast<std::size_t>(in_kernel);
}

void byte_stream::finish_writing()
{
    if (fd_ >= 0)
        shutdown(fd_, SHUT_WR);
}

} // namespace jackdawhall::loop
