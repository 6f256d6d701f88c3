// Time-ordered identifiers, UUID version 7 of RFC 9562. An idempotency key is
// one, so that a ledger can refuse every key older than what it remembers.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <jackdawhall/model/random.hpp>
#include <jackdawhall/model/time.hpp>

namespace jackdawhall
{

// Wall-clock time inside a UUIDv7; nothing if `text` is not a UUIDv7 in its
// usual form (lower-case hexadecimal digits, 8-4-4-4-12).
std::optional<wall_time> uuid_time(std::string_view text);

// Makes a UUIDv7 for `now`.
std::string make_uuid(wall_time now, random_source& random);

} // namespace jackdawhall
