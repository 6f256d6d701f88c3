#include "checkers.hpp"

#include <algorithm>
#include <map>
#include <set>

namespace jackdawhall::test
{

namespace
{

std::string key_of(request const& r)
{
    return find_header(r.headers_, idempotency_header);
}

// Identifies a caller's request: its path and its idempotency key, or its body
// if it has no key.
std::string identity(request const& r)
{
    std::string const key = key_of(r);
    return r.path_ + "|" + (key.empty() ? r.body_ : key);
}

} // namespace

findings check_at_most_once(history const& h, std::string const& path)
{
    std::map<std::string, int> runs;
    for (run_event const& run : h.runs_)
    {
        if (run.request_.path_ == path)
            ++runs[key_of(run.request_)];
    }
    findings violations;
    for (auto const& [key, count] : runs)
    {
        if (count > 1)
            violations.push_back(
                "key " + key + " ran " + std::to_string(count) + " times");
    }
    return violations;
}

findings check_not_run(history const& h)
{
    std::map<std::string, std::size_t> sent;
    std::map<std::string, std::size_t> refused;
    for (auto const& entry : h.sent_)
        ++sent[identity(entry.second.request_)];
    for (verdict_event const& v : h.verdicts_)
    {
        std::string const id = identity(h.sent_.at(v.request_).request_);
        if (std::holds_alternative<not_run>(v.verdict_))
            ++refused[id];
    }
    std::set<std::string> ran_ids;
    for (run_event const& run : h.runs_)
        ran_ids.insert(identity(run.request_));
    findings violations;
    for (auto const& [id, count] : refused)
    {
        if (count == sent.at(id) && ran_ids.contains(id))
            violations.push_back(
                "request ran although every verdict is not_run: " + id);
    }
    return violations;
}

findings check_rate(
    history const& h, account_name const& account, double rate,
    std::int64_t burst, double drift)
{
    std::vector<duration> spend_times;
    for (token_event const& t : h.tokens_)
    {
        if (t.account_ == account)
            spend_times.push_back(t.at_);
    }
    std::sort(spend_times.begin(), spend_times.end());
    // With x(i) = i - rate * t(i), the window ending at token i that exceeds
    // the rate most begins at the token with the least x.
    findings violations;
    double lowest = 1e300;
    double const fast_rate = rate * (1 + drift);
    for (std::size_t i = 0; i < spend_times.size(); ++i)
    {
        double const t = static_cast<double>(spend_times[i].count()) / 1e6;
        lowest = std::min(lowest, static_cast<double>(i) - fast_rate * t);
        double const excess =
            static_cast<double>(i) + 1 - fast_rate * t - lowest;
        if (excess > static_cast<double>(burst) + 1e-6)
            violations.push_back(
                "window ending at " + std::to_string(t) +
                " s exceeds rate * length by " + std::to_string(excess) +
                " tokens");
    }
    return violations;
}

findings check_answers(history const& h)
{
    findings violations;
    for (verdict_event const& v : h.verdicts_)
    {
        ran const* r = std::get_if<ran>(&v.verdict_);
        request const& sent_request = h.sent_.at(v.request_).request_;
        if (r && r->answer_.status_ == 200 &&
            r->answer_.body_ != "echo " + sent_request.body_)
            violations.push_back(
                "request with body '" + sent_request.body_ + "' got answer '" +
                r->answer_.body_ + "'");
    }
    std::map<std::uint64_t, int> answers;
    for (verdict_event const& v : h.verdicts_)
    {
        if (++answers[v.request_] > 1)
            violations.push_back(
                "request " + std::to_string(v.request_) + " answered twice");
    }
    return violations;
}

findings check_forwards(history const& h, std::size_t limit)
{
    findings violations;
    for (auto const& [root, count] : h.forwards_)
    {
        if (count > limit)
            violations.push_back(
                "root request " + root + " caused " + std::to_string(count) +
                " forwards");
    }
    return violations;
}

findings check_no_reversion(history const& h)
{
    findings violations;
    for (std::string const& host : h.reversions_)
        violations.push_back(
            "configuration revision of " + host + " decreased");
    return violations;
}

findings check_changes(history const& h)
{
    // An operation can be submitted several times. It spans the time from its
    // first submission to its first answer.
    struct operation
    {
        duration submitted_at_;
        duration answered_at_;
        change_event const* event_;
    };
    std::map<std::string, duration> first_submitted_at;
    std::map<revision, operation> by_revision;
    std::map<std::string, change_outcome> by_operation;
    findings violations;
    for (auto const& entry : h.changes_)
    {
        change_event const& c = entry.second;
        duration& submitted_at =
            first_submitted_at
                .try_emplace(c.change_.operation_id_, c.submitted_at_)
                .first->second;
        submitted_at = std::min(submitted_at, c.submitted_at_);
    }
    for (auto const& entry : h.changes_)
    {
        change_event const& c = entry.second;
        if (!c.outcome_ || std::holds_alternative<unknown_outcome>(*c.outcome_))
            continue;
        std::string const& id = c.change_.operation_id_;
        auto const [known, fresh] = by_operation.emplace(id, *c.outcome_);
        if (!fresh && known->second != *c.outcome_)
            violations.push_back("operation " + id + " has two outcomes");
        accepted const* a = std::get_if<accepted>(&*c.outcome_);
        if (!a)
            continue;
        auto const [at, first] = by_revision.emplace(
            a->revision_,
            operation{first_submitted_at.at(id), *c.answered_at_, &c});
        at->second.answered_at_ =
            std::min(at->second.answered_at_, *c.answered_at_);
        if (!first && at->second.event_->change_.operation_id_ != id)
            violations.push_back(
                "revision " + std::to_string(a->revision_) +
                " was assigned to two operations");
    }
    // Real-time order: an operation submitted after another was answered has
    // the higher revision.
    duration latest_submission{0};
    for (auto const& [r, o] : by_revision)
    {
        if (o.answered_at_ < latest_submission)
            violations.push_back(
                "a change with a revision below " + std::to_string(r) +
                " was submitted after that revision was accepted");
        latest_submission = std::max(latest_submission, o.submitted_at_);
    }
    // Compare-and-set: no accepted change to a record has a revision between
    // the revision that an edit expected and the revision of the edit's change.
    std::map<record_key, revision> last;
    for (auto const& [r, o] : by_revision)
    {
        for (edit const& e : o.event_->change_.edits_)
        {
            auto const known = last.find(e.key_);
            if (known != last.end() && e.expected_ < known->second)
                violations.push_back(
                    "revision " + std::to_string(r) + " expected " +
                    std::to_string(e.expected_) + " although revision " +
                    std::to_string(known->second) + " was accepted before");
            last[e.key_] = r;
        }
    }
    return violations;
}

findings
check_no_runs_after(history const& h, std::string const& path, duration when)
{
    findings violations;
    for (run_event const& run : h.runs_)
    {
        if (run.request_.path_ == path && run.at_ > when)
            violations.push_back(
                path + " had a run that began at " +
                std::to_string(run.at_.count() / 1000) + " ms");
    }
    return violations;
}

} // namespace jackdawhall::test
