#include <jackdawhall/ctl/commands.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <ostream>

#include <jackdawhall/ctl/command.hpp>
#include <jackdawhall/ctl/records_file.hpp>
#include <jackdawhall/ctl/session.hpp>
#include <jackdawhall/ctl/table.hpp>

namespace jackdawhall::ctl
{

namespace
{

using wire::json;

std::string cell(json const& value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

leaf::result<int> run(session const& s, remove_record const& asked)
{
    return remove(s, asked.key_);
}

leaf::result<int> run(session const& s, drain_service const& asked)
{
    return put(s, {"service", asked.name_, 1}, service_v1{asked.draining_});
}

leaf::result<int> run(session const& s, list_records const& asked)
{
    BOOST_LEAF_AUTO(found, records_of(s, asked.kind_));
    if (s.options_.json_)
    {
        s.out_ << json(found).dump() << "\n";
        return done_status;
    }
    std::vector<table_row> rows;
    table_row head;
    for (std::string column : asked.columns_)
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
        for (std::string const& column : asked.columns_)
            row.push_back(r.contains(column) ? cell(r.at(column)) : "-");
        rows.push_back(std::move(row));
    }
    s.out_ << to_table(rows);
    return done_status;
}

leaf::result<int> run(session const& s, set_account const& asked)
{
    std::string const& name = asked.name_;
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

leaf::result<int> run(session const& s, create_key const& asked)
{
    BOOST_LEAF_AUTO(owner, account_name::make(asked.account_));
    BOOST_LEAF_AUTO(name, key_name::make(asked.key_));
    random_source random = random_source::from_system_entropy();
    presented_key const presented{owner, name, random.hex(key_secret_bytes)};
    std::string const salt = random.hex(16);
    key_v1 const body{owner, salt, hash_secret(presented.secret_, salt), false};
    BOOST_LEAF_AUTO(
        status,
        submit_edits(
            s, {{{"key", asked.account_ + "/" + asked.key_, 1}, 0, body}}));
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
leaf::result<int> run(session const& s, withdraw_key const& asked)
{
    std::string const& name = asked.name_;
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

leaf::result<int> run(session const& s, set_route const& asked)
{
    options const& o = s.options_;
    BOOST_LEAF_AUTO(service, service_name::make(o.service_));
    std::int64_t const given = o.rank_.value_or(lowest_rank);
    if (given < 0 || given > lowest_rank)
        return bad_usage("--rank is not 0 to 9");
    return put(
        s, {"route", asked.name_, 1},
        route_v1{
            o.method_, o.path_, service, static_cast<rank>(given), o.open_,
            o.repeatable_, o.timeout_ms_});
}

leaf::result<int> run(session const& s, set_rank const& asked)
{
    BOOST_LEAF_AUTO(current, current_record(s, {"route", asked.route_, 1}));
    route_v1 body = std::get<route_v1>(current.body_);
    body.rank_ = asked.rank_;
    revision const expected = s.options_.expected_.value_or(current.revision_);
    return submit_edits(s, {{current.key_, expected, body}});
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

leaf::result<int> run(session const& s, show_status const&)
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

leaf::result<int> run(session const& s, show_history const&)
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

leaf::result<int> run(session const& s, show_counters const&)
{
    BOOST_LEAF_AUTO(counters, read(s.client_, "/v1/counters"));
    if (s.options_.json_)
    {
        s.out_ << counters.dump() << "\n";
        return done_status;
    }
    std::vector<table_row> rows{{"COUNTER", "VALUE"}};
    json const flat = counters.flatten();
    for (auto const& item : flat.items())
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

leaf::result<int> run(session const& s, apply_file const&)
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
    control_client const& client, std::vector<std::string> const& words,
    options const& o, std::ostream& out)
{
    BOOST_LEAF_AUTO(asked, parse_command(words, o));
    session const s{client, o, out};
    return std::visit([&](auto const& c) { return run(s, c); }, asked);
}

} // namespace jackdawhall::ctl
