#include <jackdawhall/loop/frame_queue.hpp>

#include <algorithm>
#include <utility>

#include <jackdawhall/loop/peer_frames.hpp>

namespace jackdawhall::loop
{

namespace
{

std::size_t allocated_by(waiting_frame const& f)
{
    return sizeof f + f.bytes_.capacity();
}

void count_written(frame_queue& q, waiting_frame const& f)
{
    if (f.tag_ != 0)
        q.newest_written_ = std::max(q.newest_written_, f.tag_);
}

std::string message_of_frame(waiting_frame f)
{
    f.bytes_.erase(0, frame_header_bytes);
    return std::move(f.bytes_);
}

} // namespace

void add_frame(frame_queue& q, waiting_frame f)
{
    q.waiting_ += f.bytes_.size();
    q.allocated_ += allocated_by(f);
    q.frames_.push_back(std::move(f));
}

void take_written(frame_queue& q, std::size_t size)
{
    q.waiting_ -= size;
    q.written_ += size;
    while (!q.frames_.empty() && q.frames_.front().bytes_.size() <= q.written_)
    {
        waiting_frame const& whole = q.frames_.front();
        q.written_ -= whole.bytes_.size();
        q.allocated_ -= allocated_by(whole);
        count_written(q, whole);
        q.frames_.pop_front();
    }
}

std::vector<std::string> take_unwritten(frame_queue& q)
{
    std::vector<std::string> unwritten;
    bool begun = q.written_ > 0;
    for (waiting_frame& f : q.frames_)
    {
        if (!std::exchange(begun, false) && f.is_message_)
            unwritten.push_back(message_of_frame(std::move(f)));
        else
            count_written(q, f);
    }
    q.frames_.clear();
    q.written_ = q.waiting_ = q.allocated_ = 0;
    return unwritten;
}

std::optional<std::string> withdraw_largest(frame_queue& q, std::size_t least)
{
    auto const first =
        q.frames_.begin() + (q.written_ > 0 && !q.frames_.empty() ? 1 : 0);
    auto const largest = std::max_element(
        first, q.frames_.end(),
        [](waiting_frame const& a, waiting_frame const& b)
        {
            return std::pair{a.is_message_, a.bytes_.size()} <
                   std::pair{b.is_message_, b.bytes_.size()};
        });
    if (largest == q.frames_.end() || !largest->is_message_ ||
        largest->bytes_.size() < least)
        return std::nullopt;
    q.waiting_ -= largest->bytes_.size();
    q.allocated_ -= allocated_by(*largest);
    waiting_frame taken = std::move(*largest);
    q.frames_.erase(largest);
    return message_of_frame(std::move(taken));
}

} // namespace jackdawhall::loop
