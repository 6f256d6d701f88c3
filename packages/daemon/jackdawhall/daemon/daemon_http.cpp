// The HTTP sides of the daemon: callers, announcements and operators.
#include <jackdawhall/daemon/daemon.hpp>

#include <jackdawhall/daemon/announcement.hpp>
#include <jackdawhall/daemon/http_answer.hpp>

namespace jackdawhall::daemon
{

namespace
{

constexpr char announce_path[] = "/.jackdawhall/announce";

using wire::json;

std::string verdict_text(verdict const& v)
{
    return std::visit(
        overloaded{
            [](not_run const& n)
            { return "not-run " + std::string(to_text(n.reason_)); },
            [](may_have_run const& m)
            { return "may-have-run " + std::string(to_text(m.reason_)); },
            [](ran const& r)
            { return "ran " + std::to_string(r.answer_.status_); },
        },
        v);
}

// Texts from outside may be no UTF-8, on which a plain dump() throws.
std::string json_text(json const& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

answer error_answer(
    std::uint16_t status, std::string const& what, std::string const& mend)
{
    return json_answer(status, json_text(json{{"what", what}, {"mend", mend}}));
}

template <class Reason>
json reasons_json(calls::reason_counters<Reason> const& counters)
{
    json object = json::object();
    for (std::size_t i = 0; i < counters.size(); ++i)
        object[std::string(to_text(static_cast<Reason>(i)))] = counters.at(i);
    return object;
}

json server_json(backend_server const& server)
{
    return json{
        {"host", server.host_.str()},
        {"region", server.location_.region_.str()},
        {"zone", server.location_.zone_.str()},
        {"service", server.service_.str()},
        {"id", server.id_},
        {"slots", server.slots_},
        {"connections", server.connections_},
        {"state", to_text(server.state_)}};
}

json daemon_json(
    host_name const& host, control::subscriber const& daemon, instant now)
{
    return json{
        {"host", host.str()},
        {"region", daemon.location_.region_.str()},
        {"zone", daemon.location_.zone_.str()},
        {"revision", daemon.known_revision_},
        {"newest_schema", daemon.newest_schema_},
        {"silent_ms", (now - daemon.heard_).count() / 1000}};
}

} // namespace

// --- Callers ----------------------------------------------------------------

loop::http_handlers
daemon::caller_handlers(decltype(loop::http_handlers::requested_) requested)
{
    return {
        std::move(requested),
        [this](std::uint64_t number)
        {
            request_began_.erase(number);
            give(calls::input{calls::caller_disconnected{number}});
        },
        [this](std::uint64_t number)
        { give(calls::input{calls::caller_finished{number}}); },
        [this](std::uint64_t number)
        { give(calls::input{calls::give_back_request{number}}); }};
}

void daemon::caller_request(
    std::uint64_t number, request r, std::string const& remote)
{
    if (r.path_ == announce_path)
        return announce(number, r, remote);
    request_began_.emplace(number, loop::read_clocks().now_);
    give(calls::input{calls::caller_request{number, std::move(r)}});
}

// One line for each request that was not served, and a sample of the others,
// as far as their budgets go.
void daemon::log_answer(calls::answer_caller const& a)
{
    static std::string const not_served = "request not served";
    static std::string const served = "request served";
    ran const* r = std::get_if<ran>(&a.verdict_);
    bool const fine = r && r->answer_.status_ < 500;
    instant const now = loop::read_clocks().now_;
    if (!may_log(
            now, fine ? served : not_served, fine ? sample_rate : usual_rate))
        return;
    calls::configuration const& c = calls_.configuration_;
    duration const lease = c.fresh_until_ ? *c.fresh_until_ - now : duration{0};
    write_line(
        severity::info, part::calls, fine ? served : not_served,
        {{"request", a.root_},
         {"account", a.account_.str()},
         {"verdict", verdict_text(a.verdict_)},
         {"service", a.service_.str()},
         {"server", a.server_},
         {"tries", std::to_string(a.attempts_)},
         {"took_ms", std::to_string(a.took_.count() / 1000)},
         {"revision", std::to_string(c.revision_)},
         {"lease_left_ms", std::to_string(lease.count() / 1000)},
         {"control_silent_ms",
          std::to_string(
              (now - calls_.control_.last_answer_at_).count() / 1000)}});
}

void daemon::answer_http(calls::answer_caller a)
{
    auto const began = request_began_.find(a.number_);
    if (began != request_began_.end())
    {
        request_latency_.add(loop::read_clocks().now_ - began->second);
        request_began_.erase(began);
    }
    log_answer(a);
    if (settings_.infrastructure_)
        callers_->answer(
            a.number_, platform::to_caller(std::move(a.verdict_), a.root_));
    else
        callers_->answer(a.number_, to_http(std::move(a.verdict_), a.root_));
}

// Only a backend server on this very host may announce itself here.
void daemon::announce(
    std::uint64_t number, request const& r, std::string const& remote)
{
    try
    {
        if (r.method_ != "POST")
            return callers_->answer(
                number, error_answer(405, "not a POST", "use POST"));
        calls::announcement const a = parse_announcement(r.body_);
        if (!remote.starts_with("127.") && remote != a.address_.address_)
            return callers_->answer(
                number,
                error_answer(
                    403, "announced from another host",
                    "announce to the daemon beside the backend server"));
        give(calls::input{a});
        if (a.state_ == server_state::draining)
            return give(calls::input{calls::departure_awaited{number, a.id_}});
        callers_->answer(number, json_answer(200, "{}\n"));
    }
    catch (json::exception const& e)
    {
        callers_->answer(
            number, error_answer(
                        400, e.what(),
                        "send id, service, address, slots, connections and "
                        "state; see docs/CALLING.md"));
    }
}

void daemon::answer_leaving_server(calls::answer_departure const& d)
{
    bool const recorded = d.outcome_ == calls::departure_outcome::recorded;
    if (settings_.infrastructure_)
        return orders_->answer(
            d.number_, platform::to_leaving_server(d.outcome_));
    callers_->answer(
        d.number_, recorded
                       ? json_answer(200, "{}\n")
                       : error_answer(
                             503, "the control hosts have not recorded it yet",
                             "announce again"));
}

// --- Operators
// ----------------------------------------------------------------

bool daemon::is_operator(request const& r) const
{
    return equal_in_constant_time(
        find_header(r.headers_, "authorization"),
        "Bearer " + settings_.operator_token_);
}

void daemon::operator_request(std::uint64_t number, request const& r)
{
    bool const open =
        r.path_ == "/health" || r.path_ == "/ready" || r.path_ == "/metrics";
    if (!open && !is_operator(r))
        return operators_->answer(
            number, error_answer(
                        401, "the operator's token is missing or wrong",
                        "give --token_file"));
    if (r.method_ == "POST" && r.path_ == "/v1/changes")
        return take_operator_change(number, r);
    operators_->answer(number, answer_operator_read(r));
}

void daemon::take_operator_change(std::uint64_t number, request const& r)
{
    if (!control_)
        return operators_->answer(
            number, error_answer(
                        421, "no control node runs here now",
                        "send changes to a control host"));
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(given, wire::try_parse_json(r.body_));
            BOOST_LEAF_AUTO(c, wire::change_from_json(given));
            say(severity::info, part::operators, "change received",
                {{"operation", c.operation_id_}, {"author", c.author_}});
            operator_changes_.insert(number);
            give(
                control::input{control::operator_change{number, std::move(c)}});
            return {};
        },
        [&](user_error const& e)
        { operators_->answer(number, error_answer(400, e.what_, e.mend_)); },
        [&]
        {
            operators_->answer(
                number, error_answer(500, "unknown error", "see the log"));
        });
}

answer daemon::answer_operator_read(request const& r) const
{
    if (r.method_ != "GET")
        return error_answer(405, "not a GET", "use GET");
    std::string const path = r.path_.substr(0, r.path_.find('?'));
    if (path == "/health")
        return json_answer(200, "{\"health\":\"ok\"}\n");
    if (path == "/ready")
        return ready();
    if (path == "/metrics")
        return {
            200, {{"content-type", "text/plain; version=0.0.4"}}, metrics()};
    if (path == "/v1/status")
        return json_answer(200, json_text(status()));
    if (path == "/v1/counters")
        return json_answer(200, json_text(counters()));
    if (path == "/v1/records")
        return json_answer(200, json_text(records("")));
    if (path == "/v1/history" && control_)
    {
        json list = json::array();
        for (history_entry const& past : control_->machine_.history_)
            list.push_back(wire::to_json(past));
        return json_answer(200, json_text(list));
    }
    return error_answer(404, "no such page", "see docs/OPERATING.md");
}

json daemon::records(std::string const& kind) const
{
    json list = json::array();
    std::map<record_key, record> const& held =
        control_ ? control_->machine_.records_ : calls_.configuration_.records_;
    for (auto const& r : held)
    {
        if (kind.empty() || r.first.kind_ == kind)
            list.push_back(wire::to_json(r.second));
    }
    return list;
}

json daemon::status() const
{
    instant const now = loop::read_clocks().now_;
    json object{
        {"host", settings_.host_.str()},
        {"revision", calls_.configuration_.revision_},
        {"newest_schema", calls_.configuration_.newest_schema_},
        {"records_unused", calls_.configuration_.unused_records_},
        {"fresh", calls::is_fresh(calls_.configuration_, now)},
        {"leader", calls_.control_.leader_.str()},
        {"in_force_within_ms", calls::freshness_lease.count() / 1000}};
    if (!control_)
        return object;
    control::consensus_state const& c = control_->consensus_;
    object["log"] = json{
        {"leads", control::is_leader(c)},
        {"leader", control::leader_of(c).value_or(host_name{}).str()},
        {"term", c.hard_state_.term_},
        {"commit", c.commit_},
        {"revision", control_->machine_.revision_}};
    std::optional<duration> const age = control::state_age(c, now);
    object["log"]["age_ms"] = age ? json(age->count() / 1000) : json(nullptr);
    json voters = json::array();
    for (voter const& v : c.log_.voters())
        voters.push_back(v.host_.str());
    object["log"]["voters"] = std::move(voters);
    json daemons = json::array();
    for (auto const& [host, daemon] : control_->distribution_.subscribers_)
        daemons.push_back(daemon_json(host, daemon, now));
    object["daemons"] = std::move(daemons);
    json servers = json::array();
    for (auto const& service : control_->membership_.services_)
    {
        for (backend_server const& server :
             control::servers_of(control_->membership_, service.first))
            servers.push_back(server_json(server));
    }
    object["servers"] = std::move(servers);
    return object;
}

json daemon::counters() const
{
    calls::counters const& n = calls_.counters_;
    return json{
        {"requests", n.requests_},
        {"ran", n.ran_},
        {"joined", n.joined_},
        {"runs", n.runs_},
        {"refusals", reasons_json<refusal_reason>(n.refusals_)},
        {"doubts", reasons_json<indeterminate_reason>(n.doubts_)},
        {"retries", reasons_json<retry_reason>(n.retries_)}};
}

answer daemon::ready() const
{
    bool const stopping = calls_.stopping_since_.has_value();
    if (is_ready())
        return json_answer(200, "{\"ready\":true}\n");
    return json_answer(
        503, stopping ? "{\"ready\":false,\"why\":\"stopping\"}\n"
                      : "{\"ready\":false,\"why\":\"no fresh "
                        "configuration\"}\n");
}

std::string daemon::metrics() const
{
    instant const now = loop::read_clocks().now_;
    std::string text = expose_calls(calls_, now);
    if (control_)
    {
        text += expose_control(*control_, now);
        text += expose_latencies(
            "journal_sync_seconds", "Time of a sync of the journal.",
            {{"", sync_latency_}});
    }
    text += expose_budget(*budget_);
    text += expose_process(count_log_lines(), inputs_.size());
    text += expose_latencies(
        "request_seconds",
        "Time of a request, from its last byte to its answer.",
        {{"", request_latency_}});
    std::vector<labelled_latency> stages;
    for (std::size_t i = 0; i < stage_latency_.size(); ++i)
        stages.push_back(
            {"stage=\"" + std::string(to_text(static_cast<calls::stage>(i))) +
                 "\"",
             stage_latency_.at(i)});
    return text +
           expose_latencies(
               "stage_seconds", "Time that requests spent in a stage.", stages);
}

} // namespace jackdawhall::daemon
