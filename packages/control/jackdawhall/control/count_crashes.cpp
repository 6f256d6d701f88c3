#include <jackdawhall/control/pipeline_context.hpp>

#include <algorithm>
#include <iterator>

namespace jackdawhall::control
{

namespace
{

// Crashes whose processes a record names. Those that follow change nothing: the
// request is refused long before.
constexpr std::size_t max_recorded_processes = 8;

std::string process_of(crash_report const& r)
{
    return fingerprint(
        r.host_.str() + " " + r.server_id_ + " " + std::to_string(r.started_));
}

record_key suspect_key(std::string const& suspect)
{
    return {"suspect", suspect, 1};
}

// The record of a suspect; nullptr if there is none.
record const* find_record(state_machine const& m, std::string const& suspect)
{
    auto const held = m.records_.find(suspect_key(suspect));
    return held == m.records_.end() ? nullptr : &held->second;
}

suspect_v1 recorded_suspect(record const* held)
{
    suspect_v1 const* s =
        held ? std::get_if<suspect_v1>(&held->body_) : nullptr;
    return s ? *s : suspect_v1{};
}

// Processes counted that neither the record names nor a good end has cleared.
std::vector<std::string>
unrecorded_processes(suspect_v1 const& recorded, crash_count const& count)
{
    std::vector<std::string> fresh;
    for (std::string const& process : count.processes_)
    {
        bool const known = std::binary_search(
            recorded.processes_.begin(), recorded.processes_.end(), process);
        if (!known && !count.cleared_.contains(process))
            fresh.push_back(process);
    }
    return fresh;
}

suspect_v1 with_crashes(
    suspect_v1 recorded, std::vector<std::string> const& fresh, wall_time wall)
{
    recorded.crashes_ += static_cast<std::int64_t>(fresh.size());
    recorded.expires_ms_ = (wall + suspect_lifetime).time_since_epoch().count();
    recorded.processes_.insert(
        recorded.processes_.end(), fresh.begin(), fresh.end());
    std::sort(recorded.processes_.begin(), recorded.processes_.end());
    return recorded;
}

change_command make_suspect_change(
    std::string const& suspect, record const* held, suspect_v1 body,
    wall_time wall)
{
    revision const expected = held ? held->revision_ : 0;
    std::string const operation = "suspect-" + suspect + "-" +
                                  std::to_string(body.crashes_) + "-" +
                                  std::to_string(expected);
    return {
        {operation,
         "crash reports",
         {{suspect_key(suspect), expected, std::move(body)}}},
        wall};
}

change_command
make_removal(std::string const& why, record const& held, wall_time wall)
{
    std::string const operation = why + "-" + std::to_string(held.revision_);
    return {
        {operation,
         "crash reports",
         {{held.key_, held.revision_, std::nullopt}}},
        wall};
}

void count_crash(pipeline_context& p, crash_report const& r)
{
    std::string const process = process_of(r);
    for (std::string const& suspect : r.suspects_)
    {
        crash_count& count = p.state_.crashes_[suspect];
        count.processes_.insert(process);
        count.last_crash_ = p.at_.now_;
    }
}

// Crashes reported so far were not this request's, nor are those recorded.
void clear_suspect(pipeline_context& p, suspect_completed const& done)
{
    record const* held = find_record(p.state_.machine_, done.suspect_);
    if (!held)
        return;
    crash_count& count = p.state_.crashes_[done.suspect_];
    if (!count.pending_operation_.empty())
        return;
    std::vector<std::string> const recorded = recorded_suspect(held).processes_;
    count.processes_.insert(recorded.begin(), recorded.end());
    count.cleared_ = count.processes_;
    count.last_crash_ = p.at_.now_;
    change_command removal =
        make_removal("suspect-completed", *held, p.at_.wall_);
    count.pending_operation_ = removal.change_.operation_id_;
    propose_commands(p, {std::move(removal)});
}

// Proposes the removal of the first expired suspect; others follow with later
// timer_expired inputs.
void remove_expired_suspect(pipeline_context& p)
{
    std::map<record_key, record> const& records = p.state_.machine_.records_;
    std::int64_t const now = p.at_.wall_.time_since_epoch().count();
    auto held = records.lower_bound(suspect_key(""));
    for (; held != records.end() && held->first.kind_ == "suspect"; ++held)
    {
        suspect_v1 const* s = std::get_if<suspect_v1>(&held->second.body_);
        if (!s || s->expires_ms_ >= now)
            continue;
        return propose_commands(
            p, {make_removal("suspect-expired", held->second, p.at_.wall_)});
    }
}

// Operations that were applied are no longer pending.
void note_applied(pipeline_context& p)
{
    for (apply_result const& outcome : p.applied_)
    {
        change_applied const* c = std::get_if<change_applied>(&outcome);
        for (auto& counted : p.state_.crashes_)
        {
            if (c && counted.second.pending_operation_ == c->operation_id_)
                counted.second.pending_operation_.clear();
        }
    }
}

} // namespace

pipeline_context count_crashes(pipeline_context p)
{
    if (!is_leader(p.state_.consensus_))
        return p;
    if (crash_report const* r = received_message<crash_report>(p))
        count_crash(p, *r);
    if (suspect_completed const* done = received_message<suspect_completed>(p))
        clear_suspect(p, *done);
    std::erase_if(
        p.state_.crashes_, [&](auto const& count)
        { return p.at_.now_ - count.second.last_crash_ > suspect_lifetime; });
    return p;
}

pipeline_context record_suspects(pipeline_context p)
{
    if (!is_leader(p.state_.consensus_))
        return p;
    note_applied(p);
    std::vector<command> commands;
    for (auto& [suspect, count] : p.state_.crashes_)
    {
        if (!count.pending_operation_.empty())
            continue;
        record const* held = find_record(p.state_.machine_, suspect);
        suspect_v1 const recorded = recorded_suspect(held);
        std::vector<std::string> const fresh =
            unrecorded_processes(recorded, count);
        if (fresh.empty() ||
            recorded.processes_.size() >= max_recorded_processes)
            continue;
        change_command c = make_suspect_change(
            suspect, held, with_crashes(recorded, fresh, p.at_.wall_),
            p.at_.wall_);
        count.pending_operation_ = c.change_.operation_id_;
        commands.push_back(std::move(c));
    }
    propose_commands(p, std::move(commands));
    if (std::holds_alternative<timer_expired>(p.input_))
        remove_expired_suspect(p);
    return p;
}

} // namespace jackdawhall::control
