// The daemon's side of the budget for what it holds for others.
#include <jackdawhall/daemon/daemon.hpp>

namespace jackdawhall::daemon
{

void daemon::count_kept_by_calls()
{
    kept_by_calls_.set(loop::kept_by_calls{}, calls::held_bytes(calls_));
}

void daemon::log_yield(loop::yielded const& y)
{
    say(severity::warn, part::daemon, "too much held for others, one yields",
        {{"kind", std::string(loop::kind_text(y.holder_.holding_.index()))},
         {"for", loop::to_text(loop::party_of(y.holder_.holding_))},
         {"bytes", std::to_string(y.holder_.bytes_)},
         {"party_bytes", std::to_string(y.party_bytes_)},
         {"total", std::to_string(y.total_)},
         {"budget", std::to_string(budget_->bytes())}});
}

} // namespace jackdawhall::daemon
