#include <jackdawhall/daemon/log.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>
#include <utility>

#include <jackdawhall/loop.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace jackdawhall::daemon
{

namespace
{

struct log_state
{
    std::string host_;
    bool json_ = false;
    std::map<std::string, line_budget> budgets_; // by sentence
    log_counts counts_;
    std::ostringstream formatted_; // lines that spdlog has finished
    loop::line_output output_{STDOUT_FILENO, max_waiting_bytes};
};

log_state& current()
{
    static log_state state;
    return state;
}

char const* prefix_of(part from)
{
    switch (from)
    {
    case part::daemon:
        return "daemon";
    case part::calls:
        return "calls";
    case part::control:
        return "control";
    case part::peers:
        return "peers";
    case part::operators:
        return "operators";
    }
    return "daemon";
}

spdlog::level::level_enum level_of(severity level)
{
    switch (level)
    {
    case severity::debug:
        return spdlog::level::debug;
    case severity::info:
        return spdlog::level::info;
    case severity::warn:
        return spdlog::level::warn;
    case severity::error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

std::string as_json(
    severity level, part from, std::string const& sentence,
    log_fields const& fields)
{
    nlohmann::json line{
        {"level", spdlog::level::to_string_view(level_of(level)).data()},
        {"host", current().host_},
        {"part", prefix_of(from)},
        {"message", sentence}};
    for (auto const& [name, value] : fields)
        line[name] = value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string
as_text(part from, std::string const& sentence, log_fields const& fields)
{
    std::string line = std::string(prefix_of(from)) + ": " + sentence;
    for (auto const& [name, value] : fields)
        line.append(" ").append(name).append("=").append(value);
    return line;
}

} // namespace

budget_step take_line(line_budget b, line_rate rate, instant now)
{
    duration const a_line = duration(std::chrono::seconds(1)) / rate.per_s_;
    instant const full = std::max(b.full_at_, now) + a_line;
    if (full - now > a_line * rate.burst_)
    {
        ++b.left_out_;
        return {b, false};
    }
    b.full_at_ = full;
    return {b, true};
}

void set_up_log(settings::daemon_settings const& s)
{
    current().host_ = s.host_.str();
    current().json_ = s.log_format_ == settings::log_format::json;
    auto logger = std::make_shared<spdlog::logger>(
        "main",
        std::make_shared<spdlog::sinks::ostream_sink_st>(current().formatted_));
    logger->set_level(spdlog::level::from_str(s.log_level_));
    logger->set_pattern(
        current().json_ ? "%v"
                        : "%Y-%m-%dT%H:%M:%S.%e %l " + s.host_.str() + " %v");
    spdlog::set_default_logger(std::move(logger));
}

bool may_log(instant now, std::string const& sentence, line_rate rate)
{
    line_budget& known = current().budgets_[sentence];
    budget_step const step = take_line(known, rate, now);
    known = step.budget_;
    current().counts_.over_budget_ += step.taken_ ? 0 : 1;
    return step.taken_;
}

void write_line(
    severity level, part from, std::string const& sentence,
    log_fields const& fields)
{
    if (!spdlog::should_log(level_of(level)))
        return;
    log_fields all = fields;
    for (auto& field : all)
        field.second.resize(std::min(field.second.size(), max_field_bytes));
    std::uint64_t const left_out =
        std::exchange(current().budgets_[sentence].left_out_, 0);
    if (left_out > 0)
        all.emplace_back("left_out", std::to_string(left_out));
    std::string const line = current().json_
                                 ? as_json(level, from, sentence, all)
                                 : as_text(from, sentence, all);
    ++current().counts_.written_;
    spdlog::log(level_of(level), "{}", line);
    current().output_.write(std::exchange(current().formatted_, {}).str());
}

void log(
    instant now, severity level, part from, std::string const& sentence,
    log_fields const& fields)
{
    if (spdlog::should_log(level_of(level)) && may_log(now, sentence))
        write_line(level, from, sentence, fields);
}

log_counts count_log_lines()
{
    log_counts counts = current().counts_;
    counts.reader_stalled_ = current().output_.left_out();
    return counts;
}

} // namespace jackdawhall::daemon
