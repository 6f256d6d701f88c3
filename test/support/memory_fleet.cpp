#include "memory_fleet.hpp"

#include <algorithm>
#include <stdexcept>

namespace jackdawhall::test
{

namespace
{

constexpr wall_time epoch{std::chrono::milliseconds{1'800'000'000'000}};

} // namespace

memory_fleet::memory_fleet(fleet_options o)
    : options_(o), random_(o.seed_), hosts_(o.hosts_)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        sim_host& h = hosts_[i];
        h.name_ = host(i);
        double const spread =
            static_cast<double>(random_.below(2001)) / 1000.0 - 1.0;
        h.clock_rate_ = 1 + spread * o.clock_error_;
        h.clock_offset_ =
            duration{static_cast<std::int64_t>(random_.below(1'000'000'000))};
        start(i);
    }
}

host_name memory_fleet::host(std::size_t i) const
{
    return host_name::make("host-" + std::to_string(i)).value();
}

std::size_t memory_fleet::index_of(host_name const& name) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i)
    {
        if (hosts_[i].name_ == name)
            return i;
    }
    throw std::out_of_range(name.str());
}

clock_reading memory_fleet::clock_of(sim_host const& h) const
{
    auto const elapsed = static_cast<std::int64_t>(
        static_cast<double>(now_.count()) * h.clock_rate_);
    return {
        instant{h.clock_offset_ + duration{elapsed}},
        epoch + std::chrono::duration_cast<std::chrono::milliseconds>(now_)};
}

duration memory_fleet::to_virtual_time(sim_host const& h, instant at) const
{
    double const local =
        static_cast<double>((at.time_since_epoch() - h.clock_offset_).count());
    return duration{static_cast<std::int64_t>(local / h.clock_rate_) + 1};
}

// --- Time
// ---------------------------------------------------------------------

void memory_fleet::at(duration when, std::function<void()> f)
{
    events_.push({std::max(when, now_), ++next_order_, std::move(f)});
}

void memory_fleet::run_for(duration d)
{
    run_until([] { return false; }, d);
}

bool memory_fleet::run_until(
    std::function<bool()> const& done, duration timeout)
{
    duration const end = now_ + timeout;
    while (!done())
    {
        if (events_.empty() || events_.top().at_ > end)
        {
            now_ = end;
            return done();
        }
        event next = events_.top();
        events_.pop();
        now_ = std::max(now_, next.at_);
        next.action_();
    }
    return true;
}

// --- Hosts
// ----------------------------------------------------------------------

void memory_fleet::start(std::size_t i)
{
    sim_host& h = hosts_[i];
    if (h.up_)
        return;
    h.up_ = true;
    h.frozen_ = h.stopped_ = false;
    h.newest_revision_ = 0;
    calls::settings s;
    s.self_ = h.name_;
    std::string const region = "region-" + std::to_string(i % 3);
    h.location_ = {
        region_name::make(region).value(),
        zone_name::make(region + "-a").value()};
    s.location_ = h.location_;
    s.gate_ = {"10.0.0." + std::to_string(i + 1), 7070};
    s.retries_ = options_.retries_;
    s.shutdown_periods_ = options_.shutdown_periods_;
    s.tolerance_ = options_.tolerance_;
    if (options_.in_force_)
    {
        s.renewal_interval_ = *options_.in_force_ / 4;
        s.control_timeout_ = *options_.in_force_ / 2;
    }
    std::size_t const named = named_control_hosts();
    s.discovers_control_hosts_ = options_.control_seeds_ != 0;
    for (std::size_t k = 0; k < named; ++k)
        s.control_hosts_.push_back(host((i + k) % named));
    h.calls_ =
        calls::make_state(s, random_source(random_.next()), clock_of(h).now_);
    if (is_control(i))
        start_control(i);
    h.timer_due_ = duration{-1};
    schedule_timer(i);
}

std::size_t memory_fleet::named_control_hosts() const
{
    return options_.control_seeds_ != 0 ? options_.control_seeds_
                                        : options_.control_hosts_;
}

control::consensus_settings
memory_fleet::consensus_settings(std::size_t i) const
{
    bool const seeded = options_.control_seeds_ != 0;
    control::consensus_settings c;
    c.self_ = hosts_[i].name_;
    c.allow_unlisted_hosts_ = seeded;
    c.min_durable_copies_ = options_.durable_copies_;
    c.may_bootstrap_ = !seeded || hosts_[i].generation_ == 0;
    for (std::size_t k = 0; k < named_control_hosts(); ++k)
        c.control_hosts_.push_back(host(k));
    return c;
}

void memory_fleet::start_control(std::size_t i)
{
    sim_host& h = hosts_[i];
    if (!h.disk_)
    {
        h.disk_.emplace();
        h.disk_->self_ = {h.name_, random_.next()};
    }
    h.last_store_ = h.synced_ = 0;
    h.syncing_ = false;
    h.control_ = control::make_state(
        consensus_settings(i), *h.disk_, random_source(random_.next()),
        clock_of(h).now_, {h.location_, options_.tolerance_});
}

void memory_fleet::kill(std::size_t i)
{
    sim_host& h = hosts_[i];
    if (!h.up_)
        return;
    h.up_ = false;
    ++h.generation_;
    h.calls_.reset();
    h.control_.reset();
    h.deferred_effects_.clear();
    h.deferred_inputs_.clear();
    h.changes_.clear();
    // Unsynced stores may have reached the disk in part: apply a random prefix.
    std::size_t const kept =
        h.unsynced_.empty() ? 0 : random_.below(h.unsynced_.size() + 1);
    for (std::size_t k = 0; k < kept; ++k)
        apply_store(*h.disk_, h.unsynced_[k].effect_);
    h.unsynced_.clear();
    for (std::size_t peer = 0; peer < hosts_.size(); ++peer)
    {
        if (peer != i)
            end_link(peer, i);
    }
}

void memory_fleet::freeze(std::size_t i)
{
    hosts_[i].frozen_ = true;
}

void memory_fleet::thaw(std::size_t i)
{
    sim_host& h = hosts_[i];
    if (!h.up_ || !h.frozen_)
        return;
    h.frozen_ = false;
    std::deque<node_input> deferred = std::exchange(h.deferred_inputs_, {});
    for (node_input& in : deferred)
        deliver(i, std::move(in));
    schedule_timer(i);
}

void memory_fleet::answer_without_control(
    std::size_t i, control::input const& in)
{
    received const* r = std::get_if<received>(&in);
    std::optional<outgoing> answer =
        r ? control::answer_without_node(r->message_) : std::nullopt;
    if (answer)
        transmit(i, std::move(*answer));
}

void memory_fleet::request_stop(std::size_t i)
{
    deliver(i, calls::input{calls::stop_requested{}});
}

calls::state const& memory_fleet::calls_of(std::size_t i) const
{
    return *hosts_.at(i).calls_;
}

control::state const& memory_fleet::control_of(std::size_t i) const
{
    return *hosts_.at(i).control_;
}

bool memory_fleet::has_control(std::size_t i) const
{
    return hosts_.at(i).control_.has_value();
}

std::optional<std::size_t> memory_fleet::leader() const
{
    std::optional<std::size_t> found;
    term_number newest = 0;
    for (std::size_t i = 0; i < options_.control_hosts_; ++i)
    {
        sim_host const& h = hosts_[i];
        if (!h.up_ || h.frozen_ || !h.control_ ||
            !is_leader(h.control_->consensus_))
            continue;
        term_number const term = h.control_->consensus_.hard_state_.term_;
        if (term >= newest)
        {
            newest = term;
            found = i;
        }
    }
    return found;
}

// --- Nodes
// -----------------------------------------------------------------------

void memory_fleet::deliver(std::size_t i, node_input in)
{
    sim_host& h = hosts_[i];
    if (!h.up_)
        return;
    if (h.frozen_)
        h.deferred_inputs_.push_back(std::move(in));
    else
        step(i, std::move(in));
}

void memory_fleet::step(std::size_t i, node_input in)
{
    sim_host& h = hosts_[i];
    clock_reading const at = clock_of(h);
    if (calls::input* c = std::get_if<calls::input>(&in))
    {
        calls::node_step s =
            calls::run(std::move(*h.calls_), std::move(*c), at);
        h.calls_ = std::move(s.state_);
        record_reversion(i);
        for (calls::effect& e : s.effects_)
            carry_out(i, std::move(e));
    }
    else if (h.control_)
    {
        control::node_step s = control::run(
            std::move(*h.control_), std::move(std::get<control::input>(in)),
            at);
        h.control_ = std::move(s.state_);
        for (control::effect& e : s.effects_)
        {
            if (!h.control_)
                break; // the disk failed
            carry_out(i, std::move(e));
        }
        start_sync(i);
    }
    else
        answer_without_control(i, std::get<control::input>(in));
    schedule_timer(i);
}

void memory_fleet::record_reversion(std::size_t i)
{
    sim_host& h = hosts_[i];
    revision const now = h.calls_->configuration_.revision_;
    if (now < h.newest_revision_)
        history_.reversions_.push_back(h.name_.str());
    h.newest_revision_ = now;
}

void memory_fleet::schedule_timer(std::size_t i)
{
    sim_host& h = hosts_[i];
    if (!h.up_ || h.frozen_)
        return;
    instant due = calls::next_due(*h.calls_);
    if (h.control_)
        due = std::min(due, control::next_due(*h.control_));
    duration const when = std::max(now_ + duration{1}, to_virtual_time(h, due));
    bool const armed = h.timer_due_ > now_ && h.timer_due_ <= when;
    if (armed)
        return;
    h.timer_due_ = when;
    std::uint64_t const generation = h.generation_;
    at(when,
       [this, i, generation, when]
       {
           sim_host& waiting = hosts_[i];
           if (waiting.generation_ != generation || waiting.timer_due_ != when)
               return;
           waiting.timer_due_ = duration{-1};
           if (waiting.frozen_ || !waiting.up_)
               return;
           if (waiting.control_)
               deliver(i, control::input{timer_expired{}});
           deliver(i, calls::input{timer_expired{}});
           schedule_timer(i);
       });
}

void memory_fleet::carry_out(std::size_t i, calls::effect e)
{
    std::visit(
        overloaded{
            [&](send& s) { transmit(i, std::move(s.outgoing_)); },
            [&](log_message&) {},
            [&](calls::observe_duration&) {},
            [&](calls::answer_caller& a)
            {
                auto const inner = nested_handlers_.find(a.number_);
                if (inner != nested_handlers_.end())
                {
                    auto const f = inner->second;
                    nested_handlers_.erase(inner);
                    return f(a.verdict_);
                }
                history_.verdicts_.push_back({now_, a.number_, a.verdict_});
            },
            [&](calls::run_on_backend& r) { start_run(i, r); },
            [&](calls::cancel_run& c)
            {
                for (auto& [id, b] : backends_)
                {
                    if (b.host_ == i && b.running_.contains(c.run_))
                        return finish_run(
                            i, id, c.run_,
                            calls::connection_broken{
                                indeterminate_reason::cancelled});
                }
            },
            [&](calls::answer_departure& d) {
                history_.departures_[d.number_] = {now_, d.outcome_};
            },
            [&](calls::probe_server& p)
            {
                bool const alive = backend_up(p.server_id_);
                at(now_ + std::chrono::milliseconds(1),
                   [this, i, p, alive] {
                       deliver(
                           i, calls::input{
                                  calls::probe_result{p.server_id_, alive}});
                   });
            },
            [&](calls::stopped&)
            {
                // The process exits once its links are flushed; its unfinished
                // work is lost.
                at(now_ + options_.max_delay_,
                   [this, i, generation = hosts_[i].generation_]
                   {
                       if (hosts_[i].generation_ != generation)
                           return;
                       kill(i);
                       hosts_[i].stopped_ = true;
                   });
            },
        },
        e);
}

} // namespace jackdawhall::test
