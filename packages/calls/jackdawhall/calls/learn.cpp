// Updates the entry's statistics of backend servers from the answers of gates,
// and decides on retries.
#include <jackdawhall/calls/pipeline_context.hpp>

#include <algorithm>

namespace jackdawhall::calls
{

namespace
{

constexpr std::uint32_t failures_before_ejection = 3;
constexpr duration base_ejection_time = std::chrono::seconds(1);
// The ejection time doubles with each consecutive ejection, at most this many
// times.
constexpr std::uint32_t max_ejection_doublings = 5;
// A request is retried after at most this many lost tries, because a request
// that is lost again may be the cause of server crashes.
constexpr std::uint32_t max_lost_tries = 1;
// Fractions of the policy's slack and share that are added to the budgets.
constexpr double slack_utilization = 0.9;
constexpr double share_utilization = 0.9;
// Fraction of the share that is added instead when the slack does not cover
// what all daemons may have saved up.
constexpr double reduced_share_utilization = 0.5;
// Most retry credits of an account at one daemon. One credit pays for one
// retry.
constexpr double max_retry_credits = 10;

void record_success(
    working_state& w, server_key const& key, server_stats& e, duration latency)
{
    if (e.consecutive_ejections_ > 0)
        w.effects_.push_back(log_message{
            "backend server no longer set aside",
            {{"server", key.second},
             {"host", key.first.str()},
             {"latency_ms", milliseconds_text(latency)}}});
    e.failures_ = 0;
    e.consecutive_ejections_ = 0;
    e.latency_ =
        e.latency_ == duration{0} ? latency : (e.latency_ * 7 + latency) / 8;
}

void record_failure(
    working_state& w, server_key const& key, server_stats& e,
    std::string_view why)
{
    if (++e.failures_ < failures_before_ejection)
        return;
    duration const length =
        base_ejection_time * (1 << e.consecutive_ejections_);
    w.effects_.push_back(log_message{
        "backend server set aside",
        {{"server", key.second},
         {"host", key.first.str()},
         {"failures", std::to_string(e.failures_)},
         {"last", std::string(why)},
         {"for_ms", milliseconds_text(length)},
         {"times", std::to_string(e.consecutive_ejections_ + 1)}}});
    e.ejected_until_ = w.at_.now_ + length;
    e.consecutive_ejections_ =
        std::min(e.consecutive_ejections_ + 1, max_ejection_doublings);
    e.failures_ = 0;
}

// Calls are placed elsewhere for a time if the gate's report is worse than that
// of other servers.
void take_run_statistics(
    working_state& w, backend_server const& server, server_stats& e,
    forward_response const& a)
{
    instant const now = w.at_.now_;
    bool const was_avoided = now < e.avoided_until_;
    bool const fails = fails_often(a.failures_per_thousand_);
    bool slow = false;
    if (a.mean_run_time_ > duration{0})
    {
        usual_run_time& usual = w.state_->usual_run_times_[server.service_];
        usual = follow_run_time(usual, a.mean_run_time_, now);
        slow = is_slow(usual, a.mean_run_time_);
    }
    bool const avoided = fails || slow;
    e.avoided_until_ = avoided ? now + avoided_server_pause : instant{};
    if (avoided == was_avoided)
        return;
    w.effects_.push_back(log_message{
        avoided ? "backend server failing or slow; avoided"
                : "backend server no longer avoided",
        {{"server", server.id_},
         {"host", server.host_.str()},
         {"failures_per_thousand", std::to_string(a.failures_per_thousand_)},
         {"run_ms", milliseconds_text(a.mean_run_time_)}}});
}

// A missed deadline counts as a failure of the server only if it has answered
// no call since `since`, when the call was forwarded. A server that answers
// other calls is busy, which its reported load already shows.
bool counts_as_server_failure(
    indeterminate_reason reason, server_stats const& e, instant since)
{
    if (reason == indeterminate_reason::deadline_passed)
        return e.last_answer_at_ < since;
    return reason != indeterminate_reason::cancelled &&
           reason != indeterminate_reason::already_claimed;
}

bool is_retryable_refusal(refusal_reason reason)
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

bool is_retryable_loss(indeterminate_reason reason)
{
    return reason == indeterminate_reason::connection_lost ||
           reason == indeterminate_reason::peer_lost ||
           reason == indeterminate_reason::answer_incomplete;
}

std::optional<retry_reason>
find_retry_reason(entry_call const& c, verdict const& v, bool shed)
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
                if (is_retryable_refusal(r.reason_))
                    return retry_reason::refused_by_gate;
                return std::nullopt;
            },
            [&](may_have_run const& r) -> reason
            {
                bool const again = repeatable && c.lost_tries_ < max_lost_tries;
                if (again && is_retryable_loss(r.reason_))
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

duration expected_latency(state const& s, entry_call const& c)
{
    if (c.tried_servers_.empty())
        return duration{0};
    auto const known = s.server_stats_.find(c.tried_servers_.back());
    return known == s.server_stats_.end() ? duration{0}
                                          : known->second.latency_;
}

// Retry credits of an account. Each first try adds a fraction of a credit. An
// account without an entry starts with max_retry_credits.
double retry_credits(state const& s, account_name const& account)
{
    auto const known = s.retry_credits_.find(account);
    return known == s.retry_credits_.end() ? max_retry_credits : known->second;
}

double retry_cost(state const& s, retry_budget const& b)
{
    return b.makes_calls_ ? s.settings_.retry_budget_policy_.nested_retry_cost_
                          : 1;
}

// For routes that bound the servers per attempt. A retry after a try that
// reached no server is not charged to the budget, because that try added no
// load to a server, but the number of such retries is limited.
bool has_retry_budget(state const& s, entry_call const& c, verdict const& v)
{
    if (!may_have_reached_server(v))
        return c.refused_tries_ < max_refused_tries;
    auto const known = s.retry_budgets_.find(c.service_);
    return c.servers_reached_ < c.max_servers_reached_ &&
           known != s.retry_budgets_.end() &&
           known->second.available_ >= retry_cost(s, known->second);
}

// Number of daemons assumed until the size of the fleet is known.
constexpr std::int64_t assumed_daemons = 50;

// Only calls from callers earn retries. Calls on open routes, which nested
// calls use, add to the load of a service but not to its retry budget.
void refill_retry_budget(state& s, entry_call const& c, instant now)
{
    retry_budget_policy const& r = s.settings_.retry_budget_policy_;
    retry_budget& b = s.retry_budgets_[c.service_];
    double const daemon_count =
        static_cast<double>(s.daemons_ > 0 ? s.daemons_ : assumed_daemons);
    // The slack first covers what all daemons may have saved up; the rest is
    // divided equally among the daemons over time.
    double const spare_slack =
        r.slack_ * slack_utilization - r.max_saved_ * daemon_count;
    double const slack_per_second =
        std::max(0.0, spare_slack) /
        std::chrono::duration<double>(r.window_).count();
    double const share =
        r.share_ *
        (spare_slack >= 0 ? share_utilization : reduced_share_utilization);
    double const since =
        b.updated_at_ == instant{}
            ? 0
            : std::chrono::duration<double>(now - b.updated_at_).count();
    double const earned = c.open_ ? 0 : share;
    double const max_available =
        b.makes_calls_ ? r.nested_retry_cost_ : r.max_saved_;
    b.available_ = std::min(
        max_available,
        b.available_ + earned + since * slack_per_second / daemon_count);
    b.updated_at_ = now;
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
    if (c.max_servers_reached_ == 0)
    {
        --c.retries_left_;
        s.retry_credits_[c.context_.account_] -= 1;
    }
    else if (may_have_reached_server(v))
    {
        retry_budget& b = s.retry_budgets_[c.service_];
        b.available_ -= retry_cost(s, b);
    }
    else
        ++c.refused_tries_;
    return c;
}

working_state record_server_outcome(
    working_state w, active_forward const& f, forward_response const& a)
{
    state& s = *w.state_;
    instant const now = w.at_.now_;
    server_key const key = key_of(f.server_);
    if (std::holds_alternative<ran>(a.verdict_))
        s.retry_budgets_[f.server_.service_].makes_calls_ = a.makes_calls_;
    if (a.time_at_gate_ > duration{0})
        w.effects_.push_back(observe_duration{
            stage::link,
            std::max(duration{0}, now - f.created_at_ - a.time_at_gate_)});
    server_stats& e = s.server_stats_[key];
    e.in_flight_ -= e.in_flight_ > 0 ? 1 : 0;
    if (a.limit_ != 0)
    {
        e.in_use_ = a.in_use_;
        e.limit_ = a.limit_;
        e.load_reported_at_ = now;
        e.admitted_ = a.admitted_;
        e.admitted_until_ = now + admission_threshold_lifetime;
        take_run_statistics(w, f.server_, e, a);
    }
    std::visit(
        overloaded{
            [&](not_run const& r)
            {
                if (r.reason_ == refusal_reason::connect_failed ||
                    r.reason_ == refusal_reason::refused_by_server)
                    record_failure(w, key, e, to_text(r.reason_));
            },
            [&](may_have_run const& r)
            {
                if (counts_as_server_failure(r.reason_, e, f.created_at_))
                    record_failure(w, key, e, to_text(r.reason_));
            },
            [&](ran const&)
            {
                e.last_answer_at_ = now;
                record_success(w, key, e, now - f.created_at_);
            },
        },
        a.verdict_);
    return w;
}

std::optional<retry_reason> decide_retry(
    state const& s, entry_call const& c, verdict const& v, bool shed,
    instant now)
{
    if (c.body_given_back_)
        return std::nullopt;
    std::optional<retry_reason> const why = find_retry_reason(c, v, shed);
    bool const allowed =
        c.max_servers_reached_ != 0
            ? has_retry_budget(s, c, v)
            : c.retries_left_ > 0 && retry_credits(s, c.context_.account_) >= 1;
    if (!why || !allowed || c.waiters_.empty())
        return std::nullopt;
    if (now + expected_latency(s, c) >= c.deadline_)
        return std::nullopt;
    return why;
}

void earn_retry_credit(state& s, entry_call const& c, instant now)
{
    account_name const& account = c.context_.account_;
    if (c.max_servers_reached_ != 0)
    {
        refill_retry_budget(s, c, now);
        return;
    }
    auto const known = s.configuration_.accounts_.find(account);
    double const percent =
        known == s.configuration_.accounts_.end()
            ? 10.0
            : static_cast<double>(known->second.retry_percent_);
    double const credits = retry_credits(s, account) + percent / 100;
    s.retry_credits_.insert_or_assign(
        account, std::min(max_retry_credits, credits));
}

} // namespace jackdawhall::calls
