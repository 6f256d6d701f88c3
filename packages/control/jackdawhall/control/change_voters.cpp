// Changes of the voters: bootstrap of the log, hosts that join, and removal of
// dead voters and lost disks.
#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control::detail
{

namespace
{

bool all_hosts_uninitialized(step_context const& ctx)
{
    consensus_state const& s = ctx.state_;
    return std::all_of(
        s.settings_.control_hosts_.begin(), s.settings_.control_hosts_.end(),
        [&](host_name const& host)
        {
            if (host == s.settings_.self_)
                return true;
            auto const found = s.uninitialized_hosts_.find(host);
            return found != s.uninitialized_hosts_.end() &&
                   ctx.now_ - found->second.last_heard_ <
                       uninitialized_host_timeout;
        });
}

bool is_bootstrap_host(consensus_state const& s)
{
    return !s.settings_.control_hosts_.empty() &&
           s.settings_.control_hosts_.front() == s.settings_.self_;
}

// Writes the first entry. Safe only because every listed control host has
// reported an empty log under the same disk identity that the entry records as
// a voter.
void bootstrap_log(step_context& ctx, wall_time wall)
{
    consensus_state& s = ctx.state_;
    std::vector<voter> voters{s.self_};
    for (auto const& uninitialized : s.uninitialized_hosts_)
        voters.push_back(uninitialized.second.voter_);
    std::sort(voters.begin(), voters.end());
    s.hard_state_ = {1, std::nullopt};
    save_hard_state(ctx);
    save_entries(ctx, {{1, 1, voters_command{std::move(voters), wall}}});
    s.election_deadline_ = ctx.now_; // starts an election at the next tick
    log_event(ctx, "bootstrapped the log: no control host has log entries");
}

void record_uninitialized_host(
    step_context& ctx, join_request const& m, wall_time wall)
{
    consensus_state& s = ctx.state_;
    s.uninitialized_hosts_[m.voter_.host_] = {m.voter_, ctx.now_};
    if (s.log_.last_index() == 0 && s.settings_.may_bootstrap_ &&
        is_bootstrap_host(s) && all_hosts_uninitialized(ctx))
        bootstrap_log(ctx, wall);
}

// Raft requires that an entry of the leader's term and the previous change of
// voters are committed before the next change.
bool may_change_voters(consensus_state const& s)
{
    leader const& l = std::get<leader>(s.role_);
    return s.commit_ >= l.term_first_index_ &&
           s.commit_ >= s.log_.voters_index();
}

std::vector<voter> without(std::vector<voter> voters, voter const& gone)
{
    std::erase(voters, gone);
    return voters;
}

// Returns a voter that was silent for longer than dead_voter_timeout, if the
// other voters that answer can commit entries after its removal.
std::optional<voter> find_dead_voter(step_context const& ctx)
{
    consensus_state const& s = ctx.state_;
    leader const& l = std::get<leader>(s.role_);
    std::optional<voter> dead;
    std::size_t alive = 0;
    for (voter const& v : s.log_.voters())
    {
        auto const found = l.peers_.find(v);
        bool const silent =
            v != s.self_ &&
            (found == l.peers_.end() ||
             ctx.now_ - found->second.last_heard_ > dead_voter_timeout);
        if (silent)
            dead = v;
        else
            ++alive;
    }
    std::size_t const remaining = s.log_.voters().size() - 1;
    bool const safe =
        alive >= std::max(remaining / 2 + 1, s.settings_.min_durable_copies_);
    return safe ? dead : std::nullopt;
}

// Removes a dead voter if find_dead_voter returns one, to make room for a
// joining host or to shrink the group. Returns whether it did.
bool remove_dead_voter(step_context& ctx)
{
    consensus_state const& s = ctx.state_;
    std::optional<voter> const dead = find_dead_voter(ctx);
    if (!s.settings_.allow_unlisted_hosts_ || !dead || !may_change_voters(s))
        return false;
    log_event(
        ctx, "removing a voter that stopped responding",
        {{"host", dead->host_.str()}});
    append_command(ctx, voters_command{without(s.log_.voters(), *dead), {}});
    return true;
}

bool is_silent(step_context const& ctx, voter const& who, duration limit)
{
    leader const& l = std::get<leader>(ctx.state_.role_);
    auto const found = l.peers_.find(who);
    return who != ctx.state_.self_ &&
           (found == l.peers_.end() ||
            ctx.now_ - found->second.last_heard_ > limit);
}

duration lost_disk_silence(consensus_state const& s)
{
    return lost_disk_heartbeats * s.settings_.heartbeat_;
}

// Returns a voter whose host now answers under another disk identity. An
// identity that still answers is kept: it is in use.
std::optional<voter> find_lost_disk(step_context const& ctx)
{
    duration const limit = lost_disk_silence(ctx.state_);
    for (voter const& v : ctx.state_.log_.voters())
    {
        if (!is_silent(ctx, v, limit))
            continue;
        for (auto const& peer : std::get<leader>(ctx.state_.role_).peers_)
        {
            if (peer.first.host_ == v.host_ && peer.first != v &&
                !is_silent(ctx, peer.first, limit))
                return v;
        }
    }
    return std::nullopt;
}

void remove_lost_disk(step_context& ctx, voter const& lost)
{
    log_event(
        ctx, "removing the voter of a lost disk", {{"host", lost.host_.str()}});
    std::get<leader>(ctx.state_.role_).peers_.erase(lost);
    append_command(
        ctx, voters_command{without(ctx.state_.log_.voters(), lost), {}});
}

bool has_answering_voter(step_context const& ctx, host_name const& host)
{
    consensus_state const& s = ctx.state_;
    return std::any_of(
        s.log_.voters().begin(), s.log_.voters().end(),
        [&](voter const& v) {
            return v.host_ == host && !is_silent(ctx, v, lost_disk_silence(s));
        });
}

// Returns a host that joins and has all committed entries.
std::optional<voter> find_caught_up(step_context const& ctx)
{
    consensus_state const& s = ctx.state_;
    for (auto const& peer : std::get<leader>(s.role_).peers_)
    {
        if (!is_voter(s, peer.first) && peer.second.match_ >= s.commit_ &&
            !is_silent(ctx, peer.first, joining_host_silence) &&
            !has_answering_voter(ctx, peer.first.host_))
            return peer.first;
    }
    return std::nullopt;
}

void add_voter(step_context& ctx, voter const& joining)
{
    std::vector<voter> voters = ctx.state_.log_.voters();
    voters.push_back(joining);
    std::sort(voters.begin(), voters.end());
    log_event(ctx, "adding a voter", {{"host", joining.host_.str()}});
    append_command(ctx, voters_command{std::move(voters), {}});
}

// Takes the sender of a join request as a peer; its entries follow.
void replicate_to_joining(step_context& ctx, voter const& joining)
{
    consensus_state& s = ctx.state_;
    leader& l = std::get<leader>(s.role_);
    auto const found = l.peers_.find(joining);
    if (found != l.peers_.end())
    {
        found->second.last_heard_ = ctx.now_;
        return;
    }
    std::erase_if(
        l.peers_,
        [&](auto const& peer) {
            return peer.first.host_ == joining.host_ &&
                   !is_voter(s, peer.first);
        });
    progress p;
    p.next_ = s.log_.last_index() + 1;
    p.last_heard_ = ctx.now_;
    l.peers_.emplace(joining, p);
    replicate_to(ctx, joining, true);
}

bool is_listed_host(consensus_state const& s, host_name const& host)
{
    std::vector<host_name> const& hosts = s.settings_.control_hosts_;
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

void sync_peers_with_voters(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    leader& l = std::get<leader>(s.role_);
    for (voter const& v : s.log_.voters())
    {
        if (v == s.self_ || l.peers_.contains(v))
            continue;
        progress p;
        p.next_ = s.log_.last_index(); // the entry just appended
        p.last_heard_ = ctx.now_;
        // Too old to count for the lease, and recent enough that check-quorum
        // does not make a new leader step down at once.
        p.acked_sent_at_ = ctx.now_ - s.settings_.election_min_;
        l.peers_.emplace(v, p);
    }
}

// A lost disk is removed first, unless the voters left would be fewer than the
// copies that an entry needs: then its host's new identity is added first.
void admit_joining_hosts(step_context& ctx)
{
    consensus_state const& s = ctx.state_;
    if (!is_leader(s) || !may_change_voters(s))
        return;
    std::optional<voter> const lost = find_lost_disk(ctx);
    if (lost && s.log_.voters().size() > s.settings_.min_durable_copies_)
        return remove_lost_disk(ctx, *lost);
    std::optional<voter> const joining = find_caught_up(ctx);
    if (joining && !remove_dead_voter(ctx))
        add_voter(ctx, *joining);
}

void handle(step_context& ctx, join_request const& m, wall_time wall)
{
    consensus_state& s = ctx.state_;
    if (!s.settings_.allow_unlisted_hosts_ &&
        !is_listed_host(s, m.voter_.host_))
        return;
    if (s.settings_.allow_unlisted_hosts_ && !s.log_.voters().empty())
    {
        std::set<host_name> const known = known_hosts(s);
        send_to(
            ctx, m.voter_.host_,
            control_host_list{{known.begin(), known.end()}});
    }
    if (m.log_empty_)
        record_uninitialized_host(ctx, m, wall);
    if (!is_leader(s) || is_voter(s, m.voter_))
        return;
    replicate_to_joining(ctx, m.voter_);
    admit_joining_hosts(ctx);
}

void handle(step_context& ctx, control_host_list const& m)
{
    if (ctx.state_.settings_.allow_unlisted_hosts_)
        ctx.state_.known_hosts_.insert(m.hosts_.begin(), m.hosts_.end());
}

void maintain_voters(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    leader& l = std::get<leader>(s.role_);
    std::erase_if(
        l.peers_,
        [&](auto const& peer)
        {
            return !is_voter(s, peer.first) &&
                   ctx.now_ - peer.second.last_heard_ > joining_host_timeout;
        });
    if (s.log_.voters().size() > min_voters_after_removal)
        remove_dead_voter(ctx);
    admit_joining_hosts(ctx);
}

} // namespace jackdawhall::control::detail
