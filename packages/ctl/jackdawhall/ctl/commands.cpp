#include <jackdawhall/ctl/commands.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <ostream>

#include <jackdawhall/ctl/records_file.hpp>
#include <jackdawhall/ctl/table.hpp>
#include <jackdawhall/loop.hpp>

namespace jackdawhall::ctl
{

namespace
{

using wire::json;

// How long after acceptance a change is in force on every host at the latest.
constexpr std::chrono::seconds in_force_within{5};

// One run of the program.
struct session
{
    control_client const& client_;
    options const& options_;
    std::ostream& out_;
};

using words = std::vector<std::string>;

leaf::error_id bad_usage(std::string const& what)
{
    return leaf::new_error(user_error{what, "see 'jackdawhallctl --help'"});
}

std::string cell(json const& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

// --- Records ----------------------------------------------------------------

leaf::result<std::vector<json>>
records_of(session const& s, std::string const& kind)
{
    BOOST_LEAF_AUTO(all, read(s.client_, "/v1/records"));
    std::vector<json> found;
    for (json const& r : all)
    {
        if (kind.empty() || r.value("kind", "") == kind)
            found.push_back(r);
    }
    return found;
}

// Revision of a record in force; 0 if there is none.
leaf::result<revision> revision_of(session const& s, record_key const& key)
{
    if (s.options_.expected_)
        return *s.options_.expected_;
    BOOST_LEAF_AUTO(found, records_of(s, key.kind_));
    for (json const& r : found)
    {
        if (r.value("name", "") == key.name_ &&
            r.value("schema", 1U) == key.schema_)
            return r.value("revision", revision{0});
    }
    return revision{0};
}

// --- Changes ----------------------------------------------------------------

int status_of(change_outcome const& outcome)
{
    return std::visit(
        overloaded{
            [](accepted const&) { return done_status; },
            [](conflict const&) { return refused_status; },
            [](rejected const&) { return refused_status; },
            [](unknown_outcome const&) { return unknown_status; },
        },
        outcome);
}

std::string sentence(change_outcome const& outcome, std::string const& id)
{
    return std::visit(
        overloaded{
            [](accepted const& a)
            {
                return "accepted as revision " + std::to_string(a.revision_) +
                       "; in force everywhere within " +
                       std::to_string(in_force_within.count()) + " s";
            },
            [](conflict const& c)
            {
                return "conflict: " + to_text(c.key_) + " is at revision " +
                       std::to_string(c.actual_) +
                       "; look at it again, then repeat the command";
            },
            [](rejected const& r)
            { return "rejected: " + r.what_ + "; " + r.mend_; },
            [&](unknown_outcome const& u)
            {
                return "unknown outcome: " + u.what_ +
                       "; repeat the command with --operation_id=" + id;
            },
        },
        outcome);
}

void wait_until_in_force(session const& s)
{
    loop::pause_program(in_force_within);
    if (!s.options_.json_)
        s.out_ << "in force everywhere\n";
}

leaf::result<int> submit_edits(session const& s, std::vector<edit> edits)
{
    change const c{
        s.options_.operation_id_, s.options_.author_, std::move(edits)};
    BOOST_LEAF_AUTO(outcome, submit(s.client_, c));
    if (s.options_.json_)
    {
        json value = wire::to_json(outcome);
        value["operation_id"] = c.operation_id_;
        s.out_ << value.dump() << "\n";
    }
    else
    {
        s.out_ << sentence(outcome, c.operation_id_) << "\n";
    }
    if (s.options_.wait_ && std::holds_alternative<accepted>(outcome))
        wait_until_in_force(s);
    return status_of(outcome);
}

leaf::result<int>
put(session const& s, record_key const& key, record_body const& body)
{
    BOOST_LEAF_AUTO(expected, revision_of(s, key));
    return submit_edits(s, {{key, expected, body}});
}

leaf::result<int> remove(session const& s, record_key const& key)
{
    BOOST_LEAF_AUTO(expected, revision_of(s, key));
    if (expected == 0)
        return leaf::new_error(user_error{
            "there is no " + to_text(key), "list the records first"});
    return submit_edits(s, {{key, expected, std::nullopt}});
}

leaf::result<record> current_record(session const& s, record_key const& key)
{
    BOOST_LEAF_AUTO(found, records_of(s, key.kind_));
    for (json const& r : found)
    {
        if (r.value("name", "") != key.name_ ||
            r.value("schema", 1U) != key.schema_)
            continue;
        BOOST_LEAF_AUTO(made, wire::record_from_json(r));
        return record{key, r.value("revision", revision{0}), made.second};
    }
    return leaf::new_error(
        user_error{"there is no " + to_text(key), "list the records first"});
}

// --- Output
// --------------------------------------------------------------------

leaf::result<int>
list(session const& s, std::string const& kind, words const& columns)
{
    BOOST_LEAF_AUTO(found, records_of(s, kind));
    if (s.options_.json_)
    {
        s.out_ << json(found).dump() << "\n";
        return done_status;
    }
    std::vector<table_row> rows;
    table_row head;
    for (std::string column : columns)
    {
        std::transform(
            column.begin(), column.end(), column.begin(),
            [](char c) { return static_cast<char>(std::toupper(c)); });
        head.push_back(std::move(column));
    }
    rows.push_back(std::move(head));
    for (json const& r : found)
    {
        table_row row;
        for (std::string const& column : columns)
            row.push_back(r.contains(column) ? cell(r.at(column)) : "-");
        rows.push_back(std::move(row));
    }
    s.out_ << to_table(rows);
    return done_status;
}

// --- Commands ----------------------------------------------------------------

leaf::result<int> set_account(session const& s, std::string const& name)
{
    options const& o = s.options_;
    if (!o.rate_ || !o.burst_)
        return bad_usage("'account set' needs --rate and --burst");
    std::int64_t const milli = std::llround(*o.rate_ * 1000);
    bool const newer = o.schema_ == 2 || o.retry_percent_;
    if (newer)
        return put(
            s, {"account", name, 2},
            account_v2{milli, *o.burst_, o.retry_percent_.value_or(10)});
    return put(s, {"account", name, 1}, account_v1{milli, *o.burst_});
}

leaf::result<int> run_account(session const& s, words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list(
            s, "account",
            {"name", "schema", "rate", "burst", "retry_percent", "revision"});
    if (w.size() == 3 && w[1] == "set")
        return set_account(s, w[2]);
    if (w.size() == 3 && w[1] == "remove")
        return remove(s, {"account", w[2], s.options_.schema_});
    return bad_usage("unknown command 'account'");
}

leaf::result<int>
create_key(session const& s, std::string const& account, std::string const& key)
{
    BOOST_LEAF_AUTO(owner, account_name::make(account));
    BOOST_LEAF_AUTO(name, key_name::make(key));
    random_source random = random_source::unpredictable();
    presented_key const presented{owner, name, random.hex(key_secret_bytes)};
    std::string const salt = random.hex(16);
    key_v1 const body{owner, salt, hash_secret(presented.secret_, salt), false};
    BOOST_LEAF_AUTO(
        status, submit_edits(s, {{{"key", account + "/" + key, 1}, 0, body}}));
    if (status != done_status)
        return status;
    if (s.options_.json_)
        s.out_ << json{{"key", format_key(presented)}}.dump() << "\n";
    else
        s.out_ << "key, shown only now: " << format_key(presented) << "\n";
    return status;
}

// The hash is not shown to operators, so a withdrawal writes an empty one: no
// secret matches it.
leaf::result<int> withdraw_key(session const& s, std::string const& name)
{
    record_key const key{"key", name, 1};
    BOOST_LEAF_AUTO(expected, revision_of(s, key));
    if (expected == 0)
        return leaf::new_error(
            user_error{"there is no " + to_text(key), "list the keys first"});
    std::size_t const slash = name.find('/');
    BOOST_LEAF_AUTO(owner, account_name::make(name.substr(0, slash)));
    return submit_edits(
        s, {{key, expected, key_v1{owner, "withdrawn", "withdrawn", true}}});
}

leaf::result<int> run_key(session const& s, words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list(s, "key", {"name", "account", "withdrawn", "revision"});
    if (w.size() == 4 && w[1] == "create")
        return create_key(s, w[2], w[3]);
    if (w.size() == 3 && w[1] == "withdraw")
        return withdraw_key(s, w[2]);
    if (w.size() == 3 && w[1] == "remove")
        return remove(s, {"key", w[2], 1});
    return bad_usage("unknown command 'key'; keys are named ACCOUNT/KEY");
}

leaf::result<int> set_route(session const& s, std::string const& name)
{
    options const& o = s.options_;
    BOOST_LEAF_AUTO(service, service_name::make(o.service_));
    std::int64_t const given = o.rank_.value_or(lowest_rank);
    if (given < 0 || given > lowest_rank)
        return bad_usage("--rank is not 0 to 9");
    return put(
        s, {"route", name, 1},
        route_v1{
            o.method_, o.path_, service, static_cast<rank>(given), o.open_,
            o.repeatable_, o.timeout_ms_});
}

leaf::result<int>
set_rank(session const& s, std::string const& route, std::string const& text)
{
    if (text.size() != 1 || text[0] < '0' || text[0] > '9')
        return bad_usage("a rank is 0 (matters most) to 9");
    BOOST_LEAF_AUTO(current, current_record(s, {"route", route, 1}));
    route_v1 body = std::get<route_v1>(current.body_);
    body.rank_ = static_cast<rank>(text[0] - '0');
    revision const expected = s.options_.expected_.value_or(current.revision_);
    return submit_edits(s, {{current.key_, expected, body}});
}

leaf::result<int> run_route(session const& s, words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list(
            s, "route",
            {"name", "method", "path", "service", "rank", "open", "repeatable",
             "timeout_ms", "revision"});
    if (w.size() == 3 && w[1] == "set")
        return set_route(s, w[2]);
    if (w.size() == 4 && w[1] == "rank")
        return set_rank(s, w[2], w[3]);
    if (w.size() == 3 && w[1] == "remove")
        return remove(s, {"route", w[2], 1});
    return bad_usage("unknown command 'route'");
}

leaf::result<int> run_service(session const& s, words const& w)
{
    if (w.size() == 2 && w[1] == "list")
        return list(s, "service", {"name", "draining", "revision"});
    if (w.size() == 3 && (w[1] == "drain" || w[1] == "undrain"))
        return put(s, {"service", w[2], 1}, service_v1{w[1] == "drain"});
    return bad_usage("unknown command 'service'");
}

void print_status(session const& s, endpoint const& host, json const& value)
{
    s.out_ << "control host " << host.address_ << ":" << host.port_;
    if (value.is_null())
    {
        s.out_ << ": no answer\n\n";
        return;
    }
    json const log = value.value("log", json::object());
    s.out_ << " (" << value.value("host", "") << ")\n  revision "
           << cell(log.value("revision", json(0))) << ", leader "
           << log.value("leader", "none") << ", knowledge "
           << cell(log.value("age_ms", json(nullptr))) << " ms old\n";
    std::vector<table_row> rows{
        {"  DAEMON", "REGION", "ZONE", "REVISION", "SCHEMA", "SILENT_MS"}};
    for (json const& d : value.value("daemons", json::array()))
        rows.push_back(
            {"  " + cell(d.at("host")), cell(d.at("region")),
             cell(d.at("zone")), cell(d.at("revision")),
             cell(d.at("newest_schema")), cell(d.at("silent_ms"))});
    s.out_ << to_table(rows) << "\n";
}

void print_servers(session const& s, json const& value)
{
    std::vector<table_row> rows{
        {"SERVICE", "SERVER", "HOST", "ZONE", "SLOTS", "STATE"}};
    for (json const& server : value.value("servers", json::array()))
        rows.push_back(
            {cell(server.at("service")), cell(server.at("id")),
             cell(server.at("host")), cell(server.at("zone")),
             cell(server.at("slots")), cell(server.at("state"))});
    s.out_ << to_table(rows);
}

leaf::result<int> run_status(session const& s)
{
    std::vector<json> const each = read_each(s.client_, "/v1/status");
    auto const first = std::find_if(
        each.begin(), each.end(), [](json const& v) { return !v.is_null(); });
    if (first == each.end())
        return leaf::new_error(user_error{
            "no control host answered", "check --control and --token_file"});
    if (s.options_.json_)
    {
        s.out_ << json(each).dump() << "\n";
        return done_status;
    }
    for (std::size_t i = 0; i < each.size(); ++i)
        print_status(s, s.client_.hosts_[i], each[i]);
    print_servers(s, *first);
    return done_status;
}

leaf::result<int> run_history(session const& s)
{
    BOOST_LEAF_AUTO(history, read(s.client_, "/v1/history"));
    if (s.options_.json_)
    {
        s.out_ << history.dump() << "\n";
        return done_status;
    }
    std::vector<table_row> rows{{"REVISION", "WHEN_MS", "AUTHOR", "SUMMARY"}};
    for (json const& past : history)
        rows.push_back(
            {cell(past.at("revision")), cell(past.at("when_ms")),
             cell(past.at("author")), cell(past.at("summary"))});
    s.out_ << to_table(rows);
    return done_status;
}

leaf::result<int> run_counters(session const& s)
{
    BOOST_LEAF_AUTO(counters, read(s.client_, "/v1/counters"));
    if (s.options_.json_)
    {
        s.out_ << counters.dump() << "\n";
        return done_status;
    }
    std::vector<table_row> rows{{"COUNTER", "VALUE"}};
    for (auto const& item : counters.flatten().items())
        rows.push_back({item.key().substr(1), cell(item.value())});
    s.out_ << to_table(rows);
    return done_status;
}

leaf::result<known_records> read_known(session const& s)
{
    BOOST_LEAF_AUTO(all, records_of(s, ""));
    known_records known;
    for (json const& r : all)
    {
        if (r.value("kind", "") == "key")
            continue; // hashes are not shown, so keys cannot be compared
        leaf::result<std::pair<record_key, record_body>> made =
            wire::record_from_json(r);
        if (made)
            known.emplace(
                made.value().first,
                std::pair{
                    r.value("revision", revision{0}), made.value().second});
    }
    return known;
}

leaf::result<int> run_apply(session const& s)
{
    if (s.options_.file_.empty())
        return bad_usage("'apply' needs -f FILE");
    BOOST_LEAF_AUTO(wanted, read_records_file(s.options_.file_));
    BOOST_LEAF_AUTO(known, read_known(s));
    difference const d = find_difference(wanted, known);
    if (!s.options_.json_)
    {
        for (std::string const& line : d.lines_)
            s.out_ << line << "\n";
    }
    if (d.edits_.empty() || s.options_.dry_run_)
    {
        if (s.options_.json_)
            s.out_ << json{{"differences", d.lines_}}.dump() << "\n";
        else
            s.out_
                << (d.edits_.empty() ? "no difference\n"
                                     : "dry run: nothing was changed\n");
        return done_status;
    }
    return submit_edits(s, d.edits_);
}

} // namespace

leaf::result<int> run_command(
    control_client const& client, std::vector<std::string> const& w,
    options const& o, std::ostream& out)
{
    session const s{client, o, out};
    if (w.empty())
        return bad_usage("no command");
    if (w[0] == "account")
        return run_account(s, w);
    if (w[0] == "key")
        return run_key(s, w);
    if (w[0] == "route")
        return run_route(s, w);
    if (w[0] == "service")
        return run_service(s, w);
    if (w[0] == "status" && w.size() == 1)
        return run_status(s);
    if (w[0] == "history" && w.size() == 1)
        return run_history(s);
    if (w[0] == "counters" && w.size() == 1)
        return run_counters(s);
    if (w[0] == "apply" && w.size() == 1)
        return run_apply(s);
    return bad_usage("unknown command '" + w[0] + "'");
}

std::string usage()
{
    return "--control ADDRESS:PORT[,...] --token_file FILE COMMAND\n\n"
           "  account list | set NAME --rate R --burst B [--retry_percent P]\n"
           "          | remove NAME [--schema N]\n"
           "  key create ACCOUNT KEY | list | withdraw ACCOUNT/KEY\n"
           "          | remove ACCOUNT/KEY\n"
           "  route list | set NAME --path P --service S [--method M]\n"
           "          [--rank N] [--open] [--repeatable] [--timeout_ms T]\n"
           "          | rank NAME N | remove NAME\n"
           "  service list | drain NAME | undrain NAME\n"
           "  apply -f FILE [--dry_run]\n"
           "  status | history | counters\n\n"
           "Changes also take --operation_id, --expected_revision, --author\n"
           "and --wait. --output=json prints JSON. Exit status: 0 done,\n"
           "1 conflict or rejected, 2 usage, 3 unreachable, 4 unknown\n"
           "outcome.";
}

} // namespace jackdawhall::ctl
