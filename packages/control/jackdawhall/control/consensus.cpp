#include <jackdawhall/control/consensus.hpp>

#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control
{

namespace detail
{

void send_to(step_context& ctx, host_name const& to, message m)
{
    ctx.output_.effects_.push_back(send{{to, std::move(m)}});
}

void log_event(step_context& ctx, std::string text, log_fields fields)
{
    fields.emplace_back("term", std::to_string(ctx.state_.hard_state_.term_));
    fields.emplace_back("commit", std::to_string(ctx.state_.commit_));
    ctx.output_.effects_.push_back(
        log_message{std::move(text), std::move(fields)});
}

bool is_voter(consensus_state const& state, voter const& who)
{
    std::vector<voter> const& voters = state.log_.voters();
    return std::find(voters.begin(), voters.end(), who) != voters.end();
}

std::size_t majority(consensus_state const& state)
{
    return state.log_.voters().size() / 2 + 1;
}

void save_hard_state(step_context& ctx)
{
    store_number const number = ++ctx.state_.last_store_;
    ctx.output_.effects_.push_back(
        store_hard_state{number, ctx.state_.hard_state_});
}

void save_entries(step_context& ctx, std::vector<log_entry> entries)
{
    consensus_state& s = ctx.state_;
    for (log_entry const& entry : entries)
        s.log_.append(entry);
    store_number const number = ++s.last_store_;
    s.pending_stores_.push_back({number, s.log_.last_index()});
    ctx.output_.effects_.push_back(store_entries{number, std::move(entries)});
}

void deliver_committed(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    if (s.delivered_ >= s.commit_)
        return;
    log_range& committed = ctx.output_.committed_;
    if (committed.after_ == committed.last_)
        committed.after_ = s.delivered_;
    committed.last_ = s.delivered_ = s.commit_;
}

} // namespace detail

using detail::step_context;

namespace
{

consensus_step finish(step_context ctx)
{
    return {std::move(ctx.state_), std::move(ctx.output_)};
}

step_context begin(consensus_state state, instant now)
{
    return step_context{std::move(state), {}, now};
}

// Earliest instant at which a join request is due, for a host that does not
// lead. A voter of its own log that hears from no leader asks as well: it may
// have been removed while it was down.
instant join_request_due(consensus_state const& s)
{
    if (detail::is_voter(s, s.self_))
        return std::max(s.next_join_request_, s.no_vote_until_);
    return s.next_join_request_;
}

void request_join_if_due(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    if (is_leader(s) || ctx.now_ < join_request_due(s))
        return;
    s.next_join_request_ = ctx.now_ + join_interval;
    bool const log_empty = s.log_.last_index() == 0;
    for (host_name const& host : known_hosts(s))
    {
        if (host != s.settings_.self_)
            detail::send_to(ctx, host, join_request{s.self_, log_empty});
    }
}

// Check-quorum: a leader that has lost contact with a majority must step down,
// since another host may have been elected.
void step_down_without_majority(step_context& ctx)
{
    instant const last_contact =
        detail::majority_contact_time(ctx.state_, ctx.now_);
    if (ctx.now_ - last_contact < ctx.state_.settings_.election_max_)
        return;
    detail::log_event(
        ctx, "stepping down: lost contact with a majority of voters");
    detail::become_follower(ctx, ctx.state_.hard_state_.term_, std::nullopt);
}

void tick_leader(step_context& ctx)
{
    leader& l = std::get<leader>(ctx.state_.role_);
    if (ctx.now_ < l.next_heartbeat_)
        return;
    l.next_heartbeat_ = ctx.now_ + ctx.state_.settings_.heartbeat_;
    detail::maintain_voters(ctx);
    detail::replicate_all(ctx, true);
    step_down_without_majority(ctx);
}

} // namespace

consensus_state make_consensus(
    consensus_settings settings, recovered_state disk, random_source random,
    instant now)
{
    consensus_state s;
    s.settings_ = std::move(settings);
    s.self_ = std::move(disk.self_);
    s.hard_state_ = std::move(disk.hard_state_);
    s.snapshot_bytes_ = estimated_size(disk.snapshot_);
    s.log_ = entry_log(
        disk.snapshot_.last_index_, disk.snapshot_.last_term_,
        std::move(disk.snapshot_.voters_), std::move(disk.entries_));
    s.commit_ = s.delivered_ = s.log_.base_index();
    s.durable_ = s.log_.last_index();
    s.random_ = random;
    s.incarnation_ = s.random_.next();
    s.known_hosts_.insert(
        s.settings_.control_hosts_.begin(), s.settings_.control_hosts_.end());
    s.no_vote_until_ = now + s.settings_.election_min_;
    s.next_join_request_ = now;
    step_context ctx = begin(std::move(s), now);
    detail::reset_election_timer(ctx);
    return std::move(ctx.state_);
}

consensus_step receive(
    consensus_state state, consensus_message const& message, clock_reading at)
{
    step_context ctx = begin(std::move(state), at.now_);
    std::visit(
        overloaded{
            [&](join_request const& m) { detail::handle(ctx, m, at.wall_); },
            [&](auto const& m) { detail::handle(ctx, m); },
        },
        message);
    return finish(std::move(ctx));
}

consensus_step tick(consensus_state state, clock_reading at)
{
    step_context ctx = begin(std::move(state), at.now_);
    request_join_if_due(ctx);
    if (std::holds_alternative<leader>(ctx.state_.role_))
        tick_leader(ctx);
    else if (
        detail::is_voter(ctx.state_, ctx.state_.self_) &&
        ctx.now_ >= ctx.state_.election_deadline_)
        detail::start_pre_vote(ctx);
    return finish(std::move(ctx));
}

consensus_step
disk_synced(consensus_state state, store_number number, instant now)
{
    step_context ctx = begin(std::move(state), now);
    consensus_state& s = ctx.state_;
    while (!s.pending_stores_.empty() &&
           s.pending_stores_.front().number_ <= number)
    {
        s.durable_ =
            std::max(s.durable_, s.pending_stores_.front().last_index_);
        s.pending_stores_.pop_front();
    }
    detail::advance_commit(ctx);
    return finish(std::move(ctx));
}

consensus_step
propose(consensus_state state, std::vector<command> commands, instant now)
{
    step_context ctx = begin(std::move(state), now);
    if (!std::holds_alternative<leader>(ctx.state_.role_) || commands.empty())
        return finish(std::move(ctx));
    std::vector<log_entry> entries;
    entries.reserve(commands.size());
    log_index index = ctx.state_.log_.last_index();
    for (command& c : commands)
        entries.push_back(
            {++index, ctx.state_.hard_state_.term_, std::move(c)});
    detail::save_entries(ctx, std::move(entries));
    detail::replicate_all(ctx, false);
    return finish(std::move(ctx));
}

consensus_step compact(consensus_state state, snapshot taken)
{
    step_context ctx = begin(std::move(state), instant{}); // time is not used
    consensus_state& s = ctx.state_;
    log_index const index = taken.last_index_;
    store_number const number = ++s.last_store_;
    // The store holds the entries after the snapshot as well.
    s.pending_stores_.push_back({number, s.log_.last_index()});
    std::vector<log_entry> kept =
        s.log_.entries_from(index + 1, {SIZE_MAX, SIZE_MAX});
    s.snapshot_bytes_ = estimated_size(taken);
    ctx.output_.effects_.push_back(store_snapshot{
        number, std::move(taken), s.hard_state_, std::move(kept)});
    s.log_.compact(s.log_.start_of_tail(index, s.settings_.trailing_));
    return finish(std::move(ctx));
}

bool is_leader(consensus_state const& state)
{
    return std::holds_alternative<leader>(state.role_);
}

std::optional<host_name> leader_of(consensus_state const& state)
{
    return std::visit(
        overloaded{
            [](follower const& f) { return f.leader_; },
            [](candidate const&) { return std::optional<host_name>{}; },
            [&](leader const&)
            { return std::optional<host_name>{state.settings_.self_}; },
        },
        state.role_);
}

std::set<host_name> known_hosts(consensus_state const& state)
{
    std::set<host_name> hosts = state.known_hosts_;
    for (voter const& v : state.log_.voters())
        hosts.insert(v.host_);
    return hosts;
}

std::set<host_name> serving_hosts(consensus_state const& state)
{
    std::set<host_name> hosts;
    for (voter const& v : state.log_.voters())
        hosts.insert(v.host_);
    return hosts.empty() ? state.known_hosts_ : hosts;
}

bool holds_lease(consensus_state const& state, instant now)
{
    leader const* l = std::get_if<leader>(&state.role_);
    // Before an entry of its own term is committed, a leader does not know
    // which earlier entries are.
    if (!l || state.commit_ < l->term_first_index_)
        return false;
    duration const length = state.settings_.election_min_ -
                            state.settings_.election_min_ / clock_drift_divisor;
    return now < detail::majority_contact_time(state, now) + length;
}

std::optional<duration> state_age(consensus_state const& state, instant now)
{
    if (leader const* l = std::get_if<leader>(&state.role_))
    {
        if (state.commit_ < l->term_first_index_)
            return std::nullopt;
        return now - detail::majority_contact_time(state, now);
    }
    if (!state.complete_as_of_)
        return std::nullopt;
    return now - *state.complete_as_of_;
}

instant next_due(consensus_state const& state)
{
    if (leader const* l = std::get_if<leader>(&state.role_))
        return l->next_heartbeat_;
    instant const join_due = join_request_due(state);
    return detail::is_voter(state, state.self_)
               ? std::min(join_due, state.election_deadline_)
               : join_due;
}

} // namespace jackdawhall::control
