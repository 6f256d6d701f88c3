#include <jackdawhall/daemon/metrics.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

#include <unistd.h>

namespace jackdawhall::daemon
{

namespace
{

namespace acc = boost::accumulators;

constexpr double microseconds = 1e-6; // in seconds

double seconds(duration d)
{
    return static_cast<double>(d.count()) * microseconds;
}

template <class Value>
void line(
    std::ostringstream& out, std::string const& name, std::string const& labels,
    Value value)
{
    out << "jackdawhall_" << name;
    if (!labels.empty())
        out << "{" << labels << "}";
    out << " " << value << "\n";
}

void head(
    std::ostringstream& out, std::string const& name, char const* kind,
    std::string const& help)
{
    out << "# HELP jackdawhall_" << name << " " << help << "\n"
        << "# TYPE jackdawhall_" << name << " " << kind << "\n";
}

template <class Reason>
void expose_reasons(
    std::ostringstream& out, std::string const& name, std::string const& help,
    calls::reason_counters<Reason> const& counters)
{
    head(out, name, "counter", help);
    for (std::size_t i = 0; i < counters.size(); ++i)
        line(
            out, name,
            "reason=\"" + std::string(to_text(static_cast<Reason>(i))) + "\"",
            counters.at(i));
}

template <class Value>
void expose_one(
    std::ostringstream& out, std::string const& name, char const* kind,
    std::string const& help, Value value)
{
    head(out, name, kind, help);
    line(out, name, "", value);
}

void expose_server(
    std::ostringstream& out, std::string const& id,
    calls::local_server const& server, instant now)
{
    std::string const labels = "service=\"" +
                               server.announcement_.service_.str() +
                               "\",server=\"" + id + "\"";
    line(out, "gate_running", labels, server.running_.size());
    line(out, "gate_queued", labels, server.queued_.size());
    std::size_t const limit = calls::concurrency_limit(server.limiter_);
    line(out, "gate_limit", labels, limit);
    line(
        out, "gate_new_work_limit", labels,
        calls::max_new_runs(server.new_work_share_, limit, now));
    line(
        out, "gate_admitted_rank", labels,
        static_cast<unsigned>(server.admitted_));
    line(
        out, "gate_announcement_age_seconds", labels,
        seconds(now - server.last_heard_at_));
}

void expose_beliefs(std::ostringstream& out, calls::state const& s, instant now)
{
    expose_one(
        out, "configuration_revision", "gauge",
        "Newest configuration revision taken.", s.configuration_.revision_);
    expose_one(
        out, "configuration_fresh", "gauge",
        "1 while the freshness lease holds.",
        calls::is_fresh(s.configuration_, now) ? 1 : 0);
    if (s.configuration_.fresh_until_)
        expose_one(
            out, "configuration_lease_left_seconds", "gauge",
            "Time left of the freshness lease; below 0: ended.",
            seconds(*s.configuration_.fresh_until_ - now));
    expose_one(
        out, "configuration_records_unused", "gauge",
        "Records of a schema newer than this program.",
        s.configuration_.unused_records_);
    expose_one(
        out, "control_silent_seconds", "gauge",
        "Time since the control host's last useful answer.",
        seconds(now - s.control_.last_answer_at_));
    expose_one(
        out, "membership_version", "gauge",
        "Version of the lists of servers; 0: asked for anew.",
        s.control_.membership_version_);
    head(out, "servers_known", "gauge", "Backend servers known of a service.");
    for (auto const& [service, servers] : s.servers_)
        line(
            out, "servers_known", "service=\"" + service.str() + "\"",
            servers.size());
    expose_one(
        out, "servers_set_aside", "gauge", "Backend servers set aside now.",
        std::count_if(
            s.server_stats_.begin(), s.server_stats_.end(),
            [&](auto const& e) { return e.second.ejected_until_ > now; }));
}

void expose_tokens(std::ostringstream& out, calls::counters const& n)
{
    auto const spent = [&](calls::token_source from)
    { return n.tokens_.at(static_cast<std::size_t>(from)); };
    head(
        out, "rate_tokens_spent_total", "counter",
        "Tokens of shared rates spent, by where they come from.");
    line(
        out, "rate_tokens_spent_total", "source=\"granted\"",
        spent(calls::token_source::granted));
    line(
        out, "rate_tokens_spent_total", "source=\"lent\"",
        spent(calls::token_source::lent));
    line(
        out, "rate_tokens_spent_total", "source=\"standby\"",
        spent(calls::token_source::standby));
}

// Pages in memory, by the second number of /proc/self/statm; 0: not known.
std::uint64_t resident_bytes()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t all = 0;
    std::uint64_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

void latency::add(duration d)
{
    accumulator_(static_cast<double>(d.count()));
    auto const bucket = std::lower_bound(
        latency_bounds.begin(), latency_bounds.end(), d.count());
    ++buckets_.at(static_cast<std::size_t>(bucket - latency_bounds.begin()));
}

std::string
latency::expose(std::string const& name, std::string const& labels) const
{
    std::ostringstream out;
    std::string const more = labels.empty() ? "" : labels + ",";
    std::uint64_t below = 0;
    for (std::size_t i = 0; i < latency_bounds.size(); ++i)
    {
        below += buckets_.at(i);
        std::ostringstream bound;
        bound << static_cast<double>(latency_bounds.at(i)) * microseconds;
        line(out, name + "_bucket", more + "le=\"" + bound.str() + "\"", below);
    }
    std::size_t const count = acc::count(accumulator_);
    line(out, name + "_bucket", more + "le=\"+Inf\"", count);
    line(out, name + "_sum", labels, acc::sum(accumulator_) * microseconds);
    line(out, name + "_count", labels, count);
    return out.str();
}

std::string expose_latencies(
    std::string const& name, std::string const& help,
    std::vector<labelled_latency> const& all)
{
    std::ostringstream out;
    head(out, name, "histogram", help);
    for (labelled_latency const& l : all)
        out << l.latency_.expose(name, l.labels_);
    return out.str();
}

std::string expose_calls(calls::state const& s, instant now)
{
    std::ostringstream out;
    calls::counters const& n = s.counters_;
    expose_one(
        out, "requests_total", "counter", "Requests taken from callers.",
        n.requests_);
    expose_one(
        out, "ran_total", "counter", "Requests answered by a backend server.",
        n.ran_);
    expose_one(
        out, "joined_total", "counter",
        "Resends that joined a request in progress.", n.joined_);
    expose_one(
        out, "runs_total", "counter", "Runs started at the servers beside.",
        n.runs_);
    expose_reasons<refusal_reason>(
        out, "refusals_total", "Requests refused; they have not run.",
        n.refusals_);
    expose_reasons<indeterminate_reason>(
        out, "doubts_total", "Requests that may have run.", n.doubts_);
    expose_reasons<retry_reason>(
        out, "retries_total", "Requests tried again.", n.retries_);
    expose_one(
        out, "calls_in_progress", "gauge", "Requests at the entry.",
        s.calls_.size());
    expose_one(
        out, "runs_in_progress", "gauge", "Runs and queued requests at gates.",
        s.runs_.size());
    expose_tokens(out, n);
    expose_beliefs(out, s, now);
    head(out, "gate_running", "gauge", "Runs at a server.");
    head(out, "gate_queued", "gauge", "Requests queued for a server.");
    head(out, "gate_limit", "gauge", "Most runs at once.");
    head(
        out, "gate_new_work_limit", "gauge",
        "Most runs at once that are no calls of runs in progress.");
    head(out, "gate_admitted_rank", "gauge", "Least important rank admitted.");
    head(
        out, "gate_announcement_age_seconds", "gauge",
        "Time since a server's last announcement.");
    for (auto const& [id, server] : s.local_servers_)
        expose_server(out, id, server, now);
    return out.str();
}

std::string expose_control(control::state const& s, instant now)
{
    std::ostringstream out;
    control::consensus_state const& c = s.consensus_;
    expose_one(
        out, "log_term", "gauge", "Term of the log.", c.hard_state_.term_);
    expose_one(
        out, "log_commit", "gauge", "Newest committed entry.", c.commit_);
    expose_one(
        out, "log_leads", "gauge", "1 at the leader.",
        control::is_leader(c) ? 1 : 0);
    std::optional<duration> const age = control::state_age(c, now);
    if (age)
        expose_one(
            out, "knowledge_age_seconds", "gauge",
            "Age of what this control host knows for certain.", seconds(*age));
    expose_one(
        out, "claims_held", "gauge", "Claims in the ledger.",
        s.machine_.claim_count_);
    expose_one(
        out, "records", "gauge", "Records of the configuration.",
        s.machine_.records_.size());
    expose_one(
        out, "subscribers", "gauge", "Daemons that renew here.",
        s.distribution_.subscribers_.size());
    head(
        out, "rate_share", "gauge",
        "This host's part of an account's shared rate, 0 to 1.");
    for (auto const& known : s.allocator_.local_buckets_)
        line(
            out, "rate_share", "account=\"" + known.first.str() + "\"",
            control::current_host_share(s, known.first, now).fraction_);
    return out.str();
}

std::string expose_process(log_counts const& lines, std::size_t inputs)
{
    std::ostringstream out;
    expose_one(
        out, "log_lines_total", "counter", "Log lines written.",
        lines.written_);
    head(
        out, "log_lines_left_out_total", "counter",
        "Log lines not written, by reason.");
    line(
        out, "log_lines_left_out_total", "reason=\"budget\"",
        lines.over_budget_);
    line(
        out, "log_lines_left_out_total", "reason=\"reader_stalled\"",
        lines.reader_stalled_);
    expose_one(
        out, "inputs_waiting", "gauge", "Inputs that no node has taken yet.",
        inputs);
    expose_one(
        out, "memory_resident_bytes", "gauge", "Memory in use.",
        resident_bytes());
    return out.str();
}

std::string expose_budget(loop::memory_budget const& b)
{
    std::ostringstream out;
    expose_one(
        out, "held_bytes", "gauge", "Memory held for others.", b.held().total_);
    expose_one(
        out, "held_bytes_peak", "gauge", "Most memory held for others so far.",
        b.held().peak_);
    expose_one(
        out, "held_bytes_budget", "gauge",
        "Memory that may be held for others.", b.bytes());
    head(
        out, "yields_total", "counter",
        "Holders told to give memory back, by what they held.");
    for (std::size_t kind = 0; kind < b.yields().size(); ++kind)
        line(
            out, "yields_total",
            "kind=\"" + std::string(loop::kind_text(kind)) + "\"",
            b.yields().at(kind));
    return out.str();
}

} // namespace jackdawhall::daemon
