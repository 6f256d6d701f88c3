#include <jackdawhall/model/name.hpp>

#include <algorithm>

namespace jackdawhall
{

namespace
{
bool is_name_character(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}
} // namespace

bool is_name(std::string_view text)
{
    return !text.empty() && text.size() <= max_name_characters &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

} // namespace jackdawhall
