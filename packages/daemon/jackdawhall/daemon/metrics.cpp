#include <jackdawhall/daemon/metrics.hpp>

#include <array>
#include <sstream>

namespace jackdawhall::daemon
{

namespace
{

namespace acc = boost::accumulators;

constexpr std::array<double, 5> probabilities{0.5, 0.9, 0.99, 0.999, 0.9999};
constexpr double microseconds = 1e-6; // in seconds

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

void type(std::ostringstream& out, std::string const& name, char const* kind)
{
    out << "# TYPE jackdawhall_" << name << " " << kind << "\n";
}

template <class Reason>
void expose_reasons(
    std::ostringstream& out, std::string const& name,
    calls::reason_counters<Reason> const& counters)
{
    type(out, name, "counter");
    for (std::size_t i = 0; i < counters.size(); ++i)
        line(
            out, name,
            "reason=\"" + std::string(to_text(static_cast<Reason>(i))) + "\"",
            counters.at(i));
}

template <class Value>
void expose_one(
    std::ostringstream& out, std::string const& name, char const* kind,
    Value value)
{
    type(out, name, kind);
    line(out, name, "", value);
}

void expose_server(
    std::ostringstream& out, std::string const& id,
    calls::local_server const& server)
{
    std::string const labels = "service=\"" +
                               server.announcement_.service_.str() +
                               "\",server=\"" + id + "\"";
    line(out, "gate_running", labels, server.running_.size());
    line(out, "gate_queued", labels, server.queued_.size());
    line(out, "gate_limit", labels, calls::allowed(server.limiter_));
    line(
        out, "gate_admitted_rank", labels,
        static_cast<unsigned>(server.admitted_));
}

} // namespace

latency::latency()
    : accumulator_(acc::extended_p_square_probabilities = probabilities)
{
}

void latency::add(duration d)
{
    accumulator_(static_cast<double>(d.count()));
}

std::string latency::expose(std::string const& name) const
{
    std::ostringstream out;
    type(out, name, "summary");
    std::size_t const count = acc::count(accumulator_);
    for (double const p : probabilities)
    {
        if (count < probabilities.size() * 2 + 3)
            break; // the estimate needs some samples
        double const value =
            acc::quantile(accumulator_, acc::quantile_probability = p);
        std::ostringstream label;
        label << "quantile=\"" << p << "\"";
        line(out, name, label.str(), value * microseconds);
    }
    line(out, name + "_sum", "", acc::sum(accumulator_) * microseconds);
    line(out, name + "_count", "", count);
    return out.str();
}

std::string expose_calls(calls::state const& s, instant now)
{
    std::ostringstream out;
    calls::counters const& n = s.counters_;
    expose_one(out, "requests_total", "counter", n.requests_);
    expose_one(out, "ran_total", "counter", n.ran_);
    expose_one(out, "joined_total", "counter", n.joined_);
    expose_one(out, "runs_total", "counter", n.runs_);
    expose_reasons<refusal_reason>(out, "refusals_total", n.refusals_);
    expose_reasons<doubt_reason>(out, "doubts_total", n.doubts_);
    expose_reasons<retry_reason>(out, "retries_total", n.retries_);
    expose_one(out, "calls_in_progress", "gauge", s.calls_.size());
    expose_one(out, "runs_in_progress", "gauge", s.runs_.size());
    expose_one(
        out, "configuration_revision", "gauge", s.configuration_.revision_);
    expose_one(
        out, "configuration_fresh", "gauge",
        calls::is_fresh(s.configuration_, now) ? 1 : 0);
    expose_one(
        out, "configuration_records_unused", "gauge", s.configuration_.unused_);
    for (char const* name :
         {"gate_running", "gate_queued", "gate_limit", "gate_admitted_rank"})
        type(out, name, "gauge");
    for (auto const& [id, server] : s.locals_)
        expose_server(out, id, server);
    return out.str();
}

std::string expose_control(control::state const& s, instant now)
{
    std::ostringstream out;
    control::consensus_state const& c = s.consensus_;
    expose_one(out, "log_term", "gauge", c.hard_state_.term_);
    expose_one(out, "log_commit", "gauge", c.commit_);
    expose_one(out, "log_leads", "gauge", control::is_leader(c) ? 1 : 0);
    std::optional<duration> const age = control::knowledge_age(c, now);
    if (age)
        expose_one(
            out, "knowledge_age_seconds", "gauge",
            static_cast<double>(age->count()) * microseconds);
    expose_one(out, "claims_held", "gauge", s.machine_.claim_count_);
    expose_one(out, "records", "gauge", s.machine_.records_.size());
    expose_one(
        out, "subscribers", "gauge", s.distribution_.subscribers_.size());
    return out.str();
}

} // namespace jackdawhall::daemon
