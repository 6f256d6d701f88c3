// Values of the flags that commands use.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <jackdawhall/model.hpp>

namespace jackdawhall::ctl
{

struct options
{
    bool json_ = false; // output
    std::string operation_id_;
    std::string author_;
    std::optional<revision> expected_; // instead of the revision read
    bool dry_run_ = false;
    bool wait_ = false; // until the change is in force everywhere
    std::string file_;
    std::optional<double> rate_; // requests per second
    std::optional<std::int64_t> burst_;
    std::optional<std::int64_t> retry_percent_;
    std::uint32_t schema_ = 1;
    std::string method_;
    std::string path_;
    std::string service_;
    std::optional<std::int64_t> rank_;
    bool open_ = false;
    bool repeatable_ = false;
    std::int64_t timeout_ms_ = 1000;
};

} // namespace jackdawhall::ctl
