// The order in which a gate runs what is queued for its server: what matters
// most first, then accounts that were served less.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>
#include <cmath>

namespace jackdawhall::calls
{

namespace
{

// A queue with a call older than this is overloaded: newest first.
constexpr duration queue_target = std::chrono::milliseconds(20);
// Time in which the memory of served calls falls to a half.
constexpr duration served_half_life = std::chrono::seconds(1);

double served(local_server const& server, account_name const& account)
{
    auto const known = server.served_.find(account);
    return known == server.served_.end() ? 0 : known->second;
}

// Whether `left` runs before `right`: by rank, then the rank of the route, then
// the account served less, then by age: oldest first, or newest first under
// overload.
bool runs_before(
    local_server const& server, gate_run const& left, gate_run const& right,
    bool overloaded)
{
    if (left.context_.rank_ != right.context_.rank_)
        return left.context_.rank_ < right.context_.rank_;
    if (left.context_.route_rank_ != right.context_.route_rank_)
        return left.context_.route_rank_ < right.context_.route_rank_;
    double const served_left = served(server, left.context_.account_);
    double const served_right = served(server, right.context_.account_);
    if (std::abs(served_left - served_right) >= 1)
        return served_left < served_right;
    return overloaded ? left.since_ > right.since_ : left.since_ < right.since_;
}

bool is_suspect(working_state const& w, gate_run const& run)
{
    return crashes_of(w.state_->configuration_, run.suspect_, w.at_.wall_) > 0;
}

// Two suspects never run at once, so that a second crash names one of them.
bool must_wait(
    working_state const& w, local_server const& server, gate_run const& run)
{
    return is_suspect(w, run) &&
           std::any_of(
               server.running_.begin(), server.running_.end(),
               [&](call_number other)
               { return is_suspect(w, w.state_->runs_.at(other)); });
}

bool is_overloaded(working_state const& w, local_server const& server)
{
    return !server.queued_.empty() &&
           w.at_.now_ - w.state_->runs_.at(server.queued_.front()).since_ >
               queue_target;
}

} // namespace

void decay_served(local_server& server, instant now)
{
    duration const age = now - server.served_as_of_;
    if (age < served_half_life / 10)
        return;
    double const factor = std::exp2(
        -static_cast<double>(age.count()) /
        static_cast<double>(served_half_life.count()));
    for (auto& account : server.served_)
        account.second *= factor;
    std::erase_if(
        server.served_, [](auto const& a) { return a.second < 0.01; });
    server.served_as_of_ = now;
}

std::optional<call_number>
next_to_run(working_state const& w, local_server const& server)
{
    std::optional<call_number> best;
    bool const overloaded = is_overloaded(w, server);
    for (call_number const number : server.queued_)
    {
        gate_run const& run = w.state_->runs_.at(number);
        if (must_wait(w, server, run))
            continue;
        bool const better =
            !best ||
            runs_before(server, run, w.state_->runs_.at(*best), overloaded);
        if (better)
            best = number;
    }
    return best;
}

call_number last_to_run(working_state const& w, local_server const& server)
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
