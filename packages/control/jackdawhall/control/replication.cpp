// Copies the leader's entries to the other control hosts and commits them.
#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control::detail
{

namespace
{

// The value that `count` of `values` have reached; self counts among them. The
// least value there is if there are fewer.
template <class Value>
Value reached_by(std::vector<Value> values, std::size_t count)
{
    if (count > values.size())
        return Value{};
    std::sort(values.begin(), values.end(), std::greater<Value>{});
    return values[count - 1];
}

bool commits_own_term(consensus_state const& s)
{
    return s.commit_ >= std::get<leader>(s.role_).first_own_;
}

void answer_append(
    work& w, append_request const& m, bool success, log_index match)
{
    consensus_state const& s = w.state_;
    send_to(
        w, m.leader_,
        append_response{
            s.hard_state_.term_, s.self_, success, match, m.leader_time_,
            w.now_.time_since_epoch().count(), s.incarnation_});
}

void follow(work& w, term_number term, host_name const& leader)
{
    become_follower(w, term, leader);
    reset_election(w);
    w.state_.quiet_until_ = w.now_ + w.state_.settings_.election_min_;
}

// Where the leader should try next: before the term that does not fit.
log_index resume_hint(entry_log const& log, log_index previous)
{
    if (previous > log.last_index())
        return log.last_index();
    std::optional<term_number> const wrong = log.term_at(previous);
    log_index hint = previous;
    while (hint > log.base_index() && log.term_at(hint) == wrong)
        --hint;
    return hint;
}

void drop_conflicting(work& w, log_index first)
{
    consensus_state& s = w.state_;
    s.log_.truncate(first);
    s.durable_ = std::min(s.durable_, first - 1);
    for (pending_store& pending : s.pending_stores_)
        pending.last_index_ = std::min(pending.last_index_, first - 1);
}

void take_entries(work& w, std::vector<log_entry> const& entries)
{
    consensus_state& s = w.state_;
    std::vector<log_entry> fresh;
    for (log_entry const& entry : entries)
    {
        if (entry.index_ <= s.log_.base_index())
            continue;
        std::optional<term_number> const held = s.log_.term_at(entry.index_);
        if (fresh.empty() && held == entry.term_)
            continue;
        if (fresh.empty() && held)
            drop_conflicting(w, entry.index_);
        fresh.push_back(entry);
    }
    if (!fresh.empty())
        save_entries(w, std::move(fresh));
}

// The leader's state was complete `majority_age_` before it sent this, which
// was after it had received our stamp `echoed_stamp_`.
void confirm(work& w, append_request const& m)
{
    consensus_state& s = w.state_;
    if (!m.commit_in_current_term_ || m.echoed_incarnation_ != s.incarnation_ ||
        s.commit_ < m.leader_commit_)
        return;
    instant const complete =
        instant{duration{m.echoed_stamp_}} - m.majority_age_;
    if (!s.confirmed_ || *s.confirmed_ < complete)
        s.confirmed_ = complete;
}

bool holds_change(entry_log const& log, log_index first, log_index last)
{
    for (log_index i = first; i <= last; ++i)
    {
        if (std::holds_alternative<change_command>(log.at(i).command_))
            return true;
    }
    return false;
}

} // namespace

instant majority_heard(consensus_state const& state, instant now)
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
                peer == l.peers_.end() ? instant{} : peer->second.acked_);
    }
    return reached_by(std::move(heard), majority(state));
}

void append_command(work& w, command c)
{
    consensus_state& s = w.state_;
    std::vector<log_entry> entries;
    entries.push_back(
        {s.log_.last_index() + 1, s.hard_state_.term_, std::move(c)});
    save_entries(w, std::move(entries));
    follow_voters(w);
    replicate_all(w, true);
}

void replicate_to(work& w, voter const& peer, bool heartbeat)
{
    consensus_state& s = w.state_;
    leader& l = std::get<leader>(s.role_);
    progress& p = l.peers_.at(peer);
    if (p.next_ <= s.log_.base_index() || p.needs_snapshot_)
    {
        if (heartbeat)
        {
            p.needs_snapshot_ = true;
            w.output_.snapshot_wanted_.push_back(peer);
        }
        return;
    }
    std::vector<log_entry> entries =
        s.log_.from(p.next_, s.settings_.batch_entries_);
    if (entries.empty() && !heartbeat)
        return;
    append_request m;
    m.term_ = s.hard_state_.term_;
    m.leader_ = s.settings_.self_;
    m.previous_index_ = p.next_ - 1;
    m.previous_term_ = *s.log_.term_at(m.previous_index_);
    m.leader_commit_ = s.commit_;
    m.leader_time_ = w.now_.time_since_epoch().count();
    m.echoed_stamp_ = p.stamp_;
    m.echoed_incarnation_ = p.incarnation_;
    m.majority_age_ = w.now_ - majority_heard(s, w.now_);
    m.commit_in_current_term_ = commits_own_term(s);
    p.next_ += entries.size();
    m.entries_ = std::move(entries);
    send_to(w, peer.host_, std::move(m));
}

void replicate_all(work& w, bool heartbeat)
{
    std::vector<voter> peers;
    for (auto const& peer : std::get<leader>(w.state_.role_).peers_)
        peers.push_back(peer.first);
    for (voter const& peer : peers)
        replicate_to(w, peer, heartbeat);
    advance_commit(w);
}

void advance_commit(work& w)
{
    consensus_state& s = w.state_;
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
    std::size_t const needed = std::max(majority(s), s.settings_.copies_);
    log_index const reached = reached_by(std::move(matches), needed);
    if (reached <= s.commit_ || reached < l->first_own_)
        return;
    bool const changes = holds_change(s.log_, s.commit_ + 1, reached);
    s.commit_ = reached;
    deliver_committed(w);
    if (changes)
        replicate_all(w, true); // so that followers pass it on at once
}

void handle(work& w, append_request const& m)
{
    consensus_state& s = w.state_;
    if (m.term_ < s.hard_state_.term_)
        return answer_append(w, m, false, s.log_.last_index());
    follow(w, m.term_, m.leader_);
    bool const reaches_base = m.previous_index_ < s.log_.base_index();
    if (!reaches_base && s.log_.term_at(m.previous_index_) != m.previous_term_)
        return answer_append(
            w, m, false,
            std::max(resume_hint(s.log_, m.previous_index_), s.commit_));
    take_entries(w, m.entries_);
    log_index const last = m.previous_index_ + m.entries_.size();
    s.commit_ = std::max(s.commit_, std::min(m.leader_commit_, last));
    deliver_committed(w);
    confirm(w, m);
    answer_append(w, m, true, last);
}

void handle(work& w, append_response const& m)
{
    consensus_state& s = w.state_;
    if (m.term_ > s.hard_state_.term_)
        return become_follower(w, m.term_, std::nullopt);
    leader* l = std::get_if<leader>(&s.role_);
    if (!l || m.term_ != s.hard_state_.term_)
        return;
    auto const found = l->peers_.find(m.voter_);
    if (found == l->peers_.end())
        return;
    progress& p = found->second;
    p.acked_ = std::max(p.acked_, instant{duration{m.leader_time_}});
    p.heard_ = w.now_;
    if (p.incarnation_ != m.incarnation_ || p.stamp_ < m.stamp_)
    {
        p.incarnation_ = m.incarnation_;
        p.stamp_ = m.stamp_;
    }
    if (!m.success_)
    {
        p.next_ = std::max(p.match_, m.match_index_) + 1;
        return replicate_to(w, m.voter_, true);
    }
    p.match_ = std::max(p.match_, m.match_index_);
    p.next_ = std::max(p.next_, p.match_ + 1);
    p.needs_snapshot_ = false;
    advance_commit(w);
    replicate_to(w, m.voter_, false);
}

void handle(work& w, install_snapshot const& m)
{
    consensus_state& s = w.state_;
    append_request header;
    header.leader_ = m.leader_;
    header.leader_time_ = m.leader_time_;
    if (m.term_ < s.hard_state_.term_)
        return answer_append(w, header, false, s.log_.last_index());
    follow(w, m.term_, m.leader_);
    snapshot const& taken = m.snapshot_;
    if (taken.last_index_ > s.commit_)
    {
        s.log_ =
            entry_log(taken.last_index_, taken.last_term_, taken.voters_, {});
        s.commit_ = s.delivered_ = taken.last_index_;
        s.pending_stores_.clear();
        store_number const number = ++s.last_store_;
        s.pending_stores_.push_back({number, taken.last_index_});
        s.durable_ = 0;
        w.output_.installed_ = taken;
        w.output_.effects_.push_back(
            store_snapshot{number, taken, s.hard_state_, {}});
    }
    answer_append(w, header, true, taken.last_index_);
}

} // namespace jackdawhall::control::detail

namespace jackdawhall::control
{

consensus_step send_snapshot(
    consensus_state state, voter const& target, snapshot const& taken,
    instant now)
{
    detail::work w{std::move(state), {}, now};
    leader* l = std::get_if<leader>(&w.state_.role_);
    auto const found = l ? l->peers_.find(target) : decltype(l->peers_.end()){};
    if (l && found != l->peers_.end())
    {
        found->second.next_ = taken.last_index_ + 1;
        found->second.needs_snapshot_ = false;
        detail::send_to(
            w, target.host_,
            install_snapshot{
                w.state_.hard_state_.term_, w.state_.settings_.self_, taken,
                now.time_since_epoch().count()});
    }
    return {std::move(w.state_), std::move(w.output_)};
}

} // namespace jackdawhall::control
