#include <jackdawhall/control/pipeline.hpp>

#include <algorithm>

#include <jackdawhall/control/pipeline_context.hpp>

namespace jackdawhall::control
{

// Runs the filters of a control host, in order.
node_step run(state s, input in, clock_reading at)
{
    pipeline_context p{std::move(s), std::move(in), at, {}, {}, {}, false, {}};
    p = propose_operator_changes(std::move(p));
    p = follow_forwarded_changes(std::move(p));
    p = propose_claims(std::move(p));
    p = count_crashes(std::move(p));
    p = run_consensus(std::move(p));
    p = apply_committed(std::move(p));
    p = record_suspects(std::move(p));
    p = record_departures(std::move(p));
    p = notify_waiters(std::move(p));
    p = start_or_stop_allocator(std::move(p));
    p = distribute_configuration(std::move(p));
    p = exchange_membership(std::move(p));
    p = grant_tokens(std::move(p));
    p = send_snapshots(std::move(p));
    p = compact_log(std::move(p));
    return {std::move(p.state_), std::move(p.effects_)};
}

instant next_due(state const& s)
{
    instant due = std::min(next_due(s.consensus_), s.membership_.report_due_);
    for (auto const& waiting : s.waiters_)
        due = std::min(due, waiting.second.since_ + operation_timeout);
    return due;
}

std::size_t changes_in_progress(state const& s)
{
    return s.waiters_.size();
}

state make_state(
    consensus_settings settings, recovered_state disk, random_source random,
    instant now, node_options const& options)
{
    state s;
    s.membership_.self_ = settings.self_;
    s.membership_.location_ = options.location_;
    s.tolerance_ = options.tolerance_;
    s.allocator_.started_at_ = now;
    s.shares_.started_at_ = now;
    s.membership_.started_at_ = now;
    s.membership_.peer_hosts_ = settings.control_hosts_;
    std::erase(s.membership_.peer_hosts_, settings.self_);
    s.membership_.incarnation_ = random.next();
    s.last_forward_ = s.membership_.incarnation_;
    s.membership_.version_ = 1 + (random.next() >> 8);
    s.membership_.report_due_ = now;
    s.machine_ = from_snapshot(disk.snapshot_);
    s.distribution_.pushed_revision_ = s.machine_.revision_;
    s.consensus_ =
        make_consensus(std::move(settings), std::move(disk), random, now);
    return s;
}

} // namespace jackdawhall::control
