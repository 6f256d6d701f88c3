#include <jackdawhall/calls/forward_memory.hpp>

#include <utility>

namespace jackdawhall::calls
{

namespace
{

// Ages beyond this are not plausible.
constexpr duration max_age = std::chrono::hours(1);

std::size_t body_bytes(forward_response const& a)
{
    ran const* r = std::get_if<ran>(&a.verdict_);
    return r ? r->answer_.body_.size() : 0;
}

void drop_next_answer(forward_memory& m)
{
    auto const next = m.answers_due_.begin();
    auto const known = m.answers_.find(next->second);
    m.answer_bytes_ -= body_bytes(known->second.answer_);
    m.answers_.erase(known);
    m.answers_due_.erase(next);
}

void drop_expired_answers(forward_memory& m, instant now)
{
    while (!m.answers_due_.empty() && m.answers_due_.begin()->first <= now)
        drop_next_answer(m);
}

void drop_excess_answers(forward_memory& m, instant now)
{
    while (m.answers_.size() > max_kept_answers ||
           m.answer_bytes_ > max_kept_answer_bytes)
    {
        drop_next_answer(m);
        m.complete_since_ = now;
    }
}

} // namespace

forward_memory keep_answer(
    forward_memory m, forward_key const& key, forward_response answer,
    instant deadline, instant now)
{
    drop_expired_answers(m, now);
    instant const until = deadline + answer_retention;
    if (now >= until || m.answers_.contains(key))
        return m; // the entry no longer waits, or has the first answer
    m.answer_bytes_ += body_bytes(answer);
    m.answers_.emplace(key, kept_answer{std::move(answer), until});
    m.answers_due_.emplace(until, key);
    drop_excess_answers(m, now);
    return m;
}

forward_response const*
find_answer(forward_memory const& m, forward_key const& key)
{
    auto const known = m.answers_.find(key);
    return known == m.answers_.end() ? nullptr : &known->second.answer_;
}

std::vector<call_number>
answered_forwards(forward_memory const& m, host_name const& entry)
{
    std::vector<call_number> numbers;
    auto known = m.answers_.lower_bound({entry, 0});
    for (; known != m.answers_.end() && known->first.first == entry; ++known)
        numbers.push_back(known->first.second);
    return numbers;
}

bool covers(forward_memory const& m, duration age, instant now)
{
    if (age < duration{0} || age > max_age)
        return false;
    return now - age - answer_retention >= m.complete_since_;
}

forward_memory
refuse_forward(forward_memory m, forward_key const& key, instant now)
{
    while (!m.refused_due_.empty() && m.refused_due_.front().first <= now)
    {
        m.refused_.erase(m.refused_due_.front().second);
        m.refused_due_.pop_front();
    }
    if (m.refused_.size() >= max_refused_forwards)
        return m;
    if (m.refused_.insert(key).second)
        m.refused_due_.emplace_back(now + refused_forward_lifetime, key);
    return m;
}

bool is_refused(forward_memory const& m, forward_key const& key)
{
    return m.refused_.contains(key);
}

} // namespace jackdawhall::calls
