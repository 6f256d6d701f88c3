// Leader election. A pre-vote precedes each election, so that a host that was
// partitioned does not raise the term when it reconnects.
#include <algorithm>

#include <jackdawhall/control/consensus_detail.hpp>

namespace jackdawhall::control::detail
{

namespace
{

bool is_log_up_to_date(consensus_state const& s, vote_request const& m)
{
    if (m.last_term_ != s.log_.last_term())
        return m.last_term_ > s.log_.last_term();
    return m.last_index_ >= s.log_.last_index();
}

// Leader stickiness: a host refuses vote requests for election_min_ after it
// started or last heard from a leader, and a leader refuses them while it holds
// its lease. The safety of the lease depends on this.
bool refuses_votes(step_context const& ctx)
{
    return ctx.now_ < ctx.state_.no_vote_until_ ||
           holds_lease(ctx.state_, ctx.now_);
}

void request_votes(step_context& ctx, bool pre_vote)
{
    consensus_state& s = ctx.state_;
    term_number const term = s.hard_state_.term_ + (pre_vote ? 1 : 0);
    for (voter const& peer : s.log_.voters())
    {
        if (peer == s.self_)
            continue;
        send_to(
            ctx, peer.host_,
            vote_request{
                term, s.self_, peer, s.log_.last_index(), s.log_.last_term(),
                pre_vote});
    }
}

void start_election(step_context& ctx);

void count_votes(step_context& ctx)
{
    candidate const& c = std::get<candidate>(ctx.state_.role_);
    if (c.votes_.size() < majority(ctx.state_))
        return;
    if (c.pre_vote_)
        start_election(ctx);
    else
        become_leader(ctx);
}

void start_election(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    s.hard_state_ = {s.hard_state_.term_ + 1, s.self_};
    save_hard_state(ctx);
    s.role_ = candidate{false, {s.self_}};
    reset_election_timer(ctx);
    request_votes(ctx, false);
    count_votes(ctx);
}

void answer_pre_vote(step_context& ctx, vote_request const& m)
{
    consensus_state const& s = ctx.state_;
    bool const granted = m.term_ > s.hard_state_.term_ && !refuses_votes(ctx) &&
                         is_log_up_to_date(s, m);
    send_to(
        ctx, m.candidate_.host_,
        vote_response{m.term_, s.self_, true, granted});
}

} // namespace

void reset_election_timer(step_context& ctx)
{
    consensus_settings const& settings = ctx.state_.settings_;
    auto const spread = static_cast<std::uint64_t>(
        (settings.election_max_ - settings.election_min_).count());
    duration const extra{
        static_cast<std::int64_t>(ctx.state_.random_.below(spread + 1))};
    ctx.state_.election_deadline_ = ctx.now_ + settings.election_min_ + extra;
}

void become_follower(
    step_context& ctx, term_number term, std::optional<host_name> leader)
{
    consensus_state& s = ctx.state_;
    if (term > s.hard_state_.term_)
    {
        s.hard_state_ = {term, std::nullopt};
        save_hard_state(ctx);
    }
    if (!std::holds_alternative<follower>(s.role_))
        reset_election_timer(ctx);
    s.role_ = follower{std::move(leader)};
}

void start_pre_vote(step_context& ctx)
{
    ctx.state_.role_ = candidate{true, {ctx.state_.self_}};
    reset_election_timer(ctx);
    request_votes(ctx, true);
    count_votes(ctx);
}

void become_leader(step_context& ctx)
{
    consensus_state& s = ctx.state_;
    leader l;
    l.term_first_index_ = s.log_.last_index() + 1;
    l.next_heartbeat_ = ctx.now_ + s.settings_.heartbeat_;
    s.role_ = std::move(l);
    s.complete_as_of_.reset();
    ctx.output_.became_leader_ = true;
    log_event(ctx, "became leader");
    append_command(ctx, no_op{});
}

void handle(step_context& ctx, vote_request const& m)
{
    consensus_state& s = ctx.state_;
    if (m.recipient_ != s.self_)
        return; // addressed to a disk identity that this host lost
    if (m.pre_vote_)
        return answer_pre_vote(ctx, m);
    if (refuses_votes(ctx))
        return;
    if (m.term_ > s.hard_state_.term_)
        become_follower(ctx, m.term_, std::nullopt);
    bool const vote_available =
        !s.hard_state_.voted_for_ || *s.hard_state_.voted_for_ == m.candidate_;
    bool const granted = m.term_ == s.hard_state_.term_ && vote_available &&
                         is_log_up_to_date(s, m);
    if (granted)
    {
        if (!s.hard_state_.voted_for_)
        {
            s.hard_state_.voted_for_ = m.candidate_;
            save_hard_state(ctx);
        }
        reset_election_timer(ctx);
    }
    send_to(
        ctx, m.candidate_.host_,
        vote_response{s.hard_state_.term_, s.self_, false, granted});
}

void handle(step_context& ctx, vote_response const& m)
{
    consensus_state& s = ctx.state_;
    candidate* c = std::get_if<candidate>(&s.role_);
    // The term of a pre-vote response is that of the request, not the voter's.
    if (!m.pre_vote_ && m.term_ > s.hard_state_.term_)
        return become_follower(ctx, m.term_, std::nullopt);
    if (!c || c->pre_vote_ != m.pre_vote_ || !m.granted_ ||
        !is_voter(s, m.voter_))
        return;
    if (m.term_ != s.hard_state_.term_ + (m.pre_vote_ ? 1 : 0))
        return;
    c->votes_.insert(m.voter_);
    count_votes(ctx);
}

} // namespace jackdawhall::control::detail
