// Verdicts as HTTP answers; docs/CALLING.md.
#pragma once

#include <string>

#include <jackdawhall/model.hpp>

namespace jackdawhall::daemon
{

answer to_http(verdict v, std::string const& request_id);

answer json_answer(std::uint16_t status, std::string body);

} // namespace jackdawhall::daemon
