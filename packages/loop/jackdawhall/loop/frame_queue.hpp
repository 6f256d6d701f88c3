// Bytes that wait to be written to a peer, and which messages they hold, so
// that a link that breaks can tell what may have reached its peer and what
// surely has not. Not for users of the package.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace jackdawhall::loop
{

// A frame that waits, by its place in the stream of the link.
struct waiting_frame
{
    std::uint64_t end_ = 0; // offset in the stream
    std::uint64_t size_ = 0;
    std::uint64_t tag_ = 0;
    std::string message_; // kept to give it back; empty if no message
    auto operator<=>(waiting_frame const&) const = default;
};

struct frame_queue
{
    std::string out_;
    std::deque<waiting_frame> frames_;
    std::uint64_t written_ = 0; // bytes of the stream
    std::uint64_t queued_ = 0;
    std::uint64_t newest_written_ = 0; // greatest tag; 0: none
    auto operator<=>(frame_queue const&) const = default;
};

void add_frame(
    frame_queue& q, std::string const& bytes, std::string message,
    std::uint64_t tag);

// The first `size` bytes that waited have been written.
void take_written(frame_queue& q, std::size_t size);

// Ends the queue: gives back the messages of which no byte was written, and
// counts those written in part among the written.
std::vector<std::string> take_unwritten(frame_queue& q);

} // namespace jackdawhall::loop
