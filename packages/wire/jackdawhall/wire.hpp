// Values to bytes and back: messages between daemons and journal records by
// Thrift's compact protocol, records for operators by JSON.
#pragma once

#include <jackdawhall/wire/codec.hpp>
#include <jackdawhall/wire/json.hpp>
#include <jackdawhall/wire/parse_json.hpp>
