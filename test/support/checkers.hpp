// Checkers for the histories that a simulation records. Each returns a
// description of every violation it found; an empty list means that the
// invariant held. Each checker is tested with a history that violates it.
#pragma once

#include <string>
#include <vector>

#include "memory_fleet.hpp"

namespace jackdawhall::test
{

using findings = std::vector<std::string>;

// A non-repeatable route has at most one run for each idempotency key.
findings check_at_most_once(history const& h, std::string const& path);

// A request has no run if every one of its verdicts is `not_run`. Requests are
// identified by path and idempotency key, or by path and body if they have no
// key.
findings check_not_run(history const& h);

// In every time window, at most burst + rate * length tokens were spent, where
// the allocator's clock may run fast by the fraction `drift`.
findings check_rate(
    history const& h, account_name const& account, double rate,
    std::int64_t burst, double drift);

// Every answer with status 200 is the complete answer to its own request, and
// no request gets more than one verdict.
findings check_answers(history const& h);

// A root request causes at most `limit` forwards, summed over all hops and
// retries below it and over the caller's resends of its request id. The bound
// is one forward for each hop plus the retries: 1 + retries for a single hop.
findings check_forwards(history const& h, std::size_t limit);

// The configuration revision of a daemon never decreases.
findings check_no_reversion(history const& h);

// Changes are linearizable: accepted changes have distinct revisions, in an
// order consistent with real time, and each was a valid compare-and-set on the
// records that the changes before it had left.
findings check_changes(history const& h);

// No run on `path` began after `when`.
findings
check_no_runs_after(history const& h, std::string const& path, duration when);

} // namespace jackdawhall::test
