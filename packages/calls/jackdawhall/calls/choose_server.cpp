// Chooses a backend server: the better of two random ones among those near by,
// by what this daemon saw itself first and by announcements second.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

using candidates = std::vector<backend_server const*>;

// With more than this share of the servers set aside, none is: then the fault
// is more likely ours, or everywhere.
constexpr std::size_t panic_percent = 50;
// A server that just came gets this share of its work at first.
constexpr double least_warm_share = 0.1;

server_stats const& evidence_of(state const& s, backend_server const& server)
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
candidates filter(candidates const& all, Predicate keep)
{
    candidates kept;
    std::copy_if(all.begin(), all.end(), std::back_inserter(kept), keep);
    return kept;
}

candidates without_set_aside(state const& s, candidates all, instant now)
{
    candidates kept = filter(
        all, [&](backend_server const* server)
        { return now >= evidence_of(s, *server).ejected_until_; });
    bool const panic =
        (all.size() - kept.size()) * 100 > all.size() * panic_percent;
    return panic ? std::move(all) : std::move(kept);
}

candidates without_tried(entry_call const& c, candidates all)
{
    candidates fresh = filter(
        all,
        [&](backend_server const* server)
        {
            return std::find(
                       c.tried_servers_.begin(), c.tried_servers_.end(),
                       key_of(*server)) == c.tried_servers_.end();
        });
    return fresh.empty() ? std::move(all) : std::move(fresh);
}

bool admits(server_stats const& e, rank r, instant now)
{
    return now >= e.admitted_until_ || r <= e.admitted_;
}

double
warm_share(server_stats const& e, backend_server const& server, instant now)
{
    if (server.state_ == server_state::warming)
        return least_warm_share;
    double const age = static_cast<double>((now - e.known_since_).count());
    double const share = age / static_cast<double>(warm_up_period.count());
    return std::clamp(share, least_warm_share, 1.0);
}

// Load as a share of what the server takes; over 1 it queues.
double load(server_stats const& e, backend_server const& server, instant now)
{
    double const limit = e.limit_ != 0 ? e.limit_ : server.slots_;
    bool const current = now - e.load_reported_at_ < gate_load_lifetime;
    double const used =
        current ? std::max(e.in_flight_, e.in_use_) : e.in_flight_;
    return (used + 1) / (limit * warm_share(e, server, now));
}

bool has_room(
    state const& s, backend_server const& server, double most, instant now)
{
    return load(evidence_of(s, server), server, now) <= most;
}

// Servers that are near enough, and the load up to which they are taken.
struct tier
{
    candidates servers_;
    double most_ = 1;
};

// Least important rank that goes to another region when no server has room.
constexpr rank last_far_rank = 1;
// A short queue near by is better than the way to another region.
constexpr double short_queue = 1.5;

// Own availability zone, then own region, then all; the first with room. When
// none has room, only what matters most goes to another region.
candidates near(state const& s, candidates const& all, rank r, instant now)
{
    location const& here = s.settings_.location_;
    candidates const zone = filter(
        all, [&](backend_server const* server)
        { return server->location_ == here; });
    candidates const region = filter(
        all, [&](backend_server const* server)
        { return server->location_.region_ == here.region_; });
    for (tier const& t :
         {tier{zone, 1}, tier{region, 1}, tier{region, short_queue},
          tier{all, 1}})
    {
        candidates roomy = filter(
            t.servers_, [&](backend_server const* server)
            { return has_room(s, *server, t.most_, now); });
        if (!roomy.empty())
            return roomy;
    }
    bool const far = region.empty() || r <= last_far_rank;
    return far ? all : region;
}

backend_server const&
better_of_two(state& s, candidates const& all, instant now)
{
    backend_server const& first = *all.at(s.random_.below(all.size()));
    backend_server const& second = *all.at(s.random_.below(all.size()));
    server_stats const& e1 = evidence_of(s, first);
    server_stats const& e2 = evidence_of(s, second);
    double const load1 = load(e1, first, now);
    double const load2 = load(e2, second, now);
    if (load1 == load2)
        return e2.latency_ < e1.latency_ ? second : first;
    return load2 < load1 ? second : first;
}

// No server of the service is known: perhaps only not yet.
passage wait_for_server(passage p)
{
    state& s = *p.state_;
    subscribe_to_service(s, p.call_.service_, p.at_.now_);
    if (p.at_.now_ >= p.call_.created_at_ + max_server_wait)
        return refuse(
            std::move(p), refusal_reason::no_server, std::chrono::seconds(1));
    p.call_.wake_at_ = p.at_.now_ + server_poll_interval;
    p.flow_ = waiting{};
    return p;
}

} // namespace

passage choose_server(passage p)
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
    all = without_set_aside(s, std::move(all), now);
    all = filter(
        all, [&](backend_server const* server)
        { return admits(evidence_of(s, *server), c.context_.rank_, now); });
    if (all.empty())
        return refuse(
            std::move(p), refusal_reason::shed_at_entry,
            admission_threshold_lifetime);
    all = near(s, without_tried(c, std::move(all)), c.context_.rank_, now);
    p.call_.forward_ = active_forward{0, better_of_two(s, all, now), now, 0};
    return p;
}

passage send_forward(passage p)
{
    state& s = *p.state_;
    entry_call& c = p.call_;
    instant const now = p.at_.now_;
    if (now >= c.deadline_)
    {
        c.forward_.reset();
        return refuse(std::move(p), refusal_reason::deadline_passed);
    }
    active_forward& f = *c.forward_;
    f.number_ = next_number(s);
    // All of them: the hop that fails may be far below, and what it does not
    // spend comes back with the answer.
    f.delegated_retries_ = std::exchange(c.retries_left_, 0);
    c.tried_servers_.push_back(key_of(f.server_));
    if (c.tries_++ == 0)
        earn_credit(s, c, now);
    c.context_.timeout_ = c.deadline_ - now;
    call_context lent = c.context_;
    lent.retries_ = f.delegated_retries_;
    s.call_of_forward_.emplace(f.number_, c.number_);
    server_stats& e = s.server_stats_[key_of(f.server_)];
    ++e.in_flight_;
    p.effects_.push_back(send{
        {f.server_.host_, forward{
                              f.number_, f.server_.service_, f.server_.id_,
                              std::move(lent), c.suspect_, c.request_}}});
    p.flow_ = waiting{};
    return p;
}

} // namespace jackdawhall::calls
