// Log replication: sends the leader's entries to its peers and advances the
// commit index.
#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control::detail
{

namespace
{

// Returns the greatest value that at least `count` of `values` have reached, or
// Value{} if there are fewer than `count`. `values` includes this host's own.
template <class Value>
Value quorum_value(std::vector<Value> values, std::size_t count)
{
    if (count > values.size())
        return Value{};
    std::sort(values.begin(), values.end(), std::greater<Value>{});
    return values[count - 1];
}

bool has_committed_own_term(consensus_state const& s)
{
    return s.commit_ >= std::get<leader>(s.role_).term_first_index_;
}

void answer_append(
    step_context& ctx, append_request const& m, bool success, log_index match)
{
    consensus_state const& s = ctx.state_;
    send_to(
        ctx, m.leader_,
        append_response{
            s.hard_state_.term_, s.self_, success, match, m.leader_time_,
            ctx.now_.time_since_epoch().count(), s.incarnation_});
}

void follow_leader(step_context& ctx, term_number term, host_name const& leader)
{
    become_follower(ctx, term, leader);
    reset_election_timer(ctx);
    ctx.state_.no_vote_until_ = ctx.now_ + ctx.state_.settings_.election_min_;
}

// Returns the previous_index_ that the leader should try next: the last entry
// before the conflicting term, or the last entry if the log is too short.
log_index previous_index_hint(entry_log const& log, log_index previous)
{
    if (previous > log.last_index())
        return log.last_index();
    std::optional<term_number> const conflicting_term = log.term_at(previous);
    log_index hint = previous;
    while (hint > log.base_index() && log.term_at(hint) == conflicting_term)
        --hint;
    return hint;
}

// Drops `first` and all later entries. A pending store may cover dropped
// entries; its sync must not mark their replacements as durable.
void truncate_conflicting(step_context& ctx, log_index first)
{
    consensus_state& s = ctx.state_;
    s.log_.truncate(first);
    s.durable_ = std::min(s.durable_, first - 1);
    for (pending_store& pending : s.pending_stores_)
        pending.last_index_ = std::min(pending.last_index_, first - 1);
}

void append_new_entries(
    step_context& ctx, std::vector<log_entry> const& entries)
{
    consensus_state& s = ctx.state_;
    std::vector<log_entry> new_entries;
    for (log_entry const& entry : entries)
    {
        if (entry.index_ <= s.log_.base_index())
            continue;
        std::optional<term_number> const held = s.log_.term_at(entry.index_);
        if (new_entries.empty() && held == entry.term_)
            continue;
        if (new_entries.empty() && held)
            truncate_conflicting(ctx, entry.index_);
        new_entries.push_back(entry);
    }
    if (!new_entries.empty())
        save_entries(ctx, std::move(new_entries));
}

// The leader was in contact with a majority `majority_age_` before it sent `m`,
// and it sent `m` after it had received this host's stamp `echoed_stamp_`. The
// state is therefore complete up to `echoed_stamp_` - `majority_age_`, by this
// host's clock.
void update_complete_as_of(step_context& ctx, append_request const& m)
{
    consensus_state& s = ctx.state_;
    if (!m.commit_in_current_term_ || m.echoed_incarnation_ != s.incarnation_ ||
        s.commit_ < m.leader_commit_)
        return;
    instant const complete =
        instant{duration{m.echoed_stamp_}} - m.majority_age_;
    if (!s.complete_as_of_ || *s.complete_as_of_ < complete)
        s.complete_as_of_ = complete;
}

// The entries to send next; none while too much is unacknowledged.
std::vector<log_entry> next_batch(consensus_state const& s, progress const& p)
{
    std::size_t const unacknowledged =
        s.log_.bytes_between(p.match_, p.next_ - 1);
    if (unacknowledged >= s.settings_.unacknowledged_bytes_)
        return {};
    std::vector<log_entry> entries =
        s.log_.entries_from(p.next_, s.settings_.batch_);
    if (!entries.empty())
        return entries;
    return s.log_.entries_from(p.next_, {1, SIZE_MAX});
}

// The entries that follow the snapshot in the log; none if the log has another
// entry where the snapshot ends. This host may have acknowledged them.
std::vector<log_entry>
entries_after(entry_log const& log, snapshot const& taken)
{
    if (log.term_at(taken.last_index_) != taken.last_term_)
        return {};
    return log.entries_from(taken.last_index_ + 1, {SIZE_MAX, SIZE_MAX});
}

bool contains_change(entry_log const& log, log_index first, log_index last)
{
    for (log_index i = first; i <= last; ++i)
    {
        if (std::holds_alternative<change_command>(log.at(i).command_))
            return true;
    }
    return false;
}

} // namespace

instant majority_contact_time(consensus_state const& state, instant now)
{
    leader const& l = std::get<leader>(state.role_);
    std::vector<instant> heard;
    for (voter const& v : state.log_.voters())
    {
        auto const peer = l.peers_.find(v);
        if (v == state.self_)
            heard.push_back(now);
        else
            heard.push_back(
                peer == l.peers_.end() ? instant{}
                                       : peer->second.acked_sent_at_);
    }
    return quorum_value(std::move(heard), majority(state));
}

void append_command(step_context& ctx, command c)
{
    consensus_state& s = ctx.state_;
    std::vector<log_entry> entries;
    entries.push_back(
        {s.log_.last_index() + 1, s.hard_state_.term_, std::move(c)});
    save_entries(ctx, std::move(entries));
    sync_peers_with_voters(ctx);
    replicate_all(ctx, true);
}

void replicate_to(step_context& ctx, voter const& peer, bool heartbeat)
{
    consensus_state& s = ctx.state_;
    leader& l = std::get<leader>(s.role_);
    progress& p = l.peers_.at(peer);
    if (p.next_ <= s.log_.base_index() || p.needs_snapshot_)
    {
        if (heartbeat)
        {
            p.needs_snapshot_ = true;
            ctx.output_.snapshot_targets_.push_back(peer);
        }
        return;
    }
    std::vector<log_entry> entries = next_batch(s, p);
    if (entries.empty() && !heartbeat)
        return;
    append_request m;
    m.term_ = s.hard_state_.term_;
    m.leader_ = s.settings_.self_;
    m.previous_index_ = p.next_ - 1;
    m.previous_term_ = *s.log_.term_at(m.previous_index_);
    m.leader_commit_ = s.commit_;
    m.leader_time_ = ctx.now_.time_since_epoch().count();
    m.echoed_stamp_ = p.stamp_;
    m.echoed_incarnation_ = p.incarnation_;
    m.majority_age_ = ctx.now_ - majority_contact_time(s, ctx.now_);
    m.commit_in_current_term_ = has_committed_own_term(s);
    p.next_ += entries.size();
    m.entries_ = std::move(entries);
    send_to(ctx, peer.host_, std::move(m));
}

void replicate_all(step_context& ctx, bool heartbeat)
{
    std::vector<voter> peers;
    for (auto const& peer : std::get<leader>(ctx.state_.role_).peers_)
        peers.push_back(peer.first);
    for (voter const& peer : peers)
        replicate_to(ctx, peer, heartbeat);
    advance_commit(ctx);
}

void advance_commit(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    leader const* l = std::get_if<leader>(&s.role_);
    if (!l || s.log_.voters().empty())
        return;
    std::vector<log_index> matches;
    for (voter const& v : s.log_.voters())
    {
        auto const peer = l->peers_.find(v);
        if (v == s.self_)
            matches.push_back(s.durable_);
        else
            matches.push_back(
                peer == l->peers_.end() ? 0 : peer->second.match_);
    }
    std::size_t const needed =
        std::max(majority(s), s.settings_.min_durable_copies_);
    log_index const reached = quorum_value(std::move(matches), needed);
    if (reached <= s.commit_ || reached < l->term_first_index_)
        return;
    bool const has_change = contains_change(s.log_, s.commit_ + 1, reached);
    s.commit_ = reached;
    deliver_committed(ctx);
    if (has_change)
        replicate_all(ctx, true); // followers learn the commit index at once
}

void handle(step_context& ctx, append_request const& m)
{
    consensus_state& s = ctx.state_;
    if (m.term_ < s.hard_state_.term_)
        return answer_append(ctx, m, false, s.log_.last_index());
    follow_leader(ctx, m.term_, m.leader_);
    // Entries up to the base are committed, and so match the leader's.
    bool const starts_before_base = m.previous_index_ < s.log_.base_index();
    if (!starts_before_base &&
        s.log_.term_at(m.previous_index_) != m.previous_term_)
        return answer_append(
            ctx, m, false,
            std::max(
                previous_index_hint(s.log_, m.previous_index_), s.commit_));
    append_new_entries(ctx, m.entries_);
    log_index const last = m.previous_index_ + m.entries_.size();
    s.commit_ = std::max(s.commit_, std::min(m.leader_commit_, last));
    deliver_committed(ctx);
    update_complete_as_of(ctx, m);
    answer_append(ctx, m, true, last);
}

void handle(step_context& ctx, append_response const& m)
{
    consensus_state& s = ctx.state_;
    if (m.term_ > s.hard_state_.term_)
        return become_follower(ctx, m.term_, std::nullopt);
    leader* l = std::get_if<leader>(&s.role_);
    if (!l || m.term_ != s.hard_state_.term_)
        return;
    auto const found = l->peers_.find(m.voter_);
    if (found == l->peers_.end())
        return;
    progress& p = found->second;
    p.acked_sent_at_ =
        std::max(p.acked_sent_at_, instant{duration{m.leader_time_}});
    p.last_heard_ = ctx.now_;
    if (p.incarnation_ != m.incarnation_ || p.stamp_ < m.stamp_)
    {
        p.incarnation_ = m.incarnation_;
        p.stamp_ = m.stamp_;
    }
    if (!m.success_)
    {
        p.next_ = std::max(p.match_, m.match_index_) + 1;
        return replicate_to(ctx, m.voter_, true);
    }
    p.match_ = std::max(p.match_, m.match_index_);
    p.next_ = std::max(p.next_, p.match_ + 1);
    p.needs_snapshot_ = false;
    advance_commit(ctx);
    replicate_to(ctx, m.voter_, false);
    admit_joining_hosts(ctx);
}

void handle(step_context& ctx, install_snapshot const& m)
{
    consensus_state& s = ctx.state_;
    append_request header; // only the fields that answer_append copies
    header.leader_ = m.leader_;
    header.leader_time_ = m.leader_time_;
    if (m.term_ < s.hard_state_.term_)
        return answer_append(ctx, header, false, s.log_.last_index());
    follow_leader(ctx, m.term_, m.leader_);
    snapshot const& taken = m.snapshot_;
    if (taken.last_index_ > s.commit_)
    {
        std::vector<log_entry> kept = entries_after(s.log_, taken);
        s.log_ =
            entry_log(taken.last_index_, taken.last_term_, taken.voters_, kept);
        s.commit_ = s.delivered_ = taken.last_index_;
        // Nothing counts as durable until the snapshot is synced; earlier
        // stores are of the log that it replaces.
        s.pending_stores_.clear();
        store_number const number = ++s.last_store_;
        s.pending_stores_.push_back({number, s.log_.last_index()});
        s.durable_ = 0;
        s.snapshot_bytes_ = estimated_size(taken);
        ctx.output_.installed_snapshot_ = taken;
        ctx.output_.effects_.push_back(
            store_snapshot{number, taken, s.hard_state_, std::move(kept)});
    }
    answer_append(ctx, header, true, taken.last_index_);
}

} // namespace jackdawhall::control::detail

namespace jackdawhall::control
{

consensus_step send_snapshot(
    consensus_state state, voter const& target, snapshot const& taken,
    instant now)
{
    detail::step_context ctx{std::move(state), {}, now};
    leader* l = std::get_if<leader>(&ctx.state_.role_);
    auto const found = l ? l->peers_.find(target) : decltype(l->peers_.end()){};
    if (l && found != l->peers_.end())
    {
        found->second.next_ = taken.last_index_ + 1;
        found->second.needs_snapshot_ = false;
        detail::send_to(
            ctx, target.host_,
            install_snapshot{
                ctx.state_.hard_state_.term_, ctx.state_.settings_.self_, taken,
                now.time_since_epoch().count()});
    }
    return {std::move(ctx.state_), std::move(ctx.output_)};
}

} // namespace jackdawhall::control
