#include <jackdawhall/control/consensus.hpp>

#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control
{

namespace detail
{

void send_to(work& w, host_name const& to, message m)
{
    w.output_.effects_.push_back(send{{to, std::move(m)}});
}

void say(work& w, std::string sentence, log_fields fields)
{
    fields.emplace_back("term", std::to_string(w.state_.hard_state_.term_));
    fields.emplace_back("commit", std::to_string(w.state_.commit_));
    w.output_.effects_.push_back(
        log_message{std::move(sentence), std::move(fields)});
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

void save_hard_state(work& w)
{
    store_number const number = ++w.state_.last_store_;
    w.output_.effects_.push_back(
        store_hard_state{number, w.state_.hard_state_});
}

void save_entries(work& w, std::vector<log_entry> entries)
{
    consensus_state& s = w.state_;
    for (log_entry const& entry : entries)
        s.log_.append(entry);
    store_number const number = ++s.last_store_;
    s.pending_stores_.push_back({number, s.log_.last_index()});
    w.output_.effects_.push_back(store_entries{number, std::move(entries)});
}

void deliver_committed(work& w)
{
    consensus_state& s = w.state_;
    while (s.delivered_ < s.commit_)
        w.output_.committed_.push_back(s.log_.at(++s.delivered_));
}

} // namespace detail

using detail::work;

namespace
{

consensus_step finish(work w)
{
    return {std::move(w.state_), std::move(w.output_)};
}

work begin(consensus_state state, instant now)
{
    return work{std::move(state), {}, now};
}

void join_when_due(work& w)
{
    consensus_state& s = w.state_;
    if (detail::is_voter(s, s.self_) || w.now_ < s.join_due_)
        return;
    s.join_due_ = w.now_ + join_interval;
    bool const blank = s.log_.last_index() == 0;
    for (host_name const& host : known_hosts(s))
    {
        if (host != s.settings_.self_)
            detail::send_to(w, host, join_request{s.self_, blank});
    }
}

// A leader that a majority no longer follows must stop: another may lead.
void step_down_when_alone(work& w)
{
    instant const heard = detail::majority_heard(w.state_, w.now_);
    if (w.now_ - heard < w.state_.settings_.election_max_)
        return;
    detail::say(w, "steps down; lost contact with a majority of voters");
    detail::become_follower(w, w.state_.hard_state_.term_, std::nullopt);
}

void lead_when_due(work& w)
{
    leader& l = std::get<leader>(w.state_.role_);
    if (w.now_ < l.next_heartbeat_)
        return;
    l.next_heartbeat_ = w.now_ + w.state_.settings_.heartbeat_;
    detail::tend_voters(w);
    detail::replicate_all(w, true);
    step_down_when_alone(w);
}

} // namespace

consensus_state make_consensus(
    consensus_settings settings, recovered disk, random_source random,
    instant now)
{
    consensus_state s;
    s.settings_ = std::move(settings);
    s.self_ = std::move(disk.self_);
    s.hard_state_ = std::move(disk.hard_state_);
    s.log_ = entry_log(
        disk.snapshot_.last_index_, disk.snapshot_.last_term_,
        std::move(disk.snapshot_.voters_), std::move(disk.entries_));
    s.commit_ = s.delivered_ = s.log_.base_index();
    s.durable_ = s.log_.last_index();
    s.random_ = random;
    s.incarnation_ = s.random_.next();
    s.known_hosts_.insert(
        s.settings_.control_hosts_.begin(), s.settings_.control_hosts_.end());
    s.quiet_until_ = now + s.settings_.election_min_;
    s.join_due_ = now;
    work w = begin(std::move(s), now);
    detail::reset_election(w);
    return std::move(w.state_);
}

consensus_step receive(
    consensus_state state, consensus_message const& message, clock_reading at)
{
    work w = begin(std::move(state), at.now_);
    std::visit(
        overloaded{
            [&](join_request const& m) { detail::handle(w, m, at.wall_); },
            [&](auto const& m) { detail::handle(w, m); },
        },
        message);
    return finish(std::move(w));
}

consensus_step pass_time(consensus_state state, clock_reading at)
{
    work w = begin(std::move(state), at.now_);
    join_when_due(w);
    if (std::holds_alternative<leader>(w.state_.role_))
        lead_when_due(w);
    else if (
        detail::is_voter(w.state_, w.state_.self_) &&
        w.now_ >= w.state_.election_due_)
        detail::start_trial(w);
    return finish(std::move(w));
}

consensus_step
disk_synced(consensus_state state, store_number number, instant now)
{
    work w = begin(std::move(state), now);
    consensus_state& s = w.state_;
    while (!s.pending_stores_.empty() &&
           s.pending_stores_.front().number_ <= number)
    {
        s.durable_ =
            std::max(s.durable_, s.pending_stores_.front().last_index_);
        s.pending_stores_.pop_front();
    }
    detail::advance_commit(w);
    return finish(std::move(w));
}

consensus_step
propose(consensus_state state, std::vector<command> commands, instant now)
{
    work w = begin(std::move(state), now);
    if (!std::holds_alternative<leader>(w.state_.role_) || commands.empty())
        return finish(std::move(w));
    std::vector<log_entry> entries;
    entries.reserve(commands.size());
    log_index index = w.state_.log_.last_index();
    for (command& c : commands)
        entries.push_back({++index, w.state_.hard_state_.term_, std::move(c)});
    detail::save_entries(w, std::move(entries));
    detail::replicate_all(w, false);
    return finish(std::move(w));
}

consensus_step compact(consensus_state state, snapshot taken)
{
    work w = begin(std::move(state), instant{});
    consensus_state& s = w.state_;
    log_index const index = taken.last_index_;
    store_number const number = ++s.last_store_;
    s.pending_stores_.push_back({number, s.log_.last_index()});
    std::vector<log_entry> kept = s.log_.from(index + 1, SIZE_MAX);
    w.output_.effects_.push_back(store_snapshot{
        number, std::move(taken), s.hard_state_, std::move(kept)});
    std::size_t const trailing = s.settings_.trailing_entries_;
    if (index > s.log_.base_index() + trailing)
        s.log_.compact(index - trailing);
    return finish(std::move(w));
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
    if (!l || state.commit_ < l->first_own_)
        return false;
    duration const length = state.settings_.election_min_ -
                            state.settings_.election_min_ / clock_drift_divisor;
    return now < detail::majority_heard(state, now) + length;
}

std::optional<duration> knowledge_age(consensus_state const& state, instant now)
{
    if (leader const* l = std::get_if<leader>(&state.role_))
    {
        if (state.commit_ < l->first_own_)
            return std::nullopt;
        return now - detail::majority_heard(state, now);
    }
    if (!state.confirmed_)
        return std::nullopt;
    return now - *state.confirmed_;
}

instant next_due(consensus_state const& state)
{
    if (leader const* l = std::get_if<leader>(&state.role_))
        return l->next_heartbeat_;
    if (!detail::is_voter(state, state.self_))
        return state.join_due_;
    return state.election_due_;
}

} // namespace jackdawhall::control
