// Inputs and effects that every kind of node has. A front end gives a node
// inputs and carries out its effects in order; it decides nothing itself.
#pragma once

#include <compare>
#include <string>
#include <utility>
#include <vector>

#include <jackdawhall/model/message.hpp>

namespace jackdawhall
{

// Input: a message came from another daemon, or from this one.
struct received
{
    host_name from_;
    message message_;
    auto operator<=>(received const&) const = default;
};

// Input: the instant that the node gave as next_due has come.
struct timer_expired
{
    auto operator<=>(timer_expired const&) const = default;
};

// Effect: send a message to a daemon, or to this one.
struct send
{
    outgoing outgoing_;
    auto operator<=>(send const&) const = default;
};

// Names and values that stand behind the sentence of a log line. Never a key or
// a ticket.
using log_fields = std::vector<std::pair<std::string, std::string>>;

// Effect: write a line to the log. Lines of one sentence share a budget, so the
// sentence itself never varies.
struct log_message
{
    std::string text_;
    log_fields fields_;
    auto operator<=>(log_message const&) const = default;
};

} // namespace jackdawhall
