#include <jackdawhall/daemon/node_settings.hpp>

#include <algorithm>

namespace jackdawhall::daemon
{

namespace
{

// A withdrawn key must be dead a little before the bound, since a request may
// still be on its way to its server.
constexpr duration revoke_margin = std::chrono::milliseconds(600);
// Renewals for each bound in which a change must be in force.
constexpr int renewals_in_force = 4;
constexpr int control_timeouts_in_force = 2;
// Backend servers say that they live every one or two seconds, some late.
constexpr duration announcement_lifetime = std::chrono::seconds(8);

// A graceful stop takes new calls for half of its grace at most, and leaves
// exit_margin of it for the end of the process.
constexpr int accepting_divisor = 2;
constexpr duration exit_margin = std::chrono::milliseconds(300);
// By then callers are led elsewhere: two checks of readiness, a second apart,
// have failed. What is taken later has less time to finish.
constexpr duration max_accept_period = std::chrono::milliseconds(2500);

rate_tolerance tolerance_of(settings::infrastructure const& i)
{
    return {
        i.rate_overage_, i.rate_slack_, std::chrono::seconds(i.rate_window_s_)};
}

void take_infrastructure(calls::settings& to, settings::infrastructure const& i)
{
    duration const in_force = std::chrono::milliseconds(i.in_force_ms_);
    to.beside_ = i.beside_;
    to.freshness_lease_ =
        std::chrono::milliseconds(i.revoke_ms_) - revoke_margin;
    to.renewal_interval_ = in_force / renewals_in_force;
    to.control_timeout_ = in_force / control_timeouts_in_force;
    to.announcement_lifetime_ = announcement_lifetime;
    to.tolerance_ = tolerance_of(i);
    to.admission_ = calls::announced_slots{};
    to.retry_budget_policy_.share_ = i.retry_share_;
    to.retry_budget_policy_.slack_ = i.retry_slack_;
    to.retry_budget_policy_.window_ = std::chrono::seconds(i.retry_window_s_);
    duration const grace = std::chrono::seconds(i.grace_s_);
    to.shutdown_periods_ = {
        std::min<duration>(grace / accepting_divisor, max_accept_period),
        grace - exit_margin};
}

} // namespace

calls::settings call_settings(settings::daemon_settings const& s)
{
    calls::settings made;
    made.self_ = s.host_;
    made.location_ = s.location_;
    made.gate_ = s.peers_;
    // A control host without callers asks for nothing.
    for (settings::control_host const& host : s.control_hosts_)
    {
        if (s.call_)
            made.control_hosts_.push_back(host.host_);
    }
    made.newest_schema_ = s.newest_schema_;
    made.retries_ = s.retries_;
    made.discovers_control_hosts_ = s.control_hosts_learnt_;
    if (s.infrastructure_)
        take_infrastructure(made, *s.infrastructure_);
    return made;
}

control::consensus_settings
consensus_settings(settings::daemon_settings const& s)
{
    control::consensus_settings made;
    made.self_ = s.host_;
    for (settings::control_host const& host : s.control_hosts_)
        made.control_hosts_.push_back(host.host_);
    std::sort(made.control_hosts_.begin(), made.control_hosts_.end());
    made.allow_unlisted_hosts_ = s.control_hosts_learnt_;
    made.may_bootstrap_ = s.first_start_;
    if (s.infrastructure_)
        made.min_durable_copies_ = s.infrastructure_->lost_disks_ + 1;
    return made;
}

control::node_options node_options(settings::daemon_settings const& s)
{
    control::node_options made;
    made.location_ = s.location_;
    if (s.infrastructure_)
        made.tolerance_ = tolerance_of(*s.infrastructure_);
    return made;
}

} // namespace jackdawhall::daemon
