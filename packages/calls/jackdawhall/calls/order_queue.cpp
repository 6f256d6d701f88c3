// Order of the runs queued at a gate: by importance, then by fairness between
// accounts.
#include <jackdawhall/calls/gate_run.hpp>

#include <algorithm>
#include <cmath>

namespace jackdawhall::calls
{

namespace
{

// A queue whose oldest run has waited longer than this is overloaded, and is
// served newest first.
constexpr duration max_queue_delay = std::chrono::milliseconds(20);
// Half-life of the counts of recent runs.
constexpr duration recent_runs_half_life = std::chrono::seconds(1);

double recent_runs(local_server const& server, account_name const& account)
{
    auto const known = server.recent_runs_.find(account);
    return known == server.recent_runs_.end() ? 0 : known->second;
}

// Whether `left` runs before `right`. The more important rank goes first, then
// the more important rank of the route, then the account with fewer recent runs
// if the counts differ by 1 or more, then the older run, or the newer one under
// overload.
bool runs_before(
    local_server const& server, gate_run const& left, gate_run const& right,
    bool overloaded)
{
    if (left.context_.rank_ != right.context_.rank_)
        return left.context_.rank_ < right.context_.rank_;
    if (left.context_.route_rank_ != right.context_.route_rank_)
        return left.context_.route_rank_ < right.context_.route_rank_;
    double const recent_runs_left = recent_runs(server, left.context_.account_);
    double const recent_runs_right =
        recent_runs(server, right.context_.account_);
    if (std::abs(recent_runs_left - recent_runs_right) >= 1)
        return recent_runs_left < recent_runs_right;
    return overloaded ? left.created_at_ > right.created_at_
                      : left.created_at_ < right.created_at_;
}

bool is_suspect(working_state const& w, gate_run const& run)
{
    return crash_count(w.state_->configuration_, run.suspect_, w.at_.wall_) > 0;
}

// Requests suspected of a crash run one at a time per server, so that a second
// crash can be attributed to a single request.
bool must_wait(
    working_state const& w, local_server const& server, gate_run const& run)
{
    return is_suspect(w, run) &&
           std::any_of(
               server.running_.begin(), server.running_.end(),
               [&](call_number other)
               { return is_suspect(w, w.state_->runs_.at(other)); });
}

// Whether new work holds all the slots that it may hold.
bool is_new_work_at_limit(working_state const& w, local_server const& server)
{
    std::size_t const limit = concurrency_limit(server.limiter_);
    std::size_t const most =
        max_new_runs(server.new_work_share_, limit, w.at_.now_);
    if (most >= limit)
        return false;
    auto const new_runs = std::count_if(
        server.running_.begin(), server.running_.end(),
        [&](call_number number)
        { return !serves_run_in_progress(w.state_->runs_.at(number)); });
    return static_cast<std::size_t>(new_runs) >= most;
}

bool is_overloaded(working_state const& w, local_server const& server)
{
    return !server.queued_.empty() &&
           w.at_.now_ - w.state_->runs_.at(server.queued_.front()).created_at_ >
               max_queue_delay;
}

} // namespace

void decay_recent_runs(local_server& server, instant now)
{
    duration const age = now - server.recent_runs_updated_at_;
    if (age < recent_runs_half_life / 10)
        return;
    double const factor = std::exp2(
        -static_cast<double>(age.count()) /
        static_cast<double>(recent_runs_half_life.count()));
    for (auto& account : server.recent_runs_)
        account.second *= factor;
    std::erase_if(
        server.recent_runs_, [](auto const& a) { return a.second < 0.01; });
    server.recent_runs_updated_at_ = now;
}

std::optional<call_number>
select_next_run(working_state const& w, local_server const& server)
{
    std::optional<call_number> best;
    bool const overloaded = is_overloaded(w, server);
    bool const no_new_work = is_new_work_at_limit(w, server);
    for (call_number const number : server.queued_)
    {
        gate_run const& run = w.state_->runs_.at(number);
        if (must_wait(w, server, run) ||
            (no_new_work && !serves_run_in_progress(run)))
            continue;
        bool const better =
            !best ||
            runs_before(server, run, w.state_->runs_.at(*best), overloaded);
        if (better)
            best = number;
    }
    return best;
}

call_number
select_run_to_shed(working_state const& w, local_server const& server)
{
    bool const overloaded = is_overloaded(w, server);
    return *std::max_element(
        server.queued_.begin(), server.queued_.end(),
        [&](call_number left, call_number right)
        {
            return runs_before(
                server, w.state_->runs_.at(left), w.state_->runs_.at(right),
                overloaded);
        });
}

} // namespace jackdawhall::calls
