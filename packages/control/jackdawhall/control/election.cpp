// Elections: a trial first (pre-vote), so that a host that was cut off does not
// raise terms when it comes back, then the real vote.
#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control::detail
{

namespace
{

bool is_as_complete(consensus_state const& s, vote_request const& m)
{
    if (m.last_term_ != s.log_.last_term())
        return m.last_term_ > s.log_.last_term();
    return m.last_index_ >= s.log_.last_index();
}

// A voter that hears from a leader refuses to help depose it. This is what the
// leader's lease rests on.
bool is_quiet(work const& w)
{
    return w.now_ < w.state_.quiet_until_ || holds_lease(w.state_, w.now_);
}

void ask_for_votes(work& w, bool trial)
{
    consensus_state& s = w.state_;
    term_number const term = s.hard_state_.term_ + (trial ? 1 : 0);
    for (voter const& peer : s.log_.voters())
    {
        if (peer == s.self_)
            continue;
        send_to(
            w, peer.host_,
            vote_request{
                term, s.self_, peer, s.log_.last_index(), s.log_.last_term(),
                trial});
    }
}

void start_election(work& w);

void count_votes(work& w)
{
    candidate const& c = std::get<candidate>(w.state_.role_);
    if (c.votes_.size() < majority(w.state_))
        return;
    if (c.trial_)
        start_election(w);
    else
        become_leader(w);
}

void start_election(work& w)
{
    consensus_state& s = w.state_;
    s.hard_state_ = {s.hard_state_.term_ + 1, s.self_};
    save_hard_state(w);
    s.role_ = candidate{false, {s.self_}};
    reset_election(w);
    ask_for_votes(w, false);
    count_votes(w);
}

void answer_trial(work& w, vote_request const& m)
{
    consensus_state const& s = w.state_;
    bool const granted =
        m.term_ > s.hard_state_.term_ && !is_quiet(w) && is_as_complete(s, m);
    send_to(
        w, m.candidate_.host_, vote_response{m.term_, s.self_, true, granted});
}

} // namespace

void reset_election(work& w)
{
    consensus_settings const& settings = w.state_.settings_;
    auto const spread = static_cast<std::uint64_t>(
        (settings.election_max_ - settings.election_min_).count());
    duration const extra{
        static_cast<std::int64_t>(w.state_.random_.below(spread + 1))};
    w.state_.election_due_ = w.now_ + settings.election_min_ + extra;
}

void become_follower(work& w, term_number term, std::optional<host_name> leader)
{
    consensus_state& s = w.state_;
    if (term > s.hard_state_.term_)
    {
        s.hard_state_ = {term, std::nullopt};
        save_hard_state(w);
    }
    if (!std::holds_alternative<follower>(s.role_))
        reset_election(w);
    s.role_ = follower{std::move(leader)};
}

void start_trial(work& w)
{
    w.state_.role_ = candidate{true, {w.state_.self_}};
    reset_election(w);
    ask_for_votes(w, true);
    count_votes(w);
}

void become_leader(work& w)
{
    consensus_state& s = w.state_;
    leader l;
    l.first_own_ = s.log_.last_index() + 1;
    l.next_heartbeat_ = w.now_ + s.settings_.heartbeat_;
    s.role_ = std::move(l);
    s.confirmed_.reset();
    w.output_.became_leader_ = true;
    say(w, "leads");
    append_command(w, no_op{});
}

void handle(work& w, vote_request const& m)
{
    consensus_state& s = w.state_;
    if (m.recipient_ != s.self_)
        return; // meant for a disk that this host no longer has
    if (m.pre_vote_)
        return answer_trial(w, m);
    if (is_quiet(w))
        return;
    if (m.term_ > s.hard_state_.term_)
        become_follower(w, m.term_, std::nullopt);
    bool const free =
        !s.hard_state_.voted_for_ || *s.hard_state_.voted_for_ == m.candidate_;
    bool const granted =
        m.term_ == s.hard_state_.term_ && free && is_as_complete(s, m);
    if (granted)
    {
        if (!s.hard_state_.voted_for_)
        {
            s.hard_state_.voted_for_ = m.candidate_;
            save_hard_state(w);
        }
        reset_election(w);
    }
    send_to(
        w, m.candidate_.host_,
        vote_response{s.hard_state_.term_, s.self_, false, granted});
}

void handle(work& w, vote_response const& m)
{
    consensus_state& s = w.state_;
    candidate* c = std::get_if<candidate>(&s.role_);
    if (!m.pre_vote_ && m.term_ > s.hard_state_.term_)
        return become_follower(w, m.term_, std::nullopt);
    if (!c || c->trial_ != m.pre_vote_ || !m.granted_ || !is_voter(s, m.voter_))
        return;
    if (m.term_ != s.hard_state_.term_ + (m.pre_vote_ ? 1 : 0))
        return;
    c->votes_.insert(m.voter_);
    count_votes(w);
}

} // namespace jackdawhall::control::detail
