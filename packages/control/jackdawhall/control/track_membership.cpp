#include <jackdawhall/control/track_membership.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

server_key key_of(backend_server const& server)
{
    return {server.host_, server.id_};
}

// Forgets removed servers beyond max_removed_servers, oldest first.
void forget_removed_servers(service_members& members)
{
    while (members.changed_.size() >
           members.servers_.size() + max_removed_servers)
    {
        auto oldest = members.changed_.end();
        for (auto i = members.changed_.begin(); i != members.changed_.end();
             ++i)
        {
            bool const removed = !members.servers_.contains(i->first);
            if (removed && (oldest == members.changed_.end() ||
                            i->second < oldest->second))
                oldest = i;
        }
        members.forgotten_version_ =
            std::max(members.forgotten_version_, oldest->second);
        members.changed_.erase(oldest);
    }
}

void mark_changed(membership& m, service_members& members, server_key key)
{
    members.version_ = ++m.version_;
    members.changed_.insert_or_assign(std::move(key), members.version_);
    forget_removed_servers(members);
}

void upsert_server(
    membership& m, host_name const& reporter, backend_server const& server)
{
    service_members& members = m.services_[server.service_];
    std::map<host_name, backend_server>& known =
        members.servers_[key_of(server)];
    auto const held = known.find(reporter);
    if (held != known.end() && held->second == server)
        return;
    known.insert_or_assign(reporter, server);
    mark_changed(m, members, key_of(server));
}

void remove_server(
    membership& m, host_name const& reporter, backend_server const& server)
{
    auto const service = m.services_.find(server.service_);
    if (service == m.services_.end())
        return;
    auto const known = service->second.servers_.find(key_of(server));
    if (known == service->second.servers_.end())
        return;
    known->second.erase(reporter);
    if (known->second.empty())
        service->second.servers_.erase(known);
    mark_changed(m, service->second, key_of(server));
}

// Replaces the servers announced by one attached daemon.
void replace_daemon_servers(
    membership& m, host_name const& host,
    std::vector<backend_server> const& servers)
{
    attached_daemon& daemon = m.attached_daemons_[host];
    for (backend_server const& old : daemon.servers_)
    {
        bool const stays = std::any_of(
            servers.begin(), servers.end(),
            [&](backend_server const& current) {
                return key_of(current) == key_of(old) &&
                       current.service_ == old.service_;
            });
        if (stays)
            continue;
        remove_server(m, m.self_, old);
        m.unreported_servers_.insert(key_of(old));
    }
    for (backend_server const& server : servers)
    {
        auto const same =
            std::find(daemon.servers_.begin(), daemon.servers_.end(), server);
        if (same != daemon.servers_.end())
            continue;
        upsert_server(m, m.self_, server);
        m.unreported_servers_.insert(key_of(server));
    }
    daemon.servers_ = servers;
}

std::map<server_key, backend_server> local_servers(membership const& m)
{
    std::map<server_key, backend_server> own;
    for (auto const& daemon : m.attached_daemons_)
    {
        for (backend_server const& server : daemon.second.servers_)
            own.emplace(key_of(server), server);
    }
    return own;
}

// Hosts that have been silent for longer than `lifetime`.
template <class Heard>
std::vector<host_name> silent_hosts(
    std::map<host_name, Heard> const& known, instant now, duration lifetime)
{
    std::vector<host_name> silent;
    for (auto const& [host, one] : known)
    {
        if (now - one.heard_ > lifetime)
            silent.push_back(host);
    }
    return silent;
}

void drop_silent_daemons(membership& m, instant now)
{
    for (host_name const& host :
         silent_hosts(m.attached_daemons_, now, announcement_lifetime))
    {
        replace_daemon_servers(m, host, {});
        m.attached_daemons_.erase(host);
    }
}

void drop_peer(membership& m, host_name const& host)
{
    auto const known = m.peers_.find(host);
    if (known == m.peers_.end())
        return;
    for (auto const& server : known->second.servers_)
        remove_server(m, host, server.second);
    m.peers_.erase(known);
}

void drop_silent_peers(membership& m, instant now)
{
    for (host_name const& host :
         silent_hosts(m.peers_, now, peer_server_lifetime))
        drop_peer(m, host);
}

void add_host_summary(membership const& m, membership_report& report)
{
    report.location_ = m.location_;
    report.daemons_ = static_cast<std::int64_t>(m.attached_daemons_.size());
    for (auto const& [account, rate] : m.reported_demand_)
        report.demand_.push_back({account, rate});
}

void update_reported_demand(membership& m)
{
    m.reported_demand_.clear();
    for (auto const& daemon : m.attached_daemons_)
    {
        for (auto const& [account, rate] : daemon.second.demand_)
            m.reported_demand_[account] += rate;
    }
}

// Daemons that confirmed an answer since the last report.
std::vector<served_daemon> take_newly_served(membership& m)
{
    std::vector<served_daemon> served;
    for (auto& [host, daemon] : m.attached_daemons_)
    {
        if (!daemon.confirmed_ || daemon.reported_)
            continue;
        daemon.reported_ = true;
        served.push_back({host, daemon.incarnation_, daemon.confirmed_stamp_});
    }
    return served;
}

membership_report make_full_report(membership const& m)
{
    membership_report report{
        m.self_, m.incarnation_, 0, m.reported_version_, {}, {}};
    add_host_summary(m, report);
    for (auto const& server : local_servers(m))
        report.present_.push_back(server.second);
    return report;
}

membership_report make_incremental_report(membership& m)
{
    update_reported_demand(m);
    membership_report report{
        m.self_, m.incarnation_, m.reported_version_, m.reported_version_, {},
        {}};
    add_host_summary(m, report);
    report.newly_served_ = take_newly_served(m);
    if (m.unreported_servers_.empty())
        return report;
    report.to_version_ = ++m.reported_version_;
    std::map<server_key, backend_server> const own = local_servers(m);
    for (server_key const& key : m.unreported_servers_)
    {
        auto const server = own.find(key);
        if (server != own.end())
            report.present_.push_back(server->second);
        else
            report.removed_.push_back(key);
    }
    m.unreported_servers_.clear();
    return report;
}

void apply_servers(
    membership& m, host_name const& host, membership_report const& report)
{
    peer_control_host& from = m.peers_[host];
    for (server_key const& key : report.removed_)
    {
        auto const known = from.servers_.find(key);
        if (known == from.servers_.end())
            continue;
        remove_server(m, host, known->second);
        from.servers_.erase(known);
    }
    for (backend_server const& server : report.present_)
    {
        auto const known = from.servers_.find(key_of(server));
        if (known != from.servers_.end() &&
            known->second.service_ != server.service_)
            remove_server(m, host, known->second);
        from.servers_.insert_or_assign(key_of(server), server);
        upsert_server(m, host, server);
    }
}

} // namespace

namespace
{

// This host's own description of a server, or that of another one.
backend_server const& description_of(
    membership const& m, std::map<host_name, backend_server> const& reported)
{
    auto const own = reported.find(m.self_);
    return own != reported.end() ? own->second : reported.begin()->second;
}

service_servers servers_changed_since(
    membership const& m, service_name const& service, std::uint64_t version)
{
    service_members const& members = m.services_.at(service);
    service_servers changed{service, {}, true, {}};
    for (auto const& [key, at] : members.changed_)
    {
        if (at <= version)
            continue;
        auto const present = members.servers_.find(key);
        if (present == members.servers_.end())
            changed.removed_.push_back({key.first, key.second});
        else
            changed.servers_.push_back(description_of(m, present->second));
    }
    return changed;
}

} // namespace

membership
apply_announcement(membership state, renewal_request const& r, instant now)
{
    replace_daemon_servers(state, r.host_, r.servers_);
    attached_daemon& daemon = state.attached_daemons_[r.host_];
    daemon.heard_ = now;
    bool const is_earlier_build = r.contact_timeout_ == duration{0};
    daemon.confirmed_ =
        daemon.confirmed_ || is_earlier_build ||
        (daemon.last_stamp_ != 0 && r.answered_stamp_ == daemon.last_stamp_);
    daemon.last_stamp_ = r.stamp_;
    daemon.incarnation_ = r.incarnation_;
    daemon.confirmed_stamp_ = r.answered_stamp_;
    daemon.demand_.clear();
    if (!daemon.confirmed_)
        return state;
    for (account_demand const& d : r.demand_)
        daemon.demand_[d.account_] = d.milli_rate_;
    return state;
}

std::vector<service_servers>
changed_services(membership const& state, renewal_request const& r)
{
    bool const same_run = r.membership_incarnation_ == state.incarnation_ &&
                          r.membership_version_ <= state.version_;
    std::uint64_t const known = same_run ? r.membership_version_ : 0;
    std::vector<service_servers> changed;
    for (service_name const& wanted : r.wanted_)
    {
        auto const service = state.services_.find(wanted);
        if (service == state.services_.end() ||
            service->second.version_ <= known)
            continue;
        bool const partial =
            known != 0 && known >= service->second.forgotten_version_;
        changed.push_back(
            partial ? servers_changed_since(state, wanted, known)
                    : service_servers{wanted, servers_of(state, wanted)});
    }
    return changed;
}

membership_step
apply_report(membership state, membership_report const& report, instant now)
{
    membership_step step{std::move(state), {}};
    membership& m = step.state_;
    bool const is_full = report.from_version_ == 0;
    auto const known = m.peers_.find(report.origin_);
    bool const is_successor =
        known != m.peers_.end() &&
        known->second.incarnation_ == report.incarnation_ &&
        known->second.version_ == report.from_version_;
    if (!is_full && !is_successor)
    {
        step.effects_.push_back(
            send{{report.origin_, membership_request{m.self_}}});
        return step;
    }
    peer_control_host const before =
        known == m.peers_.end() ? peer_control_host{} : known->second;
    if (is_full)
        drop_peer(m, report.origin_);
    apply_servers(m, report.origin_, report);
    peer_control_host& from = m.peers_[report.origin_];
    from.earlier_demand_ = before.earlier_demand_;
    from.earlier_until_ = before.earlier_until_;
    bool const restarted =
        before.incarnation_ != 0 && before.incarnation_ != report.incarnation_;
    if (restarted && now - before.heard_ < peer_silence_timeout)
    {
        from.earlier_demand_ = before.demand_;
        from.earlier_until_ = now + with_drift_margin(local_share_lifetime);
    }
    from.incarnation_ = report.incarnation_;
    from.version_ = report.to_version_;
    from.heard_ = now;
    from.location_ = report.location_;
    from.daemons_ = report.daemons_;
    from.demand_.clear();
    for (account_demand const& d : report.demand_)
        from.demand_[d.account_] = d.milli_rate_;
    return step;
}

std::vector<located_host>
live_control_hosts(membership const& state, instant now)
{
    std::vector<located_host> hosts{{state.self_, state.location_}};
    for (auto const& [host, other] : state.peers_)
    {
        if (now - other.heard_ < peer_silence_timeout)
            hosts.push_back({host, other.location_});
    }
    return hosts;
}

membership_step
send_full_report(membership state, membership_request const& request)
{
    membership_step step{std::move(state), {}};
    step.effects_.push_back(
        send{{request.requester_, make_full_report(step.state_)}});
    return step;
}

membership_step expire_and_report(membership state, instant now)
{
    membership_step step{std::move(state), {}};
    membership& m = step.state_;
    if (now < m.report_due_ && m.unreported_servers_.empty())
        return step;
    drop_silent_daemons(m, now);
    drop_silent_peers(m, now);
    m.report_due_ = now + report_interval;
    membership_report const report = make_incremental_report(m);
    for (host_name const& other : m.peer_hosts_)
        step.effects_.push_back(send{{other, report}});
    return step;
}

std::vector<backend_server>
servers_of(membership const& state, service_name const& service)
{
    std::vector<backend_server> servers;
    auto const known = state.services_.find(service);
    if (known == state.services_.end())
        return servers;
    for (auto const& server : known->second.servers_)
        servers.push_back(description_of(state, server.second));
    return servers;
}

} // namespace jackdawhall::control
