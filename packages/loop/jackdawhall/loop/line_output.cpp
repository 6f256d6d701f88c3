#include <jackdawhall/loop/line_output.hpp>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

#include <glib-unix.h>
#include <poll.h>
#include <unistd.h>

namespace jackdawhall::loop
{

namespace
{

// A pipe that is writable takes so many bytes without blocking.
constexpr std::size_t unblocked_bytes = PIPE_BUF;

bool is_writable(int fd)
{
    pollfd asked{fd, POLLOUT, 0};
    return poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT) != 0;
}

} // namespace

line_output::line_output(int fd, std::size_t most_bytes)
    : fd_(fd), most_bytes_(most_bytes)
{
}

line_output::~line_output()
{
    flush();
}

bool line_output::write(std::string_view line)
{
    if (kept_bytes() + line.size() > most_bytes_)
    {
        ++left_out_;
        return false;
    }
    if (written_ >= most_bytes_)
        kept_.erase(0, std::exchange(written_, 0));
    kept_.append(line);
    if (!writable_)
        flush();
    return true;
}

// Writes what the descriptor takes at once.
void line_output::flush()
{
    while (kept_bytes() > 0)
    {
        if (!is_writable(fd_))
            return wait_until_writable();
        std::size_t const part = std::min(kept_bytes(), unblocked_bytes);
        ssize_t const taken = ::write(fd_, kept_.data() + written_, part);
        if (taken < 0 && (errno == EINTR || errno == EAGAIN))
            return wait_until_writable();
        if (taken < 0)
        {
            // Nobody can read it any more, and there is no other place to say
            // so than the count of lines left out.
            left_out_ += static_cast<std::uint64_t>(std::count(
                kept_.begin() + static_cast<std::ptrdiff_t>(written_),
                kept_.end(), '\n'));
            written_ = kept_.size();
            break;
        }
        written_ += static_cast<std::size_t>(taken);
    }
    kept_.clear();
    written_ = 0;
    writable_.reset();
}

void line_output::wait_until_writable()
{
    if (writable_)
        return;
    writable_.reset(g_unix_fd_source_new(fd_, G_IO_OUT));
    g_source_set_callback(
        writable_.get(),
        reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(
            +[](gint, GIOCondition, gpointer self) -> gboolean
            {
                static_cast<line_output*>(self)->flush();
                return static_cast<line_output*>(self)->writable_
                           ? G_SOURCE_CONTINUE
                           : G_SOURCE_REMOVE;
            })),
        this, nullptr);
    attach(writable_);
}

} // namespace jackdawhall::loop
