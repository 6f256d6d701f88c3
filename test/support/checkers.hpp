// Checkers that read a history and say what is wrong with it; an empty list
// means that the promise held. Each has a test with a bad history.
#pragma once

#include <string>
#include <vector>

#include "memory_fleet.hpp"

namespace jackdawhall::test
{

using findings = std::vector<std::string>;

// At most one run for each idempotency key of a route that may not be repeated.
findings check_at_most_once(history const& h, std::string const& path);

// A request whose every verdict says "not run" has no run. Requests are told
// apart by their idempotency key or their body.
findings check_not_run(history const& h);

// In every window, at most burst + rate * length tokens were spent, where the
// allocator's clock may run fast by `drift`.
findings check_rate(
    history const& h, account_name const& account, double rate,
    std::int64_t burst, double drift);

// Every answer that ran is the whole answer to its own request.
findings check_answers(history const& h);

// A root and all its resends below cause at most 1 + retries forwards a hop.
findings check_forwards(history const& h, std::size_t most);

// No daemon's revision went back.
findings check_no_reversion(history const& h);

// Changes are linearizable: accepted ones have distinct revisions, in an order
// that fits real time, and each expected what the ones before it had left.
findings check_changes(history const& h);

// No run that began after `when` carried the account's request.
findings
check_silent_after(history const& h, std::string const& path, duration when);

} // namespace jackdawhall::test
