// What an entry learns from answers, and whether it tries again.
#include <jackdawhall/calls/passage.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr std::uint32_t failures_to_set_aside = 3;
constexpr duration first_set_aside = std::chrono::seconds(1);
constexpr std::uint32_t most_set_asides = 5; // then the time stays the same
// A request is tried again once after a loss: what was lost twice may be what
// crashes its servers.
constexpr std::uint32_t most_losses = 1;
// Parts of what is allowed to a service that are spent.
constexpr double used_slack = 0.9;
constexpr double used_share = 0.9;
// Where the slack cannot hold what so many daemons may have saved up.
constexpr double careful_share = 0.5;
// Retry credits of an account at one daemon.
constexpr double most_credits = 10;

void succeed(
    working_state& w, server_key const& key, evidence& e, duration latency)
{
    if (e.set_asides_ > 0)
        w.effects_.push_back(log_message{
            "backend server no longer set aside",
            {{"server", key.second},
             {"host", key.first.str()},
             {"latency_ms", milliseconds_text(latency)}}});
    e.failures_ = 0;
    e.set_asides_ = 0;
    e.latency_ =
        e.latency_ == duration{0} ? latency : (e.latency_ * 7 + latency) / 8;
}

void fail(
    working_state& w, server_key const& key, evidence& e, std::string_view why)
{
    if (++e.failures_ < failures_to_set_aside)
        return;
    duration const length = first_set_aside * (1 << e.set_asides_);
    w.effects_.push_back(log_message{
        "backend server set aside",
        {{"server", key.second},
         {"host", key.first.str()},
         {"failures", std::to_string(e.failures_)},
         {"last", std::string(why)},
         {"for_ms", milliseconds_text(length)},
         {"times", std::to_string(e.set_asides_ + 1)}}});
    e.set_aside_until_ = w.at_.now_ + length;
    e.set_asides_ = std::min(e.set_asides_ + 1, most_set_asides);
    e.failures_ = 0;
}

// A call that ran out of time blames a server only if that server has answered
// nobody since: one that answers others is busy, and its load says so.
bool blames_server(
    indeterminate_reason reason, evidence const& e, instant since)
{
    if (reason == indeterminate_reason::deadline_passed)
        return e.answered_ < since;
    return reason != indeterminate_reason::cancelled &&
           reason != indeterminate_reason::already_claimed;
}

bool is_refusal_to_retry(refusal_reason reason)
{
    switch (reason)
    {
    case refusal_reason::shed_at_gate:
    case refusal_reason::server_draining:
    case refusal_reason::no_server:
    case refusal_reason::stopping:
        return true;
    default:
        return false;
    }
}

bool is_loss_to_retry(indeterminate_reason reason)
{
    return reason == indeterminate_reason::connection_lost ||
           reason == indeterminate_reason::peer_lost ||
           reason == indeterminate_reason::answer_incomplete;
}

std::optional<retry_reason>
reason_to_retry(entry_call const& c, verdict const& v, bool shed)
{
    using reason = std::optional<retry_reason>;
    bool const repeatable = c.context_.repeatable_;
    return std::visit(
        overloaded{
            [](not_run const& r) -> reason
            {
                if (r.reason_ == refusal_reason::refused_by_server ||
                    r.reason_ == refusal_reason::server_replaced)
                    return retry_reason::refused_by_server;
                if (r.reason_ == refusal_reason::connect_failed)
                    return retry_reason::connect_failed;
                if (is_refusal_to_retry(r.reason_))
                    return retry_reason::refused_by_gate;
                return std::nullopt;
            },
            [&](may_have_run const& r) -> reason
            {
                bool const again = repeatable && c.losses_ < most_losses;
                if (again && is_loss_to_retry(r.reason_))
                    return retry_reason::repeatable_lost;
                return std::nullopt;
            },
            [&](ran const&) -> reason
            {
                if (repeatable && shed)
                    return retry_reason::repeatable_failed;
                return std::nullopt;
            },
        },
        v);
}

duration usual_latency(state const& s, entry_call const& c)
{
    if (c.tried_.empty())
        return duration{0};
    auto const known = s.evidence_.find(c.tried_.back());
    return known == s.evidence_.end() ? duration{0} : known->second.latency_;
}

// Each first try earns the account a part of a retry.
double credits_of(state const& s, account_name const& account)
{
    auto const known = s.retry_credits_.find(account);
    return known == s.retry_credits_.end() ? most_credits : known->second;
}

double cost_of_retry(state const& s, retry_budget const& b)
{
    return b.makes_calls_ ? s.settings_.retry_allowance_.calling_cost_ : 1;
}

// Of a route that bounds its attempts. A try that reached no server is free,
// up to a bound: it adds no load to any.
bool may_try_again(state const& s, entry_call const& c, verdict const& v)
{
    if (!may_have_reached_server(v))
        return c.refused_tries_ < most_refused_tries;
    auto const known = s.retry_budgets_.find(c.service_);
    return c.arrivals_ < c.most_arrivals_ && known != s.retry_budgets_.end() &&
           known->second.left_ >= cost_of_retry(s, known->second);
}

// Only what callers send earns: the calls that their requests make add to the
// load of a service, but not to what it may be retried.
void earn_retry(state& s, entry_call const& c, instant now)
{
    retry_allowance const& r = s.settings_.retry_allowance_;
    retry_budget& b = s.retry_budgets_[c.service_];
    double const daemons =
        static_cast<double>(std::max<std::int64_t>(1, s.daemons_));
    // What all daemons may have saved up is spent from the slack; the rest of
    // it is theirs in equal parts.
    double const spare = r.slack_ * used_slack - r.most_ * daemons;
    double const a_second =
        std::max(0.0, spare) / std::chrono::duration<double>(r.window_).count();
    double const share = r.share_ * (spare >= 0 ? used_share : careful_share);
    double const since =
        b.as_of_ == instant{}
            ? 0
            : std::chrono::duration<double>(now - b.as_of_).count();
    double const earned = c.open_ ? 0 : share;
    double const most = b.makes_calls_ ? r.calling_cost_ : r.most_;
    b.left_ = std::min(most, b.left_ + earned + since * a_second / daemons);
    b.as_of_ = now;
}

} // namespace

bool may_have_reached_server(verdict const& v)
{
    not_run const* r = std::get_if<not_run>(&v);
    return !r || r->reason_ == refusal_reason::refused_by_server ||
           r->reason_ == refusal_reason::server_replaced;
}

entry_call charge_retry(state& s, entry_call c, verdict const& v)
{
    if (c.most_arrivals_ == 0)
    {
        --c.retries_left_;
        s.retry_credits_[c.context_.account_] -= 1;
    }
    else if (may_have_reached_server(v))
    {
        retry_budget& b = s.retry_budgets_[c.service_];
        b.left_ -= cost_of_retry(s, b);
    }
    else
        ++c.refused_tries_;
    return c;
}

working_state record_server_outcome(
    working_state w, forwarded const& f, forward_response const& a)
{
    state& s = *w.state_;
    instant const now = w.at_.now_;
    server_key const key = key_of(f.server_);
    if (std::holds_alternative<ran>(a.verdict_))
        s.retry_budgets_[f.server_.service_].makes_calls_ = a.makes_calls_;
    if (a.held_ > duration{0})
        w.effects_.push_back(observe_duration{
            stage::link, std::max(duration{0}, now - f.since_ - a.held_)});
    evidence& e = s.evidence_[key];
    e.in_flight_ -= e.in_flight_ > 0 ? 1 : 0;
    if (a.limit_ != 0)
    {
        e.in_use_ = a.in_use_;
        e.limit_ = a.limit_;
        e.told_ = now;
        e.admitted_ = a.admitted_;
        e.admitted_until_ = now + threshold_lifetime;
    }
    std::visit(
        overloaded{
            [&](not_run const& r)
            {
                if (r.reason_ == refusal_reason::connect_failed ||
                    r.reason_ == refusal_reason::refused_by_server)
                    fail(w, key, e, to_text(r.reason_));
            },
            [&](may_have_run const& r)
            {
                if (blames_server(r.reason_, e, f.since_))
                    fail(w, key, e, to_text(r.reason_));
            },
            [&](ran const&)
            {
                e.answered_ = now;
                succeed(w, key, e, now - f.since_);
            },
        },
        a.verdict_);
    return w;
}

std::optional<retry_reason> decide_retry(
    state const& s, entry_call const& c, verdict const& v, bool shed,
    instant now)
{
    std::optional<retry_reason> const why = reason_to_retry(c, v, shed);
    bool const allowed =
        c.most_arrivals_ != 0
            ? may_try_again(s, c, v)
            : c.retries_left_ > 0 && credits_of(s, c.context_.account_) >= 1;
    if (!why || !allowed || c.waiters_.empty())
        return std::nullopt;
    if (now + usual_latency(s, c) >= c.deadline_)
        return std::nullopt;
    return why;
}

void earn_retry_credit(state& s, entry_call const& c, instant now)
{
    account_name const& account = c.context_.account_;
    if (c.most_arrivals_ != 0)
    {
        earn_retry(s, c, now);
        return;
    }
    auto const known = s.configuration_.accounts_.find(account);
    double const percent =
        known == s.configuration_.accounts_.end()
            ? 10.0
            : static_cast<double>(known->second.retry_percent_);
    double const credits = credits_of(s, account) + percent / 100;
    s.retry_credits_.insert_or_assign(account, std::min(most_credits, credits));
}

} // namespace jackdawhall::calls
