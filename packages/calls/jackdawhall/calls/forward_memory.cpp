#include <jackdawhall/calls/forward_memory.hpp>

#include <algorithm>
#include <utility>

namespace jackdawhall::calls
{

namespace
{

std::size_t answer_bytes(forward_response const& a)
{
    ran const* r = std::get_if<ran>(&a.verdict_);
    if (!r)
        return 0;
    std::size_t bytes = r->answer_.body_.size();
    for (header const& field : r->answer_.headers_)
        bytes += field.name_.size() + field.value_.size();
    return bytes;
}

// Whether `newer` comes after `older` in one run of a daemon, or is the same.
bool follows(call_number newer, call_number older)
{
    return newer - older < max_forwards_of_run;
}

void drop_next_number(forward_memory& m)
{
    forward_key const key = m.numbers_due_.front().second;
    m.numbers_due_.pop_front();
    m.numbers_.erase(key);
    std::vector<call_number>& newest = m.forgotten_[key.first];
    for (call_number& known : newest)
    {
        if (follows(known, key.second))
            return;
        if (follows(key.second, known))
        {
            known = key.second;
            return;
        }
    }
    if (newest.size() == max_remembered_runs)
        newest.erase(newest.begin());
    newest.push_back(key.second);
}

// Keeps just the number of a forward.
void forget(forward_memory& m, forward_key const& key, instant now)
{
    if (m.numbers_.insert(key).second)
        m.numbers_due_.emplace_back(now + number_retention, key);
    if (m.numbers_.size() > max_kept_numbers)
        drop_next_number(m);
}

void drop_next_answer(forward_memory& m, instant now)
{
    auto const next = m.answers_due_.begin();
    auto const known = m.answers_.find(next->second);
    m.answer_bytes_ -= answer_bytes(known->second.answer_);
    forget(m, next->second, now);
    m.answers_.erase(known);
    m.answers_due_.erase(next);
}

void drop_excess_answers(forward_memory& m, instant now)
{
    while (m.answers_.size() > max_kept_answers ||
           m.answer_bytes_ > max_kept_answer_bytes)
        drop_next_answer(m, now);
}

} // namespace

forward_memory expire_memory(forward_memory m, instant now)
{
    while (!m.answers_due_.empty() && m.answers_due_.begin()->first <= now)
        drop_next_answer(m, now);
    while (!m.refused_due_.empty() && m.refused_due_.front().first <= now)
    {
        forget(m, m.refused_due_.front().second, now);
        m.refused_.erase(m.refused_due_.front().second);
        m.refused_due_.pop_front();
    }
    while (!m.numbers_due_.empty() && m.numbers_due_.front().first <= now)
        drop_next_number(m);
    return m;
}

forward_memory drop_answers(forward_memory m, std::size_t bytes, instant now)
{
    while (m.answer_bytes_ > bytes)
        drop_next_answer(m, now);
    return m;
}

forward_memory keep_answer(
    forward_memory m, forward_key const& key, forward_response answer,
    instant deadline, instant now)
{
    m = expire_memory(std::move(m), now);
    instant const until = deadline + answer_retention;
    if (m.answers_.contains(key))
        return m; // the entry is told the first answer
    if (now >= until)
    {
        forget(m, key, now);
        return m;
    }
    m.answer_bytes_ += answer_bytes(answer);
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

bool is_forgotten(forward_memory const& m, forward_key const& key)
{
    if (m.numbers_.contains(key))
        return true;
    auto const known = m.forgotten_.find(key.first);
    return known != m.forgotten_.end() &&
           std::any_of(
               known->second.begin(), known->second.end(),
               [&](call_number newest) { return follows(newest, key.second); });
}

forward_memory
refuse_forward(forward_memory m, forward_key const& key, instant now)
{
    m = expire_memory(std::move(m), now);
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
