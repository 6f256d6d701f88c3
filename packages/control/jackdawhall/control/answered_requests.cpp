#include <jackdawhall/control/answered_requests.hpp>

namespace jackdawhall::control
{

namespace
{

void drop_oldest(answered_requests& known)
{
    known.answers_.erase(known.oldest_first_.front());
    known.oldest_first_.pop_front();
}

bool is_expired(
    answered_requests const& known, request_key const& key, instant now)
{
    return now - known.answers_.at(key).at_ >= answered_request_lifetime;
}

} // namespace

answered_requests remember_answer(
    answered_requests known, request_key const& key, change_response response,
    instant now)
{
    while (!known.oldest_first_.empty() &&
           is_expired(known, known.oldest_first_.front(), now))
        drop_oldest(known);
    if (known.answers_.contains(key))
        return known;
    if (known.answers_.size() >= max_answered_requests)
        drop_oldest(known);
    known.answers_.emplace(key, answered_request{std::move(response), now});
    known.oldest_first_.push_back(key);
    return known;
}

change_response const*
find_answer(answered_requests const& known, request_key const& key)
{
    auto const found = known.answers_.find(key);
    return found == known.answers_.end() ? nullptr : &found->second.response_;
}

std::vector<change_response> answers_since(
    answered_requests const& known, host_name const& requester, instant since)
{
    std::vector<change_response> answers;
    auto found = known.answers_.lower_bound({requester, 0});
    for (; found != known.answers_.end() && found->first.first == requester;
         ++found)
    {
        if (found->second.at_ >= since)
            answers.push_back(found->second.response_);
    }
    return answers;
}

} // namespace jackdawhall::control
