// Estimates of encoded sizes, by which logs and batches are bounded. They
// depend on the contents alone and not on an encoding.
#pragma once

#include <cstddef>

#include <jackdawhall/model/message.hpp>

namespace jackdawhall
{

// Bytes that the entry takes in a journal or a message, about.
std::size_t estimated_size(log_entry const& entry);

// The same of a snapshot.
std::size_t estimated_size(snapshot const& s);

} // namespace jackdawhall
