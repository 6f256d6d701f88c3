// Exchange with the control hosts: sends the announcements of the local backend
// servers, receives configuration and membership, and renews the freshness
// lease.
#include <jackdawhall/calls/choose_control_host.hpp>
#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

backend_server make_backend_server(state const& s, announcement const& a)
{
    settings const& here = s.settings_;
    backend_server server;
    server.host_ = here.self_;
    server.location_ = here.location_;
    server.gate_ = here.gate_;
    server.service_ = a.service_;
    server.id_ = a.id_;
    server.slots_ = a.slots_;
    server.connections_ = a.connections_;
    server.state_ = s.stopping_since_ ? server_state::draining : a.state_;
    server.incarnation_ = s.incarnation_;
    return server;
}

renewal_request make_renewal(state const& s, instant now)
{
    renewal_request r;
    r.host_ = s.settings_.self_;
    r.incarnation_ = s.incarnation_;
    r.stamp_ = now.time_since_epoch().count();
    r.known_revision_ = s.configuration_.revision_;
    r.newest_schema_ = s.configuration_.newest_schema_;
    r.location_ = s.settings_.location_;
    for (auto const& local : s.local_servers_)
        r.servers_.push_back(
            make_backend_server(s, local.second.announcement_));
    r.wanted_.assign(s.wanted_.begin(), s.wanted_.end());
    r.membership_version_ = s.control_.membership_version_;
    r.membership_incarnation_ = s.control_.membership_incarnation_;
    r.demand_ = recent_demand(s, now);
    r.answered_stamp_ = s.borrowed_shares_.stamp_;
    r.contact_timeout_ = contact_timeout(s.settings_);
    r.known_daemons_ = s.daemons_;
    return r;
}

bool is_listed(
    std::vector<backend_server> const& servers, server_key const& key)
{
    return std::any_of(
        servers.begin(), servers.end(),
        [&](backend_server const& server) { return key_of(server) == key; });
}

// The servers of a service after an update.
std::vector<backend_server>
updated_list(std::vector<backend_server> known, service_servers const& update)
{
    if (!update.partial_)
        return update.servers_;
    std::erase_if(
        known,
        [&](backend_server const& server)
        {
            listed_server const name{server.host_, server.id_};
            return is_listed(update.servers_, key_of(server)) ||
                   std::find(
                       update.removed_.begin(), update.removed_.end(), name) !=
                       update.removed_.end();
        });
    known.insert(known.end(), update.servers_.begin(), update.servers_.end());
    return known;
}

// Keeps the statistics of servers with calls in flight, listed or not.
void update_servers(state& s, service_servers const& update, instant now)
{
    // The servers in the first list that this daemon receives of a service are
    // not treated as new, and get no warm-up.
    bool const first_list = !s.servers_.contains(update.service_);
    for (backend_server const& server : update.servers_)
    {
        auto const [known, inserted] =
            s.server_stats_.try_emplace(key_of(server));
        if (inserted)
            known->second.known_since_ =
                first_list ? now - warm_up_period : now;
    }
    std::vector<backend_server>& servers = s.servers_[update.service_];
    std::vector<backend_server> const before = std::move(servers);
    servers = updated_list(before, update);
    for (backend_server const& old : before)
    {
        auto const known = s.server_stats_.find(key_of(old));
        if (known != s.server_stats_.end() && known->second.in_flight_ == 0 &&
            !is_listed(servers, key_of(old)))
            s.server_stats_.erase(known);
    }
}

void log_servers(
    working_state& w, service_servers const& update, std::uint64_t version,
    std::size_t before)
{
    std::vector<backend_server> const& servers =
        w.state_->servers_.at(update.service_);
    auto const draining = std::count_if(
        servers.begin(), servers.end(),
        [](backend_server const& server)
        { return server.state_ == server_state::draining; });
    w.effects_.push_back(log_message{
        "backend server list updated",
        {{"service", update.service_.str()},
         {"servers", std::to_string(servers.size())},
         {"before", std::to_string(before)},
         {"changed", std::to_string(update.servers_.size())},
         {"draining", std::to_string(draining)},
         {"version", std::to_string(version)}}});
}

// Takes the lists of servers, unless a later answer of the same run of the
// control host was taken before.
void take_membership(working_state& w, renewal_response const& a)
{
    state& s = *w.state_;
    control_link& link = s.control_;
    bool const same_run =
        link.membership_incarnation_ == a.membership_incarnation_;
    if (same_run && a.membership_version_ < link.membership_version_)
        return;
    if (a.stamp_ == link.renewal_stamp_)
    {
        link.membership_version_ = a.membership_version_;
        link.membership_incarnation_ = a.membership_incarnation_;
    }
    for (service_servers const& update : a.services_)
    {
        auto const known = s.servers_.find(update.service_);
        std::size_t const before =
            known == s.servers_.end() ? 0 : known->second.size();
        update_servers(s, update, w.at_.now_);
        log_servers(w, update, a.membership_version_, before);
    }
    if (a.daemons_ > 0)
        s.daemons_ = a.daemons_;
}

void log_announcement(working_state& w, announcement const& a)
{
    w.effects_.push_back(log_message{
        "backend server announced",
        {{"server", a.id_},
         {"service", a.service_.str()},
         {"state", std::string(to_text(a.state_))},
         {"address",
          a.address_.address_ + ":" + std::to_string(a.address_.port_)},
         {"slots", std::to_string(a.slots_)},
         {"sequence", std::to_string(a.sequence_)}}});
}

// The server that `a` replaces: one with the same address and another id, which
// therefore has ended.
std::optional<std::string>
find_replaced_server(state const& s, announcement const& a)
{
    auto const old = std::find_if(
        s.local_servers_.begin(), s.local_servers_.end(),
        [&](auto const& local)
        {
            return local.first != a.id_ &&
                   local.second.announcement_.address_ == a.address_;
        });
    if (old == s.local_servers_.end())
        return std::nullopt;
    return old->first;
}

// Whether a newer announcement of the same server is known, or one of a server
// that has taken over its address since.
bool is_outdated(state const& s, announcement const& a)
{
    return std::any_of(
        s.local_servers_.begin(), s.local_servers_.end(),
        [&](auto const& local)
        {
            announcement const& known = local.second.announcement_;
            if (local.first == a.id_)
                return std::pair{a.started_, a.sequence_} <
                       std::pair{known.started_, known.sequence_};
            return known.address_ == a.address_ && a.started_ < known.started_;
        });
}

// Whether the server is still on the way out as recorded: it leaves, and
// nothing was announced in between that could have revoked it.
bool continues_departure(local_server const& before, announcement const& a)
{
    return before.departure_recorded_ && a.state_ == server_state::draining &&
           a.sequence_ - 1 == before.announcement_.sequence_;
}

// Removes the server, which refuses its queued runs, and adds it again with an
// empty queue.
void refuse_queued_runs(working_state& w, std::string const& id)
{
    local_server const server = w.state_->local_servers_.at(id);
    w = remove_server(std::move(w), id, refusal_reason::server_draining);
    local_server kept = server;
    kept.queued_.clear();
    w.state_->local_servers_.emplace(id, std::move(kept));
}

} // namespace

// The known membership version does not cover this service yet, so it is reset
// and the next renewal requests full lists. The stamp is cleared too, so that
// the answer to an earlier renewal, still under way, cannot set the version
// again.
void subscribe_to_service(state& s, service_name const& service, instant now)
{
    if (!s.wanted_.insert(service).second)
        return;
    s.control_.membership_version_ = 0;
    s.control_.renewal_stamp_ = 0;
    s.control_.renewal_due_ = now;
}

namespace
{

// Without a lease, or without the departures recorded for its host, the daemon
// renews more often, as long as its control host answers: it waits for that
// host to hear from a majority.
//
// Load pattern: all hosts start again at once, and callers return.
duration interval_to_next_renewal(state const& s, instant now)
{
    constexpr int renewals_while_incomplete = 4; // per interval
    duration const interval = s.settings_.renewal_interval_;
    bool const complete =
        is_fresh(s.configuration_, now) && are_departures_known(s);
    bool const host_answers =
        now - s.control_.last_heard_at_ < s.settings_.control_timeout_;
    return !complete && host_answers ? interval / renewals_while_incomplete
                                     : interval;
}

} // namespace

working_state send_renewal(working_state w)
{
    state& s = *w.state_;
    if (w.at_.now_ < s.control_.renewal_due_ || s.control_.hosts_.empty())
        return w;
    leave_unresponsive_control_host(w);
    if (w.at_.now_ - s.control_.last_answer_at_ > s.settings_.renewal_interval_)
        request_confirmations(w);
    s.control_.renewal_due_ =
        w.at_.now_ + interval_to_next_renewal(s, w.at_.now_);
    s.control_.renewal_stamp_ = w.at_.now_.time_since_epoch().count();
    renewal_request r = make_renewal(s, w.at_.now_);
    show_shares(s, r, w.at_.now_);
    send_message(w, s.control_.hosts_.at(s.control_.current_), std::move(r));
    return w;
}

working_state
handle_configuration_update(working_state w, configuration_update const& u)
{
    configuration& c = w.state_->configuration_;
    revision const before = c.revision_;
    c = apply_update(std::move(c), u);
    if (c.revision_ != before)
        w.effects_.push_back(log_message{
            "configuration updated",
            {{"revision", std::to_string(c.revision_)},
             {"before", std::to_string(before)},
             {"records", std::to_string(c.records_.size())}}});
    return settle_departures(std::move(w));
}

working_state track_lease(working_state w)
{
    state& s = *w.state_;
    bool const fresh = is_fresh(s.configuration_, w.at_.now_);
    if (fresh == s.was_fresh_)
        return w;
    s.was_fresh_ = fresh;
    w.effects_.push_back(log_message{
        fresh ? "freshness lease acquired" : "freshness lease expired",
        {{"revision", std::to_string(s.configuration_.revision_)},
         {"control_host",
          s.control_.hosts_.empty()
              ? std::string{}
              : s.control_.hosts_.at(s.control_.current_).str()},
         {"silent_ms",
          milliseconds_text(w.at_.now_ - s.control_.last_answer_at_)}}});
    return w;
}

working_state renew_lease(working_state w, confirmation const& by)
{
    state& s = *w.state_;
    s.configuration_ = extend_lease(
        std::move(s.configuration_), by, s.settings_.freshness_lease_);
    w = take_held_announcements(std::move(w));
    return track_lease(std::move(w));
}

working_state handle_renewal_response(
    working_state w, host_name const& from, renewal_response a)
{
    state& s = *w.state_;
    if (a.incarnation_ != s.incarnation_)
        return w;
    w = handle_configuration_update(std::move(w), a.update_);
    if (a.confirmed_)
        w = renew_lease(std::move(w), {instant{duration{a.stamp_}}, a.age_});
    if (!is_current_control_host(s.control_, from))
        return w;
    s.control_.last_heard_at_ = w.at_.now_;
    if (a.confirmed_ && is_recent(s.settings_, a.age_))
        s.control_.last_answer_at_ = w.at_.now_;
    else
        request_confirmations(w);
    if (!a.leader_.empty() && a.leader_ != s.control_.leader_)
    {
        w.effects_.push_back(log_message{
            "control leader changed",
            {{"host", a.leader_.str()},
             {"before", s.control_.leader_.str()},
             {"from", from.str()}}});
        s.control_.leader_ = a.leader_;
    }
    take_membership(w, a);
    take_shares(s, from, a, w.at_.now_);
    update_control_hosts(s, std::move(a.control_hosts_), w.at_.now_);
    return w;
}

working_state handle_announcement(working_state w, announcement const& a)
{
    state& s = *w.state_;
    if (!are_departures_known(s))
    {
        hold_announcement(s, a);
        return w;
    }
    if (is_outdated(s, a) || is_departed(w, a))
        return w;
    auto const before = s.local_servers_.find(a.id_);
    bool const restarted = before != s.local_servers_.end() &&
                           before->second.announcement_.started_ < a.started_;
    if (restarted)
        // The server restarted under the same id: its old state no longer
        // holds.
        w = remove_ended_server(std::move(w), a.id_, refusal_reason::no_server);
    if (std::optional<std::string> const old = find_replaced_server(s, a))
        w = remove_ended_server(
            std::move(w), *old, refusal_reason::connect_failed);
    auto const [known, inserted] = w.state_->local_servers_.try_emplace(a.id_);
    local_server& server = known->second;
    server.departure_recorded_ = continues_departure(server, a);
    bool const changed = inserted || server.announcement_.state_ != a.state_ ||
                         server.announcement_.slots_ != a.slots_ ||
                         server.announcement_.service_ != a.service_ ||
                         server.announcement_.address_ != a.address_;
    if (inserted)
    {
        server.first_heard_at_ = w.at_.now_;
        server.restarted_ = restarted;
        server.limiter_ = make_limiter(a.slots_, w.at_.now_);
    }
    else if (server.announcement_.slots_ != a.slots_)
    {
        server.limiter_ = make_limiter(a.slots_, w.at_.now_);
    }
    server.announcement_ = a;
    server.last_heard_at_ = w.at_.now_;
    for (service_name const& called : a.calls_)
        subscribe_to_service(*w.state_, called, w.at_.now_);
    if (changed)
    {
        log_announcement(w, a);
        w.state_->control_.renewal_due_ = w.at_.now_;
    }
    if (a.state_ == server_state::draining)
    {
        refuse_queued_runs(w, a.id_);
        if (!w.state_->local_servers_.at(a.id_).departure_recorded_)
            note_departure(w, a.id_, a.started_, a.sequence_);
    }
    return w;
}

working_state
set_control_hosts(working_state w, control_hosts_changed const& named)
{
    state& s = *w.state_;
    s.settings_.control_hosts_ = named.hosts_;
    for (host_name const& host : named.hosts_)
    {
        std::vector<host_name>& known = s.control_.hosts_;
        if (std::find(known.begin(), known.end(), host) == known.end())
            known.push_back(host);
    }
    return w;
}

working_state expire_announcements(working_state w)
{
    std::vector<std::string> silent;
    for (auto const& [id, server] : w.state_->local_servers_)
    {
        if (w.at_.now_ - server.last_heard_at_ >
            w.state_->settings_.announcement_lifetime_)
            silent.push_back(id);
    }
    for (std::string const& id : silent)
    {
        w = remove_server(std::move(w), id, refusal_reason::no_server);
    }
    return w;
}

} // namespace jackdawhall::calls
