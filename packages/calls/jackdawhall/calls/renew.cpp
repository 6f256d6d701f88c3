// A daemon's tie to the control hosts: announcements of the backend servers
// beside it go up, configuration and membership come down, and the freshness
// lease is renewed.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

// A control host whose knowledge is older than this is as good as silent.
constexpr duration stale_knowledge = std::chrono::milliseconds(2500);

backend_server
as_server(settings const& here, announcement const& a, bool stopping)
{
    backend_server server;
    server.host_ = here.self_;
    server.location_ = here.location_;
    server.gate_ = here.gate_;
    server.service_ = a.service_;
    server.id_ = a.id_;
    server.slots_ = a.slots_;
    server.connections_ = a.connections_;
    server.state_ = stopping ? server_state::draining : a.state_;
    return server;
}

renewal make_renewal(state const& s, instant now)
{
    renewal r;
    r.host_ = s.settings_.self_;
    r.incarnation_ = s.incarnation_;
    r.stamp_ = now.time_since_epoch().count();
    r.have_ = s.configuration_.revision_;
    r.newest_schema_ = s.configuration_.newest_schema_;
    r.location_ = s.settings_.location_;
    for (auto const& local : s.locals_)
        r.servers_.push_back(as_server(
            s.settings_, local.second.announcement_, s.stopping_.has_value()));
    r.wanted_.assign(s.wanted_.begin(), s.wanted_.end());
    r.membership_version_ = s.control_.membership_version_;
    return r;
}

void leave_silent_control_host(work& w)
{
    control_link& link = w.state_.control_;
    std::vector<host_name> const& hosts = w.state_.settings_.control_hosts_;
    if (w.at_.now_ - link.answered_ < control_timeout)
        return;
    host_name const left = hosts.at(link.current_);
    link.current_ = (link.current_ + 1) % hosts.size();
    link.answered_ = w.at_.now_;
    link.membership_version_ = 0;
    w.effects_.push_back(note{
        "control host " + left.str() + " is silent or cut off; goes on with " +
        hosts.at(link.current_).str()});
}

void take_servers(state& s, service_servers const& update, instant now)
{
    for (backend_server const& server : update.servers_)
    {
        auto const [known, fresh] = s.evidence_.try_emplace(key_of(server));
        if (!fresh)
            continue;
        // Servers met at the first sight of a service are not new to it.
        bool const first_sight = !s.servers_.contains(update.service_);
        known->second.known_since_ = first_sight ? now - warm_up : now;
    }
    for (backend_server const& old : s.servers_[update.service_])
    {
        bool const stays = std::any_of(
            update.servers_.begin(), update.servers_.end(),
            [&](backend_server const& server)
            { return key_of(server) == key_of(old); });
        auto const known = s.evidence_.find(key_of(old));
        if (!stays && known != s.evidence_.end() &&
            known->second.in_flight_ == 0)
            s.evidence_.erase(known);
    }
    s.servers_.insert_or_assign(update.service_, update.servers_);
}

// A server under a new id where another one was: the old one has ended.
std::optional<std::string> replaced_by(state const& s, announcement const& a)
{
    auto const old = std::find_if(
        s.locals_.begin(), s.locals_.end(),
        [&](auto const& local)
        {
            return local.first != a.id_ &&
                   local.second.announcement_.address_ == a.address_;
        });
    if (old == s.locals_.end())
        return std::nullopt;
    return old->first;
}

void refuse_queued(work& w, std::string const& id)
{
    local_server const server = w.state_.locals_.at(id);
    w = drop_server(std::move(w), id, refusal_reason::server_draining);
    local_server kept = server;
    kept.queued_.clear();
    w.state_.locals_.emplace(id, std::move(kept));
}

} // namespace

// The next renewal must ask for whole lists: the version known so far was
// reached without this service.
void want_service(state& s, service_name const& service, instant now)
{
    if (!s.wanted_.insert(service).second)
        return;
    s.control_.membership_version_ = 0;
    s.control_.renewal_stamp_ = 0;
    s.control_.renewal_due_ = now;
}

work renew(work w)
{
    state& s = w.state_;
    if (w.at_.now_ < s.control_.renewal_due_ ||
        s.settings_.control_hosts_.empty())
        return w;
    leave_silent_control_host(w);
    s.control_.renewal_due_ = w.at_.now_ + renewal_interval;
    s.control_.renewal_stamp_ = w.at_.now_.time_since_epoch().count();
    tell(
        w, s.settings_.control_hosts_.at(s.control_.current_),
        make_renewal(s, w.at_.now_));
    return w;
}

work take_renewal_answer(work w, host_name const& from, renewal_answer a)
{
    state& s = w.state_;
    if (a.incarnation_ != s.incarnation_)
        return w;
    s.configuration_ = apply_update(std::move(s.configuration_), a.update_);
    s.configuration_ = take_lease(std::move(s.configuration_), a);
    if (from != s.settings_.control_hosts_.at(s.control_.current_))
        return w;
    if (a.confirmed_ && a.age_ < stale_knowledge)
        s.control_.answered_ = w.at_.now_;
    if (!a.leader_.empty())
        s.control_.leader_ = a.leader_;
    if (a.stamp_ == s.control_.renewal_stamp_)
        s.control_.membership_version_ = a.membership_version_;
    for (service_servers const& update : a.services_)
        take_servers(s, update, w.at_.now_);
    return w;
}

work take_announcement(work w, announcement const& a)
{
    state& s = w.state_;
    if (std::optional<std::string> const old = replaced_by(s, a))
        w = take_probe(std::move(w), {*old, false});
    auto const [known, fresh] = w.state_.locals_.try_emplace(a.id_);
    local_server& server = known->second;
    bool const changed = fresh || server.announcement_ != a;
    if (fresh)
    {
        server.first_heard_ = w.at_.now_;
        server.limiter_ = make_limiter(a.slots_, w.at_.now_);
    }
    else if (server.announcement_.slots_ != a.slots_)
    {
        server.limiter_ = make_limiter(a.slots_, w.at_.now_);
    }
    server.announcement_ = a;
    server.heard_ = w.at_.now_;
    for (service_name const& called : a.calls_)
        want_service(w.state_, called, w.at_.now_);
    if (changed)
        w.state_.control_.renewal_due_ = w.at_.now_;
    if (a.state_ == server_state::draining)
        refuse_queued(w, a.id_);
    return w;
}

work expire_announcements(work w)
{
    std::vector<std::string> silent;
    for (auto const& [id, server] : w.state_.locals_)
    {
        if (w.at_.now_ - server.heard_ > announcement_lifetime)
            silent.push_back(id);
    }
    for (std::string const& id : silent)
    {
        w.effects_.push_back(
            note{"backend server " + id + " no longer announces itself"});
        w = drop_server(std::move(w), id, refusal_reason::no_server);
    }
    return w;
}

} // namespace jackdawhall::calls
