// Records and outcomes as operators read and write them.
#pragma once

#include <nlohmann/json.hpp>

#include <jackdawhall/model.hpp>

namespace jackdawhall::wire
{

using json = nlohmann::json;

// {"kind", "name", "schema", "revision", and the fields of the body}. The hash
// of a key is left out.
json to_json(record const& r);

// Key and body from {"kind", "name", "schema", fields}. Fails with user_error
// for an unknown kind, schema or field, and for a value of the wrong type.
leaf::result<std::pair<record_key, record_body>>
record_from_json(json const& value);

json to_json(change const& c);
leaf::result<change> change_from_json(json const& value);

// {"outcome": "accepted" | "conflict" | "rejected" | "unknown", ...}
json to_json(change_outcome const& outcome);
leaf::result<change_outcome> outcome_from_json(json const& value);

json to_json(history_entry const& past);

} // namespace jackdawhall::wire
