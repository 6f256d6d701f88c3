// The disks of a memory_fleet's hosts, and the effects of control nodes that
// wait for them.
#include "memory_fleet.hpp"

namespace jackdawhall::test
{

namespace
{

// Time between two tries to use a disk that failed, as in the daemon.
constexpr duration disk_retry = std::chrono::seconds(1);

bool waits_for_disk(control::effect const& e)
{
    send const* s = std::get_if<send>(&e);
    if (!s)
        return false;
    message const& m = s->outgoing_.message_;
    return std::holds_alternative<vote_request>(m) ||
           std::holds_alternative<vote_response>(m) ||
           std::holds_alternative<append_request>(m) ||
           std::holds_alternative<append_response>(m) ||
           std::holds_alternative<install_snapshot>(m);
}

} // namespace

void apply_store(control::recovered_state& disk, control::effect const& e)
{
    if (auto const* s = std::get_if<control::store_hard_state>(&e))
        disk.hard_state_ = s->hard_state_;
    if (auto const* s = std::get_if<control::store_entries>(&e))
    {
        for (log_entry const& entry : s->entries_)
        {
            log_index const base = disk.snapshot_.last_index_;
            if (entry.index_ <= base)
                continue;
            if (entry.index_ - base - 1 < disk.entries_.size())
                disk.entries_.resize(entry.index_ - base - 1);
            disk.entries_.push_back(entry);
        }
    }
    if (auto const* s = std::get_if<control::store_snapshot>(&e))
    {
        disk.snapshot_ = s->snapshot_;
        disk.hard_state_ = s->hard_state_;
        disk.entries_ = s->retained_entries_;
    }
}

void memory_fleet::lose_disk(std::size_t i)
{
    hosts_[i].disk_.reset();
    hosts_[i].unsynced_.clear();
}

void memory_fleet::fill_disk(std::size_t i)
{
    hosts_[i].disk_full_ = true;
}

void memory_fleet::free_disk(std::size_t i)
{
    hosts_[i].disk_full_ = false;
}

// What was written before is synced by the journal's next opening.
void memory_fleet::fail_disk(std::size_t i)
{
    sim_host& h = hosts_[i];
    control::effects told = control::abandon_changes(*h.control_);
    ++h.disk_runs_;
    h.control_.reset();
    h.deferred_effects_.clear();
    for (store const& written : std::exchange(h.unsynced_, {}))
        apply_store(*h.disk_, written.effect_);
    for (control::effect& e : told)
        perform(i, std::move(e));
    at(now_ + disk_retry,
       [this, i, generation = h.generation_]
       {
           if (hosts_[i].generation_ != generation)
               return;
           start_control(i);
           schedule_timer(i);
       });
}

void memory_fleet::carry_out(std::size_t i, control::effect e)
{
    sim_host& h = hosts_[i];
    if (h.last_store_ > h.synced_ && waits_for_disk(e))
        h.deferred_effects_.push_back({h.last_store_, std::move(e)});
    else
        perform(i, std::move(e));
}

void memory_fleet::perform(std::size_t i, control::effect e)
{
    sim_host& h = hosts_[i];
    std::visit(
        overloaded{
            [&](send& s) { transmit(i, std::move(s.outgoing_)); },
            [&](control::answer_operator& a)
            {
                change_event& c =
                    history_.changes_.at(h.changes_.at(a.number_ - 1));
                c.answered_at_ = now_;
                c.outcome_ = a.outcome_;
            },
            [&](log_message&) {},
            [&](auto& stored)
            {
                if (h.disk_full_)
                    return fail_disk(i);
                h.last_store_ = stored.number_;
                h.unsynced_.push_back({stored.number_, stored});
            },
        },
        e);
}

void memory_fleet::start_sync(std::size_t i)
{
    sim_host& h = hosts_[i];
    if (h.syncing_ || !h.control_ || h.last_store_ == h.synced_)
        return;
    h.syncing_ = true;
    control::store_number const number = h.last_store_;
    at(now_ + options_.sync_time_,
       [this, i, number, generation = h.generation_, run = h.disk_runs_]
       {
           if (hosts_[i].generation_ == generation &&
               hosts_[i].disk_runs_ == run)
               finish_sync(i, number);
       });
}

void memory_fleet::finish_sync(std::size_t i, control::store_number number)
{
    sim_host& h = hosts_[i];
    while (!h.unsynced_.empty() && h.unsynced_.front().number_ <= number)
    {
        apply_store(*h.disk_, h.unsynced_.front().effect_);
        h.unsynced_.erase(h.unsynced_.begin());
    }
    h.synced_ = number;
    h.syncing_ = false;
    while (!h.deferred_effects_.empty() &&
           h.deferred_effects_.front().after_ <= number)
    {
        control::effect e = std::move(h.deferred_effects_.front().effect_);
        h.deferred_effects_.pop_front();
        perform(i, std::move(e));
    }
    deliver(i, control::input{control::stores_synced{number}});
    start_sync(i);
}

} // namespace jackdawhall::test
