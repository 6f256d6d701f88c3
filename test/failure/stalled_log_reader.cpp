// A log whose reader does not read never holds the program up: lines are kept
// up to a bound, then left out and counted, and none is cut.
#include <array>
#include <string>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <glib.h>
#include <jackdawhall/daemon/log.hpp>
#include <jackdawhall/loop.hpp>
#include <unistd.h>

namespace
{

using namespace jackdawhall;

constexpr std::size_t most_kept_bytes = 64 << 10;

struct pipe_ends
{
    int read_ = -1;
    int write_ = -1;
};

pipe_ends make_pipe()
{
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    REQUIRE(fcntl(ends.at(0), F_SETFL, O_NONBLOCK) == 0);
    return {ends.at(0), ends.at(1)};
}

std::string read_all(int fd)
{
    std::string text;
    std::array<char, 4096> buffer{};
    for (ssize_t n = read(fd, buffer.data(), buffer.size()); n > 0;
         n = read(fd, buffer.data(), buffer.size()))
        text.append(buffer.data(), static_cast<std::size_t>(n));
    return text;
}

// Reads, and lets the output go on, until nothing more comes.
std::string drain(int fd)
{
    std::string text;
    for (std::string part = read_all(fd); !part.empty(); part = read_all(fd))
    {
        text += part;
        while (g_main_context_iteration(nullptr, FALSE))
        {
        }
    }
    return text;
}

std::string numbered(int i)
{
    return std::string(150, 'x') + std::to_string(i) + "\n";
}

} // namespace

TEST_CASE("a reader that does not read holds nothing up and costs no memory")
{
    pipe_ends const ends = make_pipe();
    loop::line_output output(ends.write_, most_kept_bytes);
    constexpr int lines = 10000;
    int taken = 0;
    // The pipe takes 64 KiB: with a write that waits this would never end.
    for (int i = 0; i < lines; ++i)
        taken += output.write(numbered(i)) ? 1 : 0;
    CHECK(taken < lines);
    CHECK(output.left_out() == static_cast<std::uint64_t>(lines - taken));
    CHECK(output.kept_bytes() <= most_kept_bytes);

    std::string expected;
    for (int i = 0; i < taken; ++i)
        expected += numbered(i);
    CHECK(drain(ends.read_) == expected);
    CHECK(output.kept_bytes() == 0);

    // The reader is back: lines come as before.
    CHECK(output.write("again\n"));
    CHECK(drain(ends.read_) == "again\n");
    close(ends.read_);
    close(ends.write_);
}

TEST_CASE("a reader that has gone costs its lines only")
{
    pipe_ends const ends = make_pipe();
    loop::event_loop const ignores_broken_pipes;
    loop::line_output output(ends.write_, most_kept_bytes);
    close(ends.read_);
    output.write("one\n");
    output.write("two\n");
    CHECK(output.left_out() == 2);
    CHECK(output.kept_bytes() == 0);
    close(ends.write_);
}

TEST_CASE("lines of one sentence keep to their rate, and count what they miss")
{
    instant const start{std::chrono::hours(1)};
    daemon::line_budget budget;
    std::uint64_t taken = 0;
    // Ten times the rate, for ten seconds.
    constexpr int seconds = 10;
    int const offered = daemon::usual_rate.per_s_ * 10 * seconds;
    for (int i = 0; i < offered; ++i)
    {
        duration const at =
            duration(std::chrono::seconds(seconds)) * i / offered;
        daemon::budget_step const step =
            daemon::take_line(budget, daemon::usual_rate, start + at);
        budget = step.budget_;
        taken += step.taken_ ? 1 : 0;
    }
    int const most =
        daemon::usual_rate.burst_ + daemon::usual_rate.per_s_ * seconds;
    CHECK(taken <= static_cast<std::uint64_t>(most));
    CHECK(taken >= static_cast<std::uint64_t>(most - 2));
    CHECK(taken + budget.left_out_ == static_cast<std::uint64_t>(offered));
}
