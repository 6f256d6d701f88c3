// Thrift's compact protocol, used as a codec only. A struct is a Thrift struct
// whose fields are numbered from 1 in the order of fields.hpp, and a variant is
// a Thrift union; fields that a program does not know are skipped, and fields
// that are missing keep their defaults. So fields are only ever added, at the
// end.
#pragma once

#include <string>

#include <jackdawhall/control.hpp>
#include <jackdawhall/model.hpp>

namespace jackdawhall::wire
{

// Largest frame between two daemons.
inline constexpr std::size_t max_message_bytes = 64 << 20;

std::string encode(message const& m);
std::string encode(log_entry const& entry);
std::string encode(snapshot const& s);
std::string encode(control::hard_state const& s);
std::string encode(voter const& v);

// Each fails with user_error if `bytes` are not a whole, valid value.
leaf::result<message> decode_message(std::string const& bytes);
leaf::result<log_entry> decode_entry(std::string const& bytes);
leaf::result<snapshot> decode_snapshot(std::string const& bytes);
leaf::result<control::hard_state> decode_hard_state(std::string const& bytes);
leaf::result<voter> decode_voter(std::string const& bytes);

} // namespace jackdawhall::wire
