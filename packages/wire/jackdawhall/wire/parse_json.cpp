#include <jackdawhall/wire/parse_json.hpp>

#include <algorithm>

namespace jackdawhall::wire
{

namespace
{

using nlohmann::json;

// Number of the exceptions that this file throws, as those of nlohmann have.
constexpr int bounds_error = 502;

struct json_extent
{
    std::size_t depth_ = 0;  // deepest nesting
    std::size_t values_ = 0; // at least as many as there are
};

// Returns the index of the quote that ends the string begun at `at`.
std::size_t skip_string(std::string const& text, std::size_t at)
{
    for (++at; at < text.size() && text[at] != '"'; ++at)
        at += text[at] == '\\' ? 1 : 0;
    return at;
}

json_extent measure(std::string const& text)
{
    json_extent e{0, 1};
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        switch (text[at])
        {
        case '"':
            at = skip_string(text, at);
            break;
        case '[':
        case '{':
            e.depth_ = std::max(e.depth_, ++depth);
            ++e.values_;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
            ++e.values_;
            break;
        default:
            break;
        }
    }
    return e;
}

} // namespace

json parse_json(std::string const& text)
{
    json_extent const e = measure(text);
    if (e.depth_ > max_json_depth)
        throw json::other_error::create(
            bounds_error,
            "the JSON is nested more than " + std::to_string(max_json_depth) +
                " levels deep",
            nullptr);
    if (e.values_ > max_json_values)
        throw json::other_error::create(
            bounds_error,
            "the JSON has more than " + std::to_string(max_json_values) +
                " values",
            nullptr);
    return json::parse(text);
}

leaf::result<json> try_parse_json(std::string const& text)
{
    try
    {
        return parse_json(text);
    }
    catch (json::exception const& e)
    {
        return leaf::new_error(user_error{e.what(), "send valid JSON"});
    }
}

} // namespace jackdawhall::wire
