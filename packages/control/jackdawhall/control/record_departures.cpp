#include <jackdawhall/control/pipeline_context.hpp>

#include <iterator>

namespace jackdawhall::control
{

namespace
{

using record_position = std::map<record_key, record>::const_iterator;

// Interval between two removals of expired records.
constexpr duration removal_interval = std::chrono::seconds(30);
// Departures recorded at a time; with more, those that follow are not recorded
// and so not acknowledged.
constexpr std::ptrdiff_t max_departures = 20000;

record_position first_departure(state_machine const& m)
{
    return m.records_.lower_bound({"departure", "", 0});
}

bool is_departure(state_machine const& m, record_position at)
{
    return at != m.records_.end() && at->first.kind_ == "departure";
}

bool is_full(state_machine const& m)
{
    record_position const end =
        m.records_.lower_bound({"departure\x01", "", 0});
    return std::distance(first_departure(m), end) >= max_departures;
}

// Whether the record shows this departure or a later one.
bool shows(record const& held, departure_report const& r)
{
    departure_v1 const* d = std::get_if<departure_v1>(&held.body_);
    return d && std::pair{d->started_, d->sequence_} >=
                    std::pair{r.started_, r.sequence_};
}

void propose_departure(pipeline_context& p, departure_report const& r)
{
    state_machine const& m = p.state_.machine_;
    record_key const key{"departure", departure_name(r.host_, r.server_id_), 1};
    auto const held = m.records_.find(key);
    bool const known = held != m.records_.end();
    if (known ? shows(held->second, r) : is_full(m))
        return;
    revision const expected = known ? held->second.revision_ : 0;
    std::string const operation =
        to_text(key) + "-" + std::to_string(r.started_) + "-" +
        std::to_string(r.sequence_) + "-" + std::to_string(expected);
    departure_v1 const body{
        r.started_, r.sequence_, p.at_.wall_.time_since_epoch().count()};
    propose_commands(
        p,
        {change_command{
            {operation, "departures", {{key, expected, body}}}, p.at_.wall_}});
}

std::vector<edit> removals_of_expired(state_machine const& m, wall_time now)
{
    std::vector<edit> edits;
    record_position at = first_departure(m);
    for (; is_departure(m, at) && edits.size() < max_edits; ++at)
    {
        departure_v1 const* d = std::get_if<departure_v1>(&at->second.body_);
        wall_time const recorded{
            std::chrono::milliseconds(d ? d->recorded_ms_ : 0)};
        if (d && now - recorded > departure_lifetime)
            edits.push_back({at->first, at->second.revision_, std::nullopt});
    }
    return edits;
}

void remove_expired(pipeline_context& p)
{
    state& s = p.state_;
    if (p.at_.now_ < s.departures_due_)
        return;
    s.departures_due_ = p.at_.now_ + removal_interval;
    std::vector<edit> edits = removals_of_expired(s.machine_, p.at_.wall_);
    if (edits.empty())
        return;
    std::string const operation =
        "departures-expired-" + std::to_string(s.machine_.revision_);
    propose_commands(
        p, {change_command{
               {operation, "departures", std::move(edits)}, p.at_.wall_}});
}

} // namespace

pipeline_context record_departures(pipeline_context p)
{
    if (!is_leader(p.state_.consensus_))
        return p;
    if (departure_report const* r = received_message<departure_report>(p))
        propose_departure(p, *r);
    if (std::holds_alternative<timer_expired>(p.input_))
        remove_expired(p);
    return p;
}

} // namespace jackdawhall::control
