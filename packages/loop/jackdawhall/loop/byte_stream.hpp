// A connected TCP socket on the main loop: bytes in and out without blocking.
// Whoever owns a stream keeps it until the loop's next round after it ended,
// since a stream may be in use by the handler that ends it.
#pragma once

#include <functional>
#include <string>

#include <glib-unix.h>
#include <jackdawhall/loop/gobject.hpp>
#include <jackdawhall/loop/socket_options.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

enum class stream_end
{
    finished, // the peer sent its last byte; it may still read
    broken    // the connection was reset or timed out
};

struct stream_handlers
{
    std::function<void()> received_; // input() has grown
    // A stream that is kept after the peer finished may still be written to;
    // it ends once more if it breaks.
    std::function<void(stream_end)> ended_;
    std::function<void()> written_; // everything written so far has been sent
};

// Opens a non-blocking socket and begins to connect it. Returns the
// descriptor, or -1.
int begin_connect(endpoint const& to);

// Says whether a connect that began has succeeded.
bool is_connected(int fd);

// Closes a descriptor; -1 is none.
void close_fd(int fd);

// Opens a listening socket. Fails with user_error that names `setting`.
leaf::result<int> open_listener(endpoint const& on, std::string const& setting);

// Calls `f` when `fd` has one of the conditions.
source_ptr
watch_fd(int fd, GIOCondition condition, GUnixFDSourceFunc f, gpointer data);

class byte_stream
{
public:
    // Takes the descriptor of a connected socket over. A peer that takes
    // nothing of what is sent for `stall_time` breaks the stream.
    byte_stream(
        int fd, stream_handlers handlers,
        duration stall_time = peer_stall_time);
    ~byte_stream();
    byte_stream(byte_stream const&) = delete;
    byte_stream& operator=(byte_stream const&) = delete;

    // Bytes received and not yet taken.
    std::string& input() { return in_; }

    void write(std::string bytes);
    std::size_t unwritten() const { return out_.size() - written_; }
    // Bytes that wait here or that the peer's kernel has not acknowledged.
    std::size_t unacknowledged() const;

    // Bytes of memory that input and output take.
    std::size_t allocated() const { return in_.capacity() + out_.capacity(); }

    // Stops and starts taking bytes in, so that a peer cannot fill memory.
    void read_more(bool wanted);

    // Ends the writing side; the peer may still send.
    void finish_writing();

    // Lets the peer see that the connection was broken off when it is closed.
    void reset();

    // Closes at once; no handler is called any more.
    void close();
    bool is_open() const { return fd_ >= 0; }

    // Says whether the peer sent or ended something that was not read yet.
    bool has_unread() const;

private:
    static gboolean readable(gint fd, GIOCondition condition, gpointer self);
    static gboolean writable(gint fd, GIOCondition condition, gpointer self);
    static gboolean broken(gint fd, GIOCondition condition, gpointer self);
    void receive();
    void flush();
    void finish_reading();
    void end(stream_end how);

    int fd_ = -1;
    bool peer_finished_ = false;
    stream_handlers handlers_;
    std::string in_;
    std::string out_;
    std::size_t written_ = 0; // of out_
    source_ptr readable_;
    source_ptr writable_;
};

} // namespace jackdawhall::loop
