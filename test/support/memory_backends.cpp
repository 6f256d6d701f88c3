// The simulated backend servers, callers and operators of memory_fleet.
#include "memory_fleet.hpp"

namespace jackdawhall::test
{

void memory_fleet::add_backend(std::size_t host, backend_options b)
{
    sim_backend made;
    made.options_ = b;
    made.host_ = host;
    made.address_ = {
        "10.0.0." + std::to_string(host + 1),
        static_cast<std::uint16_t>(9000 + backends_.size())};
    backends_[b.id_] = made;
    announce(b.id_);
}

void memory_fleet::announce(std::string const& id)
{
    auto const known = backends_.find(id);
    if (known == backends_.end() || !known->second.up_)
        return;
    sim_backend const& b = known->second;
    if (b.options_.announces_)
    {
        calls::announcement a;
        a.id_ = id;
        a.service_ = b.options_.service_;
        a.address_ = b.address_;
        a.slots_ = b.options_.slots_;
        a.connections_ = 500;
        a.state_ = b.state_;
        deliver(b.host_, calls::input{a});
    }
    std::uint64_t const generation = b.generation_;
    at(now_ + std::chrono::seconds(1),
       [this, id, generation]
       {
           auto const still = backends_.find(id);
           if (still != backends_.end() &&
               still->second.generation_ == generation)
               announce(id);
       });
}

void memory_fleet::announce(std::size_t host, calls::announcement a)
{
    deliver(host, calls::input{std::move(a)});
}

void memory_fleet::deregister(std::size_t host, calls::server_deregistered gone)
{
    deliver(host, calls::input{std::move(gone)});
}

std::uint64_t
memory_fleet::await_departure(std::size_t host, std::string const& id)
{
    std::uint64_t const number = ++last_departure_;
    deliver(host, calls::input{calls::departure_awaited{number, id}});
    return number;
}

void memory_fleet::start_run(std::size_t i, calls::run_on_backend const& r)
{
    auto const known = backends_.find(r.server_id_);
    if (known == backends_.end() || !known->second.up_)
    {
        at(now_ + duration{50},
           [this, i, r]
           {
               deliver(
                   i, calls::input{
                          calls::run_finished{r.run_, calls::not_connected{}}});
           });
        return;
    }
    sim_backend& b = known->second;
    history_.runs_.push_back(
        {now_, hosts_[i].name_, r.server_id_, r.request_,
         find_header(r.request_.headers_, request_id_header)});
    b.running_.emplace(r.run_, r.request_);
    if (!find_header(r.request_.headers_, "fake-crash").empty())
    {
        at(now_ + std::chrono::milliseconds(1),
           [this, id = r.server_id_] { crash_backend(id); });
        return;
    }
    bool const fails =
        b.options_.fails_ ||
        (b.options_.failures_per_thousand_ > 0 &&
         random_.below(1000) < b.options_.failures_per_thousand_);
    if (fails)
    {
        at(now_ + std::chrono::milliseconds(1),
           [this, i, id = r.server_id_, run = r.run_]
           { finish_run(i, id, run, calls::connection_broken{}); });
        return;
    }
    std::string const body = r.request_.body_;
    auto const finish =
        [this, i, id = r.server_id_, run = r.run_, body](std::uint16_t status)
    {
        finish_run(
            i, id, run, calls::answered{answer{status, {}, "echo " + body}});
    };
    std::string const sleep = find_header(r.request_.headers_, "fake-sleep-ms");
    duration const time = sleep.empty()
                              ? b.options_.service_time_
                              : std::chrono::milliseconds(std::stol(sleep));
    std::string const downstream_path = b.options_.calls_;
    if (downstream_path.empty())
    {
        at(now_ + time, [finish] { finish(200); });
        return;
    }
    std::string const ticket = find_header(r.request_.headers_, ticket_header);
    at(now_ + time,
       [this, i, downstream_path, ticket, finish]
       {
           if (!hosts_[i].up_)
               return;
           request inner{"GET", downstream_path, {{ticket_header, ticket}}, {}};
           std::uint64_t const number = ++last_request_;
           nested_handlers_[number] = [finish](verdict const& v)
           {
               ran const* done = std::get_if<ran>(&v);
               finish(done ? done->answer_.status_ : 502);
           };
           deliver(i, calls::input{calls::caller_request{number, inner}});
       });
}

void memory_fleet::finish_run(
    std::size_t i, std::string const& server, calls::call_number run,
    calls::backend_outcome outcome)
{
    auto const known = backends_.find(server);
    if (known == backends_.end() || known->second.running_.erase(run) == 0)
        return;
    deliver(i, calls::input{calls::run_finished{run, std::move(outcome)}});
}

void memory_fleet::crash_backend(std::string const& id)
{
    auto const known = backends_.find(id);
    if (known == backends_.end() || !known->second.up_)
        return;
    sim_backend& b = known->second;
    b.up_ = false;
    ++b.generation_;
    std::map<calls::call_number, request> const lost =
        std::exchange(b.running_, {});
    for (auto const& run : lost)
        deliver(
            b.host_, calls::input{calls::run_finished{
                         run.first, calls::connection_broken{}}});
}

void memory_fleet::restart_backend(
    std::string const& id, std::string const& new_id)
{
    sim_backend b = backends_.at(id);
    crash_backend(id);
    backends_.erase(id);
    b.options_.id_ = new_id;
    b.up_ = true;
    b.running_.clear();
    ++b.generation_;
    backends_[new_id] = b;
    announce(new_id);
}

void memory_fleet::set_backend_state(std::string const& id, server_state state)
{
    sim_backend& b = backends_.at(id);
    b.state_ = state;
    ++b.generation_;
    announce(id);
}

backend_options& memory_fleet::backend(std::string const& id)
{
    return backends_.at(id).options_;
}

bool memory_fleet::backend_up(std::string const& id) const
{
    auto const known = backends_.find(id);
    return known != backends_.end() && known->second.up_;
}

// --- Callers and operators
// ---------------------------------------------------------

std::uint64_t memory_fleet::send_request(std::size_t host, request r)
{
    std::uint64_t const number = ++last_request_;
    history_.sent_[number] = {now_, hosts_.at(host).name_, r};
    request_host_[number] = host;
    deliver(host, calls::input{calls::caller_request{number, std::move(r)}});
    return number;
}

void memory_fleet::disconnect_caller(std::uint64_t request)
{
    deliver(
        request_host_.at(request),
        calls::input{calls::caller_disconnected{request}});
}

std::uint64_t
memory_fleet::number_change(std::size_t host, std::uint64_t submitted)
{
    hosts_[host].changes_.push_back(submitted);
    return hosts_[host].changes_.size();
}

// An operator hears at once from a host that runs no control node.
void memory_fleet::give_change(
    std::size_t host, std::uint64_t submitted, control::input in)
{
    if (is_up(host) && is_control(host) && !has_control(host))
    {
        change_event& c = history_.changes_.at(submitted);
        c.answered_at_ = now_;
        c.outcome_ = unknown_outcome{"no control node runs here now"};
    }
    else
        deliver(host, std::move(in));
}

std::uint64_t memory_fleet::submit(std::size_t host, document d)
{
    std::uint64_t const submitted = ++last_change_;
    history_.changes_[submitted] = {now_, std::nullopt, {}, std::nullopt};
    give_change(
        host, submitted,
        control::operator_document{
            number_change(host, submitted), std::move(d)});
    return submitted;
}

std::uint64_t memory_fleet::submit(std::size_t host, change c)
{
    std::uint64_t const submitted = ++last_change_;
    history_.changes_[submitted] = {now_, std::nullopt, c, std::nullopt};
    give_change(
        host, submitted,
        control::operator_change{number_change(host, submitted), std::move(c)});
    return submitted;
}

std::optional<verdict> memory_fleet::verdict_of(std::uint64_t request) const
{
    for (verdict_event const& v : history_.verdicts_)
    {
        if (v.request_ == request)
            return v.verdict_;
    }
    return std::nullopt;
}

} // namespace jackdawhall::test
