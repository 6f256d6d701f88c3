// Frames that wait to be written to a peer, and which of them hold messages, so
// that a link that breaks can tell what may have reached its peer and what
// surely has not. Each is kept once, as it is written. Not for users of the
// package.
#pragma once

#include <compare>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace jackdawhall::loop
{

struct waiting_frame
{
    std::string bytes_; // encoded
    std::uint64_t tag_ = 0;
    bool is_message_ = false;
    auto operator<=>(waiting_frame const&) const = default;
};

struct frame_queue
{
    std::deque<waiting_frame> frames_;
    std::size_t written_ = 0;          // bytes of the first frame
    std::size_t waiting_ = 0;          // bytes that are not written
    std::size_t allocated_ = 0;        // bytes of memory
    std::uint64_t newest_written_ = 0; // greatest tag; 0: none
    auto operator<=>(frame_queue const&) const = default;
};

void add_frame(frame_queue& q, waiting_frame f);

// The first `size` bytes that waited have been written.
void take_written(frame_queue& q, std::size_t size);

// Ends the queue: gives back the messages of which no byte was written, and
// counts those written in part among the written.
std::vector<std::string> take_unwritten(frame_queue& q);

// Takes the largest message of which no byte was written out of the queue, if
// it has `least` bytes.
std::optional<std::string> withdraw_largest(frame_queue& q, std::size_t least);

} // namespace jackdawhall::loop
