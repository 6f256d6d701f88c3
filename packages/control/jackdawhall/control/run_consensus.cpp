// The filters that run consensus, apply committed entries and compact the log.
#include <jackdawhall/control/pipeline_context.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace jackdawhall::control
{

namespace
{

std::optional<consensus_message> as_consensus_message(message const& m)
{
    using result = std::optional<consensus_message>;
    return std::visit(
        overloaded{
            [](vote_request const& v) { return result{v}; },
            [](vote_response const& v) { return result{v}; },
            [](append_request const& v) { return result{v}; },
            [](append_response const& v) { return result{v}; },
            [](install_snapshot const& v) { return result{v}; },
            [](join_request const& v) { return result{v}; },
            [](control_host_list const& v) { return result{v}; },
            [](auto const&) { return result{}; },
        },
        m);
}

// Whether the delivered entries have reached a bound.
bool is_log_long(consensus_state const& c, std::size_t claims)
{
    log_limits const& interval = c.settings_.snapshot_interval_;
    log_limits const& trailing = c.settings_.trailing_;
    log_index const base = c.log_.base_index();
    // The cost of a snapshot grows with the number of claims and with the size
    // of the state in it, so a larger one is written less often.
    std::size_t const max_entries =
        std::max(interval.entries_, claims) + trailing.entries_;
    std::size_t const max_bytes =
        std::max(interval.bytes_, c.snapshot_bytes_) + trailing.bytes_;
    return c.delivered_ - base >= max_entries ||
           c.log_.bytes_between(base, c.delivered_) >= max_bytes;
}

} // namespace

void add_consensus_output(pipeline_context& p, consensus_step step)
{
    p.state_.consensus_ = std::move(step.state_);
    consensus_output& out = step.output_;
    if (out.installed_snapshot_)
    {
        // The snapshot covers all entries committed before it.
        p.state_.machine_ = from_snapshot(*out.installed_snapshot_);
        p.committed_ = {};
    }
    std::move(
        out.effects_.begin(), out.effects_.end(),
        std::back_inserter(p.effects_));
    if (p.committed_.after_ == p.committed_.last_)
        p.committed_ = out.committed_;
    else if (out.committed_.after_ != out.committed_.last_)
        p.committed_.last_ = out.committed_.last_;
    p.became_leader_ = p.became_leader_ || out.became_leader_;
    p.snapshot_targets_.insert(
        p.snapshot_targets_.end(), out.snapshot_targets_.begin(),
        out.snapshot_targets_.end());
}

void propose_commands(pipeline_context& p, std::vector<command> commands)
{
    add_consensus_output(
        p,
        propose(
            std::move(p.state_.consensus_), std::move(commands), p.at_.now_));
}

pipeline_context run_consensus(pipeline_context p)
{
    consensus_state& c = p.state_.consensus_;
    std::visit(
        overloaded{
            [&](received const& r)
            {
                std::optional<consensus_message> const m =
                    as_consensus_message(r.message_);
                if (m)
                    add_consensus_output(p, receive(std::move(c), *m, p.at_));
            },
            [&](timer_expired const&)
            { add_consensus_output(p, tick(std::move(c), p.at_)); },
            [&](stores_synced const& synced)
            {
                add_consensus_output(
                    p, disk_synced(std::move(c), synced.number_, p.at_.now_));
            },
            [](operator_change const&) {},
            [](operator_document const&) {},
            [](link_lost const&) {},
            [](message_not_sent const&) {},
        },
        p.input_);
    return p;
}

pipeline_context apply_committed(pipeline_context p)
{
    entry_log const& log = p.state_.consensus_.log_;
    for (log_index i = p.committed_.after_ + 1; i <= p.committed_.last_; ++i)
    {
        apply_step step =
            apply_command(std::move(p.state_.machine_), log.at(i).command_);
        p.state_.machine_ = std::move(step.machine_);
        p.applied_.push_back(std::move(step.applied_));
    }
    return p;
}

pipeline_context send_snapshots(pipeline_context p)
{
    for (voter const& target : std::exchange(p.snapshot_targets_, {}))
    {
        consensus_state& c = p.state_.consensus_;
        log_index const delivered = c.delivered_;
        snapshot const taken = take_snapshot(
            p.state_.machine_, delivered, c.log_.term_at(delivered).value_or(0),
            c.log_.voters_at(delivered));
        add_consensus_output(
            p, send_snapshot(std::move(c), target, taken, p.at_.now_));
    }
    return p;
}

pipeline_context compact_log(pipeline_context p)
{
    consensus_state& c = p.state_.consensus_;
    if (!is_log_long(c, p.state_.machine_.claim_count_))
        return p;
    snapshot taken = take_snapshot(
        p.state_.machine_, c.delivered_, *c.log_.term_at(c.delivered_),
        c.log_.voters_at(c.delivered_));
    add_consensus_output(p, compact(std::move(c), std::move(taken)));
    return p;
}

} // namespace jackdawhall::control
