// Load balancing: power of two random choices among the nearest backend
// servers. What this daemon observed of a server takes precedence over what the
// server announced.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

using candidates = std::vector<backend_server const*>;

// Panic threshold: if more than this percentage of the servers is ejected, all
// are used, because the fault then more likely lies with this daemon or affects
// all servers.
constexpr std::size_t panic_percent = 50;
// Smallest share of a server's capacity that load balancing assumes while the
// server warms up.
constexpr double min_warm_up_share = 0.1;

server_stats const& stats_of(state const& s, backend_server const& server)
{
    static server_stats const none{};
    auto const known = s.server_stats_.find(key_of(server));
    return known == s.server_stats_.end() ? none : known->second;
}

candidates not_draining(state const& s, service_name const& service)
{
    candidates found;
    auto const known = s.servers_.find(service);
    if (known == s.servers_.end())
        return found;
    for (backend_server const& server : known->second)
    {
        if (server.state_ != server_state::draining)
            found.push_back(&server);
    }
    return found;
}

template <class Predicate>
candidates select_if(candidates const& all, Predicate keep)
{
    candidates kept;
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept), keep);
    return kept;
}

candidates without_ejected(state const& s, candidates all, instant now)
{
    candidates kept = select_if(
        all, [&](backend_server const* server)
        { return now >= stats_of(s, *server).ejected_until_; });
    bool const panic =
        (all.size() - kept.size()) * 100 > all.size() * panic_percent;
    return panic ? std::move(all) : std::move(kept);
}

candidates without_tried(entry_call const& c, candidates all)
{
    candidates untried = select_if(
        all,
        [&](backend_server const* server)
        {
            return std::find(
                       c.tried_servers_.begin(), c.tried_servers_.end(),
                       key_of(*server)) == c.tried_servers_.end();
        });
    return untried.empty() ? std::move(all) : std::move(untried);
}

bool admits(server_stats const& e, rank r, instant now)
{
    return now >= e.admitted_until_ || r <= e.admitted_;
}

double
warm_up_share(server_stats const& e, backend_server const& server, instant now)
{
    if (server.state_ == server_state::warming)
        return min_warm_up_share;
    double const age = static_cast<double>((now - e.known_since_).count());
    double const share = age / static_cast<double>(warm_up_period.count());
    return std::clamp(share, min_warm_up_share, 1.0);
}

// While an earlier forward is open, its gate, which does not report, is no
// place for another try.
candidates without_silent_gate(entry_call const& c, candidates all)
{
    if (!c.earlier_forward_)
        return all;
    return select_if(
        all, [&](backend_server const* server)
        { return server->host_ != c.earlier_forward_->server_.host_; });
}

// Returns the load with one more call, as a share of the server's capacity.
// Above 1 the server queues calls.
double load(server_stats const& e, backend_server const& server, instant now)
{
    double const limit = e.limit_ != 0 ? e.limit_ : server.slots_;
    bool const current = now - e.load_reported_at_ < gate_load_lifetime;
    double const used =
        current ? std::max(e.in_flight_, e.in_use_) : e.in_flight_;
    return (used + 1) / (limit * warm_up_share(e, server, now));
}

bool has_room(
    state const& s, backend_server const& server, double max_load, instant now)
{
    return load(stats_of(s, server), server, now) <= max_load;
}

// Candidates up to a distance, and the load up to which they are eligible.
struct tier
{
    candidates servers_;
    double max_load_ = 1;
};

// Least important rank whose calls may go to another region when no server has
// room.
constexpr rank max_cross_region_rank = 1;
// Load up to which a server in this region is preferred to one in another
// region: waiting in a short queue costs less than the longer round trip.
constexpr double short_queue_load = 1.5;

// Load up to which servers that are not avoided get the calls of those that
// are. Beyond it, moving calls would overload them in turn.
constexpr double max_load_of_preferred = 0.7;

// Returns the servers with room in the nearest tier that has any. Servers that
// are not avoided come first, in this region: its availability zone, then all
// of it. Then all servers: the availability zone, the region, the region with
// short queues, all regions. If no server has room, returns all servers for the
// most important calls or if the region has none, otherwise those of the
// region.
candidates
nearby_candidates(state const& s, candidates const& all, rank r, instant now)
{
    location const& here = s.settings_.location_;
    candidates const zone = select_if(
        all, [&](backend_server const* server)
        { return server->location_ == here; });
    candidates const region = select_if(
        all, [&](backend_server const* server)
        { return server->location_.region_ == here.region_; });
    auto const preferred = [&](candidates const& servers)
    {
        return select_if(
            servers, [&](backend_server const* server)
            { return now >= stats_of(s, *server).avoided_until_; });
    };
    for (tier const& t :
         {tier{preferred(zone), max_load_of_preferred},
          tier{preferred(region), max_load_of_preferred}, tier{zone, 1},
          tier{region, 1}, tier{region, short_queue_load}, tier{all, 1}})
    {
        candidates with_room = select_if(
            t.servers_, [&](backend_server const* server)
            { return has_room(s, *server, t.max_load_, now); });
        if (!with_room.empty())
            return with_room;
    }
    bool const cross_region = region.empty() || r <= max_cross_region_rank;
    return cross_region ? all : region;
}

backend_server const&
better_of_two(state& s, candidates const& all, instant now)
{
    backend_server const& first = *all.at(s.random_.below(all.size()));
    backend_server const& second = *all.at(s.random_.below(all.size()));
    server_stats const& e1 = stats_of(s, first);
    server_stats const& e2 = stats_of(s, second);
    double const load1 = load(e1, first, now);
    double const load2 = load(e2, second, now);
    if (load1 == load2)
        return e2.latency_ < e1.latency_ ? second : first;
    return load2 < load1 ? second : first;
}

// Makes the call wait until a server of its service is known. Refuses it
// max_server_wait after its start.
pipeline_context wait_for_server(pipeline_context p)
{
    state& s = *p.state_;
    subscribe_to_service(s, p.call_.service_, p.at_.now_);
    if (p.at_.now_ >= p.call_.created_at_ + max_server_wait)
        return refuse(
            std::move(p), refusal_reason::no_server, std::chrono::seconds(1));
    p.call_.wake_at_ = p.at_.now_ + server_poll_interval;
    p.progress_ = waiting{};
    return p;
}

} // namespace

bool has_other_gate(state const& s, entry_call const& c)
{
    candidates const all = not_draining(s, c.service_);
    return std::any_of(
        all.begin(), all.end(),
        [&](backend_server const* server)
        { return server->host_ != c.forward_->server_.host_; });
}

pipeline_context choose_server(pipeline_context p)
{
    state& s = *p.state_;
    instant const now = p.at_.now_;
    entry_call const& c = p.call_;
    if (is_service_draining(s.configuration_, c.service_))
        return refuse(
            std::move(p), refusal_reason::server_draining,
            std::chrono::seconds(1));
    candidates all = not_draining(s, c.service_);
    if (all.empty())
        return wait_for_server(std::move(p));
    all = without_silent_gate(c, std::move(all));
    if (all.empty())
        return refuse(std::move(p), refusal_reason::no_server);
    all = without_ejected(s, std::move(all), now);
    all = select_if(
        all, [&](backend_server const* server)
        { return admits(stats_of(s, *server), c.context_.rank_, now); });
    if (all.empty())
        return refuse(
            std::move(p), refusal_reason::shed_at_entry,
            admission_threshold_lifetime);
    all = nearby_candidates(
        s, without_tried(c, std::move(all)), c.context_.rank_, now);
    p.call_.forward_ = active_forward{0, better_of_two(s, all, now), now, 0};
    return p;
}

pipeline_context send_forward(pipeline_context p)
{
    state& s = *p.state_;
    entry_call& c = p.call_;
    instant const now = p.at_.now_;
    // A call that would outlast the drain period is given up at its end: the
    // gate must know, so as to refuse it in time if it is queued.
    if (s.stopping_since_)
        c.deadline_ = std::min(c.deadline_, drained_by(s));
    if (now >= c.deadline_)
    {
        c.forward_.reset();
        return refuse(std::move(p), refusal_reason::deadline_passed);
    }
    active_forward& f = *c.forward_;
    f.number_ = next_number(s);
    // Delegate all retries: the call that fails may be several hops down the
    // chain, and unused retries are returned with the answer.
    f.delegated_retries_ = std::exchange(c.retries_left_, 0);
    c.tried_servers_.push_back(key_of(f.server_));
    if (c.tries_++ == 0)
        earn_retry_credit(s, c, now);
    c.context_.timeout_ = c.deadline_ - now;
    call_context delegated = c.context_;
    delegated.retries_ = f.delegated_retries_;
    s.call_of_forward_.emplace(f.number_, c.number_);
    c.wake_at_ = next_inquiry(c, now);
    server_stats& e = s.server_stats_[key_of(f.server_)];
    ++e.in_flight_;
    p.effects_.push_back(send{
        {f.server_.host_, forward_request{
                              f.number_, f.server_.service_, f.server_.id_,
                              std::move(delegated), c.suspect_, c.request_}}});
    p.progress_ = waiting{};
    return p;
}

} // namespace jackdawhall::calls
