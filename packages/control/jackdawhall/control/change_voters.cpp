// First start, and the return of a host that lost its disk.
#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control::detail
{

namespace
{

bool all_are_blank(work const& w)
{
    consensus_state const& s = w.state_;
    return std::all_of(
        s.settings_.control_hosts_.begin(), s.settings_.control_hosts_.end(),
        [&](host_name const& host)
        {
            if (host == s.settings_.self_)
                return true;
            auto const found = s.blank_hosts_.find(host);
            return found != s.blank_hosts_.end() &&
                   w.now_ - found->second.heard_ < blank_host_lifetime;
        });
}

bool is_first(consensus_state const& s)
{
    return !s.settings_.control_hosts_.empty() &&
           s.settings_.control_hosts_.front() == s.settings_.self_;
}

// Writes the first entry. Safe only because every control host has said that
// it holds nothing, by the very disk that the entry names.
void write_first_entry(work& w, wall_time wall)
{
    consensus_state& s = w.state_;
    std::vector<voter> voters{s.self_};
    for (auto const& blank : s.blank_hosts_)
        voters.push_back(blank.second.voter_);
    std::sort(voters.begin(), voters.end());
    s.hard_state_ = {1, std::nullopt};
    save_hard_state(w);
    save_entries(w, {{1, 1, voters_command{std::move(voters), wall}}});
    s.election_due_ = w.now_;
    say(w, "all control hosts are blank; wrote the first entry");
}

void note_blank_host(work& w, join_request const& m, wall_time wall)
{
    consensus_state& s = w.state_;
    s.blank_hosts_[m.voter_.host_] = {m.voter_, w.now_};
    if (s.log_.last_index() == 0 && s.settings_.first_start_ && is_first(s) &&
        all_are_blank(w))
        write_first_entry(w, wall);
}

bool may_change_voters(consensus_state const& s)
{
    leader const& l = std::get<leader>(s.role_);
    return s.commit_ >= l.first_own_ && s.commit_ >= s.log_.voters_index();
}

std::vector<voter> without(std::vector<voter> voters, voter const& gone)
{
    std::erase(voters, gone);
    return voters;
}

std::optional<voter> find_dead_voter(work const& w)
{
    consensus_state const& s = w.state_;
    leader const& l = std::get<leader>(s.role_);
    std::optional<voter> dead;
    std::size_t alive = 0;
    for (voter const& v : s.log_.voters())
    {
        auto const known = l.peers_.find(v);
        bool const silent = v != s.self_ && (known == l.peers_.end() ||
                                             w.now_ - known->second.heard_ >
                                                 dead_voter_silence);
        if (silent)
            dead = v;
        else
            ++alive;
    }
    std::size_t const left = s.log_.voters().size() - 1;
    bool const safe = alive >= std::max(left / 2 + 1, s.settings_.copies_);
    return safe ? dead : std::nullopt;
}

// Makes room for a host that joins; says whether it did.
bool remove_dead_voter(work& w)
{
    consensus_state const& s = w.state_;
    std::optional<voter> const dead = find_dead_voter(w);
    if (!s.settings_.open_ || !dead || !may_change_voters(s))
        return false;
    say(w, "removes a silent voter", {{"host", dead->host_.str()}});
    append_command(w, voters_command{without(s.log_.voters(), *dead), {}});
    return true;
}

void remove_lost_disk(work& w, voter lost)
{
    leader const& l = std::get<leader>(w.state_.role_);
    auto const known = l.peers_.find(lost);
    bool const silent =
        known == l.peers_.end() ||
        w.now_ - known->second.heard_ > w.state_.settings_.election_max_;
    if (!silent || !may_change_voters(w.state_))
        return;
    say(w, "removes a lost disk from the voters", {{"host", lost.host_.str()}});
    append_command(
        w, voters_command{without(w.state_.log_.voters(), lost), {}});
}

void add_when_caught_up(work& w, voter const& joining)
{
    consensus_state& s = w.state_;
    leader& l = std::get<leader>(s.role_);
    auto const known = l.peers_.find(joining);
    if (known == l.peers_.end())
    {
        std::erase_if(
            l.peers_, [&](auto const& peer)
            { return peer.first.host_ == joining.host_; });
        progress p;
        p.next_ = s.log_.last_index() + 1;
        p.heard_ = w.now_;
        l.peers_.emplace(joining, p);
        return replicate_to(w, joining, true);
    }
    known->second.heard_ = w.now_;
    if (known->second.match_ < s.commit_ || !may_change_voters(s) ||
        remove_dead_voter(w))
        return;
    std::vector<voter> voters = s.log_.voters();
    voters.push_back(joining);
    std::sort(voters.begin(), voters.end());
    say(w, "adds a voter", {{"host", joining.host_.str()}});
    append_command(w, voters_command{std::move(voters), {}});
}

bool is_control_host(consensus_state const& s, host_name const& host)
{
    std::vector<host_name> const& hosts = s.settings_.control_hosts_;
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

void follow_voters(work& w)
{
    consensus_state& s = w.state_;
    leader& l = std::get<leader>(s.role_);
    for (voter const& v : s.log_.voters())
    {
        if (v == s.self_ || l.peers_.contains(v))
            continue;
        progress p;
        p.next_ = s.log_.last_index();
        p.heard_ = w.now_;
        p.acked_ = w.now_ - s.settings_.election_min_;
        l.peers_.emplace(v, p);
    }
}

void handle(work& w, join_request const& m, wall_time wall)
{
    consensus_state& s = w.state_;
    if (!s.settings_.open_ && !is_control_host(s, m.voter_.host_))
        return;
    if (s.settings_.open_ && !s.log_.voters().empty())
    {
        std::set<host_name> const known = known_hosts(s);
        send_to(
            w, m.voter_.host_, control_host_list{{known.begin(), known.end()}});
    }
    if (m.log_empty_)
        note_blank_host(w, m, wall);
    if (!is_leader(s) || is_voter(s, m.voter_))
        return;
    auto const same_host = std::find_if(
        s.log_.voters().begin(), s.log_.voters().end(),
        [&](voter const& v) { return v.host_ == m.voter_.host_; });
    if (same_host != s.log_.voters().end())
        return remove_lost_disk(w, *same_host);
    add_when_caught_up(w, m.voter_);
}

void handle(work& w, control_host_list const& m)
{
    if (w.state_.settings_.open_)
        w.state_.known_hosts_.insert(m.hosts_.begin(), m.hosts_.end());
}

void tend_voters(work& w)
{
    consensus_state& s = w.state_;
    leader& l = std::get<leader>(s.role_);
    std::erase_if(
        l.peers_,
        [&](auto const& peer)
        {
            return !is_voter(s, peer.first) &&
                   w.now_ - peer.second.heard_ > joining_lifetime;
        });
    if (s.log_.voters().size() > enough_voters)
        remove_dead_voter(w);
}

} // namespace jackdawhall::control::detail
