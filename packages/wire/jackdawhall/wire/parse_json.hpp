// JSON texts from outside the process, bounded before they are parsed: nlohmann
// copies and writes a value by one recursive call a level, and holds some
// hundred bytes for a value of one byte.
#pragma once

#include <string>

#include <nlohmann/json.hpp>

#include <jackdawhall/model.hpp>

namespace jackdawhall::wire
{

// Deepest nesting of arrays and objects.
inline constexpr std::size_t max_json_depth = 64;
// Most values of one text: about 100 MB when parsed.
inline constexpr std::size_t max_json_values = 1 << 20;

// Throws json::exception if the text is not JSON or exceeds the bounds.
nlohmann::json parse_json(std::string const& text);

// Fails with user_error instead.
leaf::result<nlohmann::json> try_parse_json(std::string const& text);

} // namespace jackdawhall::wire
