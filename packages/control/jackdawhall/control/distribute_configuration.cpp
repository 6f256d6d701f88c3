#include <jackdawhall/control/distribute_configuration.hpp>

#include <algorithm>

namespace jackdawhall::control
{

std::pair<distribution, renewal_response> renew_lease(
    distribution state, state_machine const& m, renewal_request const& r,
    replica_status const& status, instant now)
{
    state.subscribers_[r.host_] = {
        r.incarnation_, now, r.known_revision_, r.newest_schema_, r.location_};
    renewal_response answer;
    answer.incarnation_ = r.incarnation_;
    answer.stamp_ = r.stamp_;
    answer.confirmed_ = status.age_.has_value();
    answer.age_ = status.age_.value_or(duration{0});
    answer.leader_ = status.leader_;
    if (r.known_revision_ <= m.revision_)
        answer.update_ = update_since(m, r.known_revision_);
    return {std::move(state), std::move(answer)};
}

confirmation_response confirm_configuration(
    state_machine const& m, confirmation_request const& r,
    replica_status const& status)
{
    confirmation_response answer;
    answer.incarnation_ = r.incarnation_;
    answer.stamp_ = r.stamp_;
    answer.confirmed_ = status.age_.has_value();
    answer.age_ = status.age_.value_or(duration{0});
    if (r.known_revision_ <= m.revision_)
        answer.update_ = update_since(m, r.known_revision_);
    return answer;
}

distribution_step
push_changes(distribution state, state_machine const& m, instant now)
{
    distribution_step step;
    if (state.pushed_revision_ == m.revision_)
    {
        step.state_ = std::move(state);
        return step;
    }
    std::map<revision, configuration_update> updates;
    for (auto& [host, daemon] : state.subscribers_)
    {
        bool const silent = now - daemon.heard_ > subscriber_lifetime;
        if (silent || daemon.known_revision_ >= m.revision_)
            continue;
        auto const known = updates.find(daemon.known_revision_);
        configuration_update const& update =
            known != updates.end()
                ? known->second
                : updates
                      .emplace(
                          daemon.known_revision_,
                          update_since(m, daemon.known_revision_))
                      .first->second;
        step.effects_.push_back(send{{host, update}});
        daemon.known_revision_ = m.revision_;
    }
    state.pushed_revision_ = m.revision_;
    step.state_ = std::move(state);
    return step;
}

} // namespace jackdawhall::control
