// Lines for a descriptor that may not take them now, such as a pipe whose
// reader does not read. A line is never waited for: it is kept, up to a bound,
// until the descriptor takes it; lines beyond the bound are left out and
// counted. Lines are never cut.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <jackdawhall/loop/gobject.hpp>

namespace jackdawhall::loop
{

class line_output
{
public:
    // Does not own `fd`. Keeps `most_bytes` at most.
    line_output(int fd, std::size_t most_bytes);
    ~line_output();
    line_output(line_output const&) = delete;
    line_output& operator=(line_output const&) = delete;

    // Takes a line with its end. False if it was left out.
    bool write(std::string_view line);

    std::uint64_t left_out() const { return left_out_; }
    std::size_t kept_bytes() const { return kept_.size() - written_; }

private:
    void flush();
    void wait_until_writable();

    int fd_;
    std::size_t most_bytes_;
    std::string kept_;
    std::size_t written_ = 0; // of kept_
    std::uint64_t left_out_ = 0;
    source_ptr writable_; // set while lines are kept
};

} // namespace jackdawhall::loop
