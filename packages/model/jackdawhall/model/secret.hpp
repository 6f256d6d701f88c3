// Client account keys of the form "jdh_<account>/<key name>/<secret>" (key_v1).
// Only a hash of the secret is stored or sent between daemons: BLAKE2b, keyed
// with a salt that differs for each client account key. Hashes are compared in
// constant time.
#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include <jackdawhall/model/name.hpp>

namespace jackdawhall
{

// Parts of a key as presented by a caller. Must never be logged or stored.
struct presented_key
{
    account_name account_;
    key_name key_;
    std::string secret_;
    auto operator<=>(presented_key const&) const = default;
};

// Size of the secret of a key in bytes, before hexadecimal encoding.
inline constexpr std::size_t key_secret_bytes = 32;

// Formats a key as a caller presents it.
std::string format_key(presented_key const& key);

// Parses the text of a key; returns nullopt if it is malformed.
std::optional<presented_key> parse_key(std::string_view text);

// Returns the BLAKE2b hash of a secret, keyed with `salt`, in hexadecimal.
std::string hash_secret(std::string const& secret, std::string const& salt);

// Compares in time that does not depend on where the strings differ.
bool equal_in_constant_time(std::string const& left, std::string const& right);

// Unkeyed BLAKE2b hash that identifies a text: a request (to tell apart two
// requests with the same idempotency key and to attribute crashes), a key
// chosen by the operator, or a document; 16 bytes in hexadecimal.
std::string fingerprint(std::string_view bytes);

} // namespace jackdawhall
