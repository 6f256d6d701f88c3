// Structured logs by spdlog, on standard output. Each line is a short sentence
// with the prefix of its part; fields follow it. Never a key or a ticket.
//
// Lines never wait for their reader, and those of one sentence have a budget,
// so that a failure of many requests does not fill the log. What is left out is
// counted, in the next line of the sentence and in the metrics.
#pragma once

#include <cstdint>
#include <string>

#include <jackdawhall/model.hpp>
#include <jackdawhall/settings.hpp>

namespace jackdawhall::daemon
{

enum class part
{
    daemon,
    calls,
    control,
    peers,
    operators
};

enum class severity
{
    debug,
    info,
    warn,
    error
};

// Lines of one sentence.
struct line_rate
{
    int per_s_ = 1;
    int burst_ = 1;
    auto operator<=>(line_rate const&) const = default;
};
inline constexpr line_rate usual_rate{10, 40};
// For what happens to most requests: a sample.
inline constexpr line_rate sample_rate{1, 1};
// A longer line loses the end of its longest fields.
inline constexpr std::size_t max_field_bytes = 512;
// Lines that wait for their reader.
inline constexpr std::size_t max_waiting_bytes = 256 << 10;

// What is left of a budget.
struct line_budget
{
    instant full_at_;            // when nothing of it is spent any more
    std::uint64_t left_out_ = 0; // since the last line
    auto operator<=>(line_budget const&) const = default;
};

struct budget_step
{
    line_budget budget_;
    bool taken_ = false;
    auto operator<=>(budget_step const&) const = default;
};

// Takes one line from the budget, or counts it as left out.
budget_step take_line(line_budget b, line_rate rate, instant now);

struct log_counts
{
    std::uint64_t written_ = 0;
    std::uint64_t over_budget_ = 0;    // left out
    std::uint64_t reader_stalled_ = 0; // left out
    auto operator<=>(log_counts const&) const = default;
};

void set_up_log(settings::daemon_settings const& s);

// Says whether a line of this sentence may be written now, and takes it from
// the budget: for lines whose fields are costly to make.
bool may_log(
    instant now, std::string const& sentence, line_rate rate = usual_rate);

// Writes a line that may_log() allowed.
void write_line(
    severity level, part from, std::string const& sentence,
    log_fields const& fields);

// Both.
void log(
    instant now, severity level, part from, std::string const& sentence,
    log_fields const& fields = {});

log_counts count_log_lines();

} // namespace jackdawhall::daemon
