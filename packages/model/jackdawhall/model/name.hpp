// Validated names. A name consists of 1 to 64 characters from a-z, 0-9, '-',
// '_' and '.'; its type states what it names.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>

#include <jackdawhall/model/error.hpp>

namespace jackdawhall
{

inline constexpr std::size_t max_name_characters = 64;

// Returns whether `text` is a valid name.
bool is_name(std::string_view text);

// Name of a `Tag`. Either valid, as made by make(), or empty, which names
// nothing.
template <class Tag>
class name
{
public:
    name() = default;

    // Fails with user_error if `text` is not a valid name.
    static leaf::result<name> make(std::string text)
    {
        if (!is_name(text))
        {
            return leaf::new_error(user_error{
                "'" + text.substr(0, max_name_characters) +
                    "' is not a valid name",
                "use 1 to 64 characters from a-z 0-9 - _ ."});
        }
        return name{std::move(text)};
    }

    std::string const& str() const { return text_; }
    bool empty() const { return text_.empty(); }
    auto operator<=>(name const&) const = default;

private:
    explicit name(std::string text) : text_(std::move(text)) {}

    std::string text_;
};

using host_name = name<struct host_tag>;
using zone_name = name<struct zone_tag>;
using region_name = name<struct region_tag>;
using account_name = name<struct account_tag>;
using key_name = name<struct key_tag>;
using service_name = name<struct service_tag>;
using route_name = name<struct route_tag>;

// Makes a name from a string literal. Throws std::invalid_argument if it is not
// a valid name.
template <class Name>
Name name_literal(char const* text)
{
    leaf::result<Name> made = Name::make(text);
    return made ? made.value() : throw std::invalid_argument(text);
}

} // namespace jackdawhall

template <class Tag>
struct std::hash<jackdawhall::name<Tag>>
{
    std::size_t operator()(jackdawhall::name<Tag> const& value) const noexcept
    {
        return std::hash<std::string>{}(value.str());
    }
};
