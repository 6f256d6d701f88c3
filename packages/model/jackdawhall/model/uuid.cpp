#include <jackdawhall/model/uuid.hpp>

#include <cstdio>

namespace jackdawhall
{

namespace
{

constexpr std::size_t uuid_characters = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;

bool is_dash_position(std::size_t i)
{
    return i == 8 || i == 13 || i == 18 || i == 23;
}

// Returns -1 if `c` is not a lower-case hexadecimal digit.
int hex_value(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

bool is_uuid(std::string_view text)
{
    if (text.size() != uuid_characters)
        return false;
    for (std::size_t i = 0; i < uuid_characters; ++i)
    {
        bool const valid =
            is_dash_position(i) ? text[i] == '-' : hex_value(text[i]) >= 0;
        if (!valid)
            return false;
    }
    return true;
}

} // namespace

std::optional<wall_time> uuid_time(std::string_view text)
{
    // The variant of RFC 9562 has the two high bits 10.
    if (!is_uuid(text) || text[version_position] != '7' ||
        (hex_value(text[variant_position]) & 0xc) != 0x8)
        return std::nullopt;
    // The first 12 digits are the timestamp; a dash stands among them.
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < 13; ++i)
    {
        if (!is_dash_position(i))
            milliseconds = milliseconds * 16 + hex_value(text[i]);
    }
    return wall_time{std::chrono::milliseconds{milliseconds}};
}

std::string make_uuid(wall_time now, random_source& random)
{
    auto const milliseconds =
        static_cast<unsigned long long>(now.time_since_epoch().count());
    unsigned long long const last_group = random.next();
    char text[uuid_characters + 1];
    std::snprintf(
        text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx",
        (milliseconds >> 16) & 0xffffffffULL, milliseconds & 0xffffULL,
        random.next() & 0xfffULL, 0x8000ULL | (random.next() & 0x3fffULL),
        last_group & 0xffffffffffffULL);
    return text;
}

} // namespace jackdawhall
