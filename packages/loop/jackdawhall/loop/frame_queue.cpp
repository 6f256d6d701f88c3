#include <jackdawhall/loop/frame_queue.hpp>

#include <algorithm>
#include <utility>

namespace jackdawhall::loop
{

void add_frame(
    frame_queue& q, std::string const& bytes, std::string message,
    std::uint64_t tag)
{
    q.queued_ += bytes.size();
    q.frames_.push_back({q.queued_, bytes.size(), tag, std::move(message)});
    q.out_ += bytes;
}

void take_written(frame_queue& q, std::size_t size)
{
    q.out_.erase(0, size);
    q.written_ += size;
    while (!q.frames_.empty() && q.frames_.front().end_ <= q.written_)
    {
        if (q.frames_.front().tag_ != 0)
            q.newest_written_ =
                std::max(q.newest_written_, q.frames_.front().tag_);
        q.frames_.pop_front();
    }
}

std::vector<std::string> take_unwritten(frame_queue& q)
{
    std::vector<std::string> unwritten;
    for (waiting_frame& f : q.frames_)
    {
        if (f.end_ - f.size_ >= q.written_ && !f.message_.empty())
            unwritten.push_back(std::move(f.message_));
        else if (f.tag_ != 0)
            q.newest_written_ = std::max(q.newest_written_, f.tag_);
    }
    q.frames_.clear();
    return unwritten;
}

} // namespace jackdawhall::loop
