// Time-ordered identifiers, UUID version 7 of RFC 9562. Idempotency keys have
// this form so that a ledger can refuse every key older than its retention
// period.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <jackdawhall/model/random.hpp>
#include <jackdawhall/model/time.hpp>

namespace jackdawhall
{

// Returns the wall-clock time in a UUIDv7, or nullopt if `text` is not a UUIDv7
// in canonical form (lower-case hexadecimal digits, 8-4-4-4-12).
std::optional<wall_time> uuid_time(std::string_view text);

// Makes a UUIDv7 with the timestamp `now`.
std::string make_uuid(wall_time now, random_source& random);

} // namespace jackdawhall
