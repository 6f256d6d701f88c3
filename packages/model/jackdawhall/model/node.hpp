// Inputs and effects common to both kinds of node, calls and control. A front
// end passes inputs to a node and carries out its effects in order; it makes no
// decisions itself.
#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

#include <jackdawhall/model/message.hpp>

namespace jackdawhall
{

// Input: a message arrived from another daemon or from this one.
struct received
{
    host_name from_;
    message message_;
    auto operator<=>(received const&) const = default;
};

// Input: the instant that next_due() returned for the node has been reached.
struct timer_expired
{
    auto operator<=>(timer_expired const&) const = default;
};

// Effect: send a message to another daemon or to this one.
struct send
{
    outgoing outgoing_;
    auto operator<=>(send const&) const = default;
};

// Names and values appended to the text of a log line. Must never hold a key or
// a ticket.
using log_fields = std::vector<std::pair<std::string, std::string>>;

// Effect: write a line to the log. Lines with the same text share one rate
// budget, so the text must be constant; variable parts go into the fields.
struct log_message
{
    std::string text_;
    log_fields fields_;
    auto operator<=>(log_message const&) const = default;
};

} // namespace jackdawhall
