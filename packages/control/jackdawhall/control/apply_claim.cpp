#include <jackdawhall/control/apply_command.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

void advance_horizon(state_machine& m, wall_time now)
{
    m.claims_horizon_ = std::max(m.claims_horizon_, now - claim_retention);
    while (!m.claims_.empty() && m.claims_.begin()->first < m.claims_horizon_)
        m.claims_.erase(m.claims_.begin());
}

held_claim const*
find_claim(state_machine const& m, wall_time key_time, claim_id const& id)
{
    auto const at = m.claims_.find(key_time);
    if (at == m.claims_.end())
        return nullptr;
    auto const held = at->second.find(id);
    return held == at->second.end() ? nullptr : &held->second;
}

claim_response decide_claim(state_machine& m, claim_command const& c)
{
    claim_response response{
        c.id_, c.run_, claim_result::expired, {}, c.holder_};
    std::optional<wall_time> const key_time = uuid_time(c.id_.key_);
    if (!key_time || *key_time < m.claims_horizon_)
        return response;
    held_claim const* held = find_claim(m, *key_time, c.id_);
    if (!held && *key_time > c.when_ + claim_future_limit)
    {
        response.result_ = claim_result::too_new;
        return response;
    }
    if (!held)
    {
        held_claim& granted = m.claims_[*key_time][c.id_];
        granted = {c.body_hash_, c.run_, c.holder_};
        held = &granted;
        ++m.claim_count_;
    }
    response.holder_ = held->holder_;
    if (held->run_ == c.run_)
        response.result_ = claim_result::granted;
    else if (held->body_hash_ != c.body_hash_)
        response.result_ = claim_result::body_mismatch;
    else
        response.result_ = claim_result::held;
    return response;
}

} // namespace

apply_step apply_claim(state_machine m, claim_command const& c)
{
    advance_horizon(m, c.when_);
    claim_response const response = decide_claim(m, c);
    return {std::move(m), response};
}

apply_step apply_release(state_machine m, release_command const& c)
{
    std::optional<wall_time> const key_time = uuid_time(c.id_.key_);
    auto const at = key_time ? m.claims_.find(*key_time) : m.claims_.end();
    if (at != m.claims_.end())
    {
        auto const held = at->second.find(c.id_);
        if (held != at->second.end() && held->second.run_ == c.run_)
        {
            at->second.erase(held);
            --m.claim_count_;
        }
        if (at->second.empty())
            m.claims_.erase(at);
    }
    return {std::move(m), claim_released{c.id_, c.run_, c.holder_}};
}

} // namespace jackdawhall::control
