// Division of shared rates among the control hosts, and of budgets among the
// daemons, by what the hosts report.
#include <jackdawhall/control/track_membership.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

std::int64_t demand_of(
    std::map<account_name, std::int64_t> const& demand,
    account_name const& account)
{
    auto const known = demand.find(account);
    return known == demand.end() ? 0 : known->second;
}

// The demand that another host's share answers to.
std::int64_t demand_at_peer(
    peer_control_host const& other, account_name const& account, instant now)
{
    std::int64_t const reported = demand_of(other.demand_, account);
    return now < other.earlier_until_
               ? std::max(reported, demand_of(other.earlier_demand_, account))
               : reported;
}

// Whether this host started lately and has not heard yet from all others.
bool awaits_first_reports(membership const& m, instant now)
{
    if (now - m.started_at_ >= peer_silence_timeout)
        return false;
    return std::any_of(
        m.peer_hosts_.begin(), m.peer_hosts_.end(),
        [&](host_name const& host) { return !m.peers_.contains(host); });
}

} // namespace

host_share compute_host_share(
    membership const& state, account_name const& account,
    majority_contact contact, instant now)
{
    if (awaits_first_reports(state, now))
    {
        int const all = static_cast<int>(state.peer_hosts_.size()) + 1;
        return {1.0 / all, all};
    }
    std::int64_t const own = demand_of(state.reported_demand_, account);
    std::int64_t total = own;
    int hosts = 1;
    for (auto const& other : state.peers_)
    {
        if (contact == majority_contact::recent &&
            now - other.second.heard_ >= peer_silence_timeout)
            continue;
        ++hosts;
        total += demand_at_peer(other.second, account, now);
    }
    if (total == 0)
        return {1.0 / hosts, hosts};
    double const demand_fraction =
        static_cast<double>(own) / static_cast<double>(total);
    return {
        (1 - evenly_split_fraction) * demand_fraction +
            evenly_split_fraction / hosts,
        hosts};
}

std::int64_t
count_daemons(membership const& state, majority_contact contact, instant now)
{
    if (now - state.started_at_ < peer_silence_timeout)
        return 0;
    std::int64_t count =
        static_cast<std::int64_t>(state.attached_daemons_.size());
    for (auto const& other : state.peers_)
    {
        bool const counts = contact == majority_contact::unknown ||
                            now - other.second.heard_ < peer_silence_timeout;
        count += counts ? other.second.daemons_ : 0;
    }
    return count;
}

} // namespace jackdawhall::control
