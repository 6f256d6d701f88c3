#include <jackdawhall/control/apply_command.hpp>

#include <algorithm>

namespace jackdawhall::control
{

namespace
{

using check_result = std::optional<rejected>;

check_result check_rate(std::int64_t milli_rate, std::int64_t burst)
{
    if (milli_rate < 0 || burst < 0)
        return rejected{
            "a rate or a burst is negative", "write 0 or a positive number"};
    if (milli_rate > 0 && burst == 0)
        return rejected{
            "a burst of 0 admits nothing", "write a burst of at least 1"};
    return std::nullopt;
}

check_result check_route(route_v1 const& route)
{
    if (route.path_prefix_.empty() || route.path_prefix_.front() != '/')
        return rejected{
            "a route's path does not begin with '/'",
            "write a path such as /payments"};
    if (route.service_.empty())
        return rejected{"a route names no service", "name the service"};
    if (route.rank_ > lowest_rank)
        return rejected{
            "a route's rank is over 9", "write 0 (matters most) to 9"};
    if (route.timeout_ms_ < 1 || route.timeout_ms_ > 600000)
        return rejected{
            "a route's timeout is out of range",
            "write 1 to 600000 milliseconds"};
    if (route.open_ && !route.repeatable_)
        return rejected{
            "an open route cannot be at most once: it has no client account",
            "set repeatable, or close the route"};
    return std::nullopt;
}

check_result check_route(route_v2 const& route)
{
    if (route.path_prefix_.empty() || route.path_prefix_.front() != '/')
        return rejected{
            "a route's path does not begin with '/'",
            "write a path such as /payments/"};
    if (route.virtual_host_.empty())
        return rejected{"a route names no host", "name the host"};
    if (route.services_.empty())
        return rejected{"a route names no service", "name the service"};
    for (weighted_service const& s : route.services_)
    {
        if (s.service_.empty() || s.weight_ < 0)
            return rejected{
                "a route has a service without a name or a weight below 0",
                "name the service, and give it a weight of 0 or more"};
    }
    if (route.attempts_ < 1)
        return rejected{"a route allows no attempt", "allow 1 attempt or more"};
    if (route.timeout_ms_ < 1)
        return rejected{
            "a route's timeout is not positive", "write at least 1 ms"};
    return std::nullopt;
}

check_result check_departure(departure_v1 const& d)
{
    constexpr std::int64_t latest_ms = 10'000'000'000'000; // to the year 2286
    if (d.recorded_ms_ >= 0 && d.recorded_ms_ <= latest_ms)
        return std::nullopt;
    return rejected{
        "the time of a departure is out of range",
        "write milliseconds since the Unix epoch"};
}

check_result check_body(record_body const& body)
{
    return std::visit(
        overloaded{
            [](account_v1 const& a)
            { return check_rate(a.milli_rate_, a.burst_); },
            [](account_v2 const& a)
            {
                if (a.retry_percent_ < 0 || a.retry_percent_ > 100)
                    return check_result{rejected{
                        "a retry share is out of range",
                        "write 0 to 100 per cent"}};
                return check_rate(a.milli_rate_, a.burst_);
            },
            [](key_v1 const& key) -> check_result
            {
                if (key.account_.empty() || key.hash_.empty())
                    return rejected{
                        "a key has no client account or no hash",
                        "make keys with 'jackdawhallctl key create'"};
                return std::nullopt;
            },
            [](route_v1 const& route) { return check_route(route); },
            [](account_v3 const& a)
            { return check_rate(a.milli_rate_, a.burst_); },
            [](route_v2 const& route) { return check_route(route); },
            [](departure_v1 const& d) { return check_departure(d); },
            [](auto const&) { return check_result{}; },
        },
        body);
}

std::string summarize(change const& c)
{
    std::string text;
    for (edit const& e : c.edits_)
    {
        if (!text.empty())
            text += ", ";
        text += (e.body_ ? "put " : "remove ") + to_text(e.key_);
    }
    return text;
}

// Departures come with the daily work, and are no change that an operator would
// look for in the history.
bool belongs_to_history(change const& c)
{
    return std::any_of(
        c.edits_.begin(), c.edits_.end(),
        [](edit const& e) { return e.key_.kind_ != "departure"; });
}

revision current_revision(state_machine const& m, record_key const& key)
{
    auto const held = m.records_.find(key);
    return held == m.records_.end() ? 0 : held->second.revision_;
}

std::optional<change_outcome>
validate_change(state_machine const& m, change const& c)
{
    if (c.edits_.empty() || c.edits_.size() > max_edits)
        return rejected{
            "a change has no edit, or over " + std::to_string(max_edits),
            "split it into several changes"};
    for (std::size_t i = 0; i < c.edits_.size(); ++i)
    {
        edit const& e = c.edits_[i];
        if (std::optional<rejected> const error = check_edit(e))
            return *error;
        bool const duplicate = std::any_of(
            c.edits_.begin(), c.edits_.begin() + static_cast<long>(i),
            [&](edit const& other) { return other.key_ == e.key_; });
        if (duplicate)
            return rejected{
                "the change edits " + to_text(e.key_) + " twice",
                "keep one of the edits"};
        revision const actual = current_revision(m, e.key_);
        if (actual != e.expected_)
            return conflict{e.key_, actual};
    }
    return std::nullopt;
}

void apply_edits(state_machine& m, change const& c)
{
    ++m.revision_;
    for (edit const& e : c.edits_)
    {
        if (e.body_)
            m.records_[e.key_] = {e.key_, m.revision_, *e.body_};
        else
            remove_record(m, e.key_);
    }
}

} // namespace

std::optional<rejected> check_edit(edit const& e)
{
    if (e.key_.kind_.empty() || e.key_.name_.empty())
        return rejected{"a record has no kind or no name", "give it both"};
    if (!e.body_)
        return std::nullopt;
    auto const schema = schema_of(*e.body_);
    if (schema && *schema != std::pair{e.key_.kind_, e.key_.schema_})
        return rejected{
            to_text(e.key_) + " holds a body of another kind or schema",
            "write kind and schema as the body's"};
    return check_body(*e.body_);
}

apply_step apply_change(state_machine m, change_command const& c)
{
    change const& wanted = c.change_;
    auto const known = m.outcomes_.find(wanted.operation_id_);
    if (known != m.outcomes_.end())
    {
        change_outcome const first = known->second;
        return {std::move(m), change_applied{wanted.operation_id_, first}};
    }
    change_outcome outcome;
    if (std::optional<change_outcome> const error = validate_change(m, wanted))
    {
        outcome = *error;
    }
    else
    {
        apply_edits(m, wanted);
        if (belongs_to_history(wanted))
            append_history(
                m, {m.revision_, c.when_, wanted.author_, summarize(wanted)});
        outcome = accepted{m.revision_};
    }
    record_outcome(m, wanted.operation_id_, outcome);
    return {std::move(m), change_applied{wanted.operation_id_, outcome}};
}

} // namespace jackdawhall::control
