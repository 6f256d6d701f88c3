// Client account keys. A key is "jdh_<account>/<key name>/<secret>"; only a
// keyed hash of its secret is stored or sent between daemons (BLAKE2b keyed by
// a salt of its own), and hashes are compared in constant time.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include <jackdawhall/model/name.hpp>

namespace jackdawhall
{

// Parts of a key as its caller presents it. Never logged and never stored.
struct presented_key
{
    account_name account_;
    key_name key_;
    std::string secret_;
    auto operator<=>(presented_key const&) const = default;
};

// Secret bytes of a key, before they are written in hexadecimal.
inline constexpr std::size_t key_secret_bytes = 32;

// Writes the text of a key that its caller presents.
std::string format_key(presented_key const& key);

// Splits the text of a key; nothing if it is not one.
std::optional<presented_key> parse_key(std::string_view text);

// Keyed hash of a secret, in hexadecimal.
std::string hash_secret(std::string const& secret, std::string const& salt);

// Compares in a time that does not depend on where the texts differ.
bool equal_in_constant_time(std::string const& left, std::string const& right);

// Hash of a request's body, used to tell two requests under one idempotency
// key apart; 16 bytes in hexadecimal.
std::string fingerprint(std::string_view bytes);

} // namespace jackdawhall
