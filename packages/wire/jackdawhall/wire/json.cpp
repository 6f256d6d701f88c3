#include <jackdawhall/wire/json.hpp>

#include <cmath>
#include <set>

namespace jackdawhall::wire
{

namespace
{

// A value in the JSON is missing or of the wrong type.
struct bad_json
{
    std::string what_;
    std::string mend_;
};

json const& member(json const& object, char const* name)
{
    auto const found = object.find(name);
    if (found == object.end())
        throw bad_json{
            std::string("'") + name + "' is missing",
            std::string("add '") + name + "'"};
    return *found;
}

std::string text(json const& object, char const* name)
{
    json const& value = member(object, name);
    if (!value.is_string())
        throw bad_json{
            std::string("'") + name + "' is not a text", "write it in quotes"};
    return value.get<std::string>();
}

std::int64_t as_integer(json const& value, std::string const& name)
{
    if (!value.is_number_integer())
        throw bad_json{
            "'" + name + "' is not a whole number", "write a whole number"};
    return value.get<std::int64_t>();
}

std::int64_t integer(json const& object, char const* name)
{
    return as_integer(member(object, name), name);
}

std::int64_t
integer_or(json const& object, char const* name, std::int64_t other)
{
    return object.contains(name) ? integer(object, name) : other;
}

bool flag_or(json const& object, char const* name, bool other)
{
    if (!object.contains(name))
        return other;
    json const& value = member(object, name);
    if (!value.is_boolean())
        throw bad_json{
            std::string("'") + name + "' is neither true nor false",
            "write true or false"};
    return value.get<bool>();
}

template <class Name>
Name checked_name(json const& object, char const* key)
{
    std::string given = text(object, key);
    if (!is_name(given))
        throw bad_json{
            "'" + given + "' is not a name",
            "write 1 to 64 characters out of a-z 0-9 - _ ."};
    return Name::make(std::move(given)).value();
}

void allow_only(json const& object, std::set<std::string> allowed)
{
    allowed.insert({"kind", "name", "schema", "revision"});
    for (auto const& item : object.items())
    {
        if (!allowed.contains(item.key()))
            throw bad_json{
                "'" + item.key() + "' is not a field of this kind of record",
                "remove it"};
    }
}

// Requests per second, to a thousandth.
std::int64_t milli_rate(json const& object)
{
    json const& value = member(object, "rate");
    if (!value.is_number() || value.get<double>() < 0 ||
        value.get<double>() > 1e9)
        throw bad_json{
            "'rate' is not a number from 0 to 1000000000",
            "write the requests per second"};
    return std::llround(value.get<double>() * 1000);
}

json rate_json(std::int64_t milli)
{
    if (milli % 1000 == 0)
        return milli / 1000;
    return static_cast<double>(milli) / 1000;
}

record_body account_from(json const& object, std::uint32_t schema)
{
    if (schema == 1)
    {
        allow_only(object, {"rate", "burst"});
        return account_v1{milli_rate(object), integer(object, "burst")};
    }
    allow_only(object, {"rate", "burst", "retry_percent"});
    return account_v2{
        milli_rate(object), integer(object, "burst"),
        integer_or(object, "retry_percent", 10)};
}

record_body route_from(json const& object)
{
    allow_only(
        object, {"method", "path", "service", "rank", "open", "repeatable",
                 "timeout_ms"});
    route_v1 route;
    if (object.contains("method"))
        route.method_ = text(object, "method");
    route.path_prefix_ = text(object, "path");
    route.service_ = checked_name<service_name>(object, "service");
    std::int64_t const rank_value = integer_or(object, "rank", lowest_rank);
    if (rank_value < 0 || rank_value > lowest_rank)
        throw bad_json{"'rank' is out of range", "write 0 (matters most) to 9"};
    route.rank_ = static_cast<rank>(rank_value);
    route.open_ = flag_or(object, "open", false);
    route.repeatable_ = flag_or(object, "repeatable", false);
    route.timeout_ms_ = integer_or(object, "timeout_ms", 1000);
    return route;
}

record_body key_from(json const& object)
{
    allow_only(object, {"account", "salt", "hash", "withdrawn"});
    return key_v1{
        checked_name<account_name>(object, "account"), text(object, "salt"),
        text(object, "hash"), flag_or(object, "withdrawn", false)};
}

record_body service_from(json const& object)
{
    allow_only(object, {"draining"});
    return service_v1{flag_or(object, "draining", false)};
}

record_body suspect_from(json const& object)
{
    allow_only(object, {"crashes", "expires_ms"});
    return suspect_v1{
        integer(object, "crashes"), integer(object, "expires_ms")};
}

record_body departure_from(json const& object)
{
    allow_only(object, {"started", "sequence", "recorded_ms"});
    return departure_v1{
        integer(object, "started"), integer(object, "sequence"),
        integer(object, "recorded_ms")};
}

record_key key_of(json const& object)
{
    std::int64_t const schema = integer_or(object, "schema", 1);
    if (schema < 1 || schema > 1000)
        throw bad_json{"'schema' is out of range", "write 1 or 2"};
    return {
        text(object, "kind"), text(object, "name"),
        static_cast<std::uint32_t>(schema)};
}

record_body body_of(record_key const& key, json const& object)
{
    bool const account = key.kind_ == "account" && key.schema_ <= 2;
    if (account)
        return account_from(object, key.schema_);
    if (key.schema_ == 1)
    {
        if (key.kind_ == "route")
            return route_from(object);
        if (key.kind_ == "key")
            return key_from(object);
        if (key.kind_ == "service")
            return service_from(object);
        if (key.kind_ == "suspect")
            return suspect_from(object);
        if (key.kind_ == "departure")
            return departure_from(object);
    }
    throw bad_json{
        "no record of kind '" + key.kind_ + "' has schema " +
            std::to_string(key.schema_),
        "write account (schema 1 or 2), key, route or service (schema 1)"};
}

json body_json(record_body const& body)
{
    return std::visit(
        overloaded{
            [](account_v1 const& a) {
                return json{
                    {"rate", rate_json(a.milli_rate_)}, {"burst", a.burst_}};
            },
            [](account_v2 const& a)
            {
                return json{
                    {"rate", rate_json(a.milli_rate_)},
                    {"burst", a.burst_},
                    {"retry_percent", a.retry_percent_}};
            },
            [](key_v1 const& k)
            {
                return json{
                    {"account", k.account_.str()},
                    {"salt", k.salt_},
                    {"hash", k.hash_},
                    {"withdrawn", k.withdrawn_}};
            },
            [](route_v1 const& r)
            {
                json object{
                    {"path", r.path_prefix_},
                    {"service", r.service_.str()},
                    {"rank", r.rank_},
                    {"open", r.open_},
                    {"repeatable", r.repeatable_},
                    {"timeout_ms", r.timeout_ms_}};
                if (!r.method_.empty())
                    object["method"] = r.method_;
                return object;
            },
            [](service_v1 const& s) {
                return json{{"draining", s.draining_}};
            },
            [](suspect_v1 const& s) {
                return json{
                    {"crashes", s.crashes_}, {"expires_ms", s.expires_ms_}};
            },
            [](account_v3 const& a)
            {
                json object{
                    {"rate", rate_json(a.milli_rate_)}, {"burst", a.burst_}};
                if (a.rank_)
                    object["rank"] = *a.rank_;
                return object;
            },
            [](key_v2 const& k) {
                return json{{"account", k.account_.str()}};
            },
            [](route_v2 const& r)
            {
                json services = json::object();
                for (weighted_service const& s : r.services_)
                    services[s.service_.str()] = s.weight_;
                return json{
                    {"virtual_host", r.virtual_host_},
                    {"path", r.path_prefix_},
                    {"services", std::move(services)},
                    {"rank", r.rank_},
                    {"open", r.open_},
                    {"repetition", to_text(r.repetition_)},
                    {"timeout_ms", r.timeout_ms_},
                    {"objective_ms", r.objective_ms_},
                    {"attempts", r.attempts_}};
            },
            [](service_v2 const& s) {
                return json{
                    {"draining", s.draining_}, {"connections", s.connections_}};
            },
            [](limits_v1 const& l)
            {
                return json{
                    {"header_bytes", l.header_bytes_},
                    {"body_bytes", l.body_bytes_},
                    {"header_time_ms", l.header_time_ms_},
                    {"idle_time_ms", l.idle_time_ms_}};
            },
            [](departure_v1 const& d)
            {
                return json{
                    {"started", d.started_},
                    {"sequence", d.sequence_},
                    {"recorded_ms", d.recorded_ms_}};
            },
            [](unknown_record const&) { return json::object(); },
        },
        body);
}

json key_json(record_key const& key)
{
    return json{
        {"kind", key.kind_}, {"name", key.name_}, {"schema", key.schema_}};
}

json record_json(record_key const& key, record_body const& body)
{
    json object = key_json(key);
    object.update(body_json(body));
    return object;
}

edit edit_from(json const& object)
{
    edit e;
    e.expected_ =
        static_cast<revision>(integer_or(object, "expected_revision", 0));
    json const& target = member(object, "record");
    e.key_ = key_of(target);
    if (!flag_or(object, "remove", false))
        e.body_ = body_of(e.key_, target);
    return e;
}

template <class T, class Function>
leaf::result<T> guarded(Function f)
{
    try
    {
        return f();
    }
    catch (bad_json const& e)
    {
        return leaf::new_error(user_error{e.what_, e.mend_});
    }
    catch (json::exception const& e)
    {
        return leaf::new_error(
            user_error{e.what(), "write a JSON object as docs/OPERATING.md"});
    }
}

} // namespace

json to_json(record const& r)
{
    json object = record_json(r.key_, r.body_);
    object["revision"] = r.revision_;
    object.erase("hash");
    object.erase("salt");
    return object;
}

leaf::result<std::pair<record_key, record_body>>
record_from_json(json const& value)
{
    using pair = std::pair<record_key, record_body>;
    return guarded<pair>(
        [&]
        {
            record_key const key = key_of(value);
            return pair{key, body_of(key, value)};
        });
}

json to_json(change const& c)
{
    json edits = json::array();
    for (edit const& e : c.edits_)
    {
        json object{{"expected_revision", e.expected_}};
        object["record"] =
            e.body_ ? record_json(e.key_, *e.body_) : key_json(e.key_);
        if (!e.body_)
            object["remove"] = true;
        edits.push_back(std::move(object));
    }
    return json{
        {"operation_id", c.operation_id_},
        {"author", c.author_},
        {"edits", std::move(edits)}};
}

leaf::result<change> change_from_json(json const& value)
{
    return guarded<change>(
        [&]
        {
            change c;
            c.operation_id_ = text(value, "operation_id");
            if (c.operation_id_.empty() || c.operation_id_.size() > 128)
                throw bad_json{
                    "'operation_id' is empty or over 128 characters",
                    "write an id of your own for each change"};
            c.author_ = text(value, "author");
            json const& edits = member(value, "edits");
            if (!edits.is_array())
                throw bad_json{"'edits' is not a list", "write a list"};
            for (json const& e : edits)
                c.edits_.push_back(edit_from(e));
            return c;
        });
}

json to_json(change_outcome const& outcome)
{
    return std::visit(
        overloaded{
            [](accepted const& a) {
                return json{{"outcome", "accepted"}, {"revision", a.revision_}};
            },
            [](conflict const& c)
            {
                return json{
                    {"outcome", "conflict"},
                    {"record", key_json(c.key_)},
                    {"actual_revision", c.actual_}};
            },
            [](rejected const& r) {
                return json{
                    {"outcome", "rejected"},
                    {"what", r.what_},
                    {"mend", r.mend_}};
            },
            [](unknown_outcome const& u) {
                return json{{"outcome", "unknown"}, {"what", u.what_}};
            },
        },
        outcome);
}

leaf::result<change_outcome> outcome_from_json(json const& value)
{
    return guarded<change_outcome>(
        [&]() -> change_outcome
        {
            std::string const kind = text(value, "outcome");
            if (kind == "accepted")
                return accepted{
                    static_cast<revision>(integer(value, "revision"))};
            if (kind == "conflict")
                return conflict{
                    key_of(member(value, "record")),
                    static_cast<revision>(integer(value, "actual_revision"))};
            if (kind == "rejected")
                return rejected{text(value, "what"), text(value, "mend")};
            return unknown_outcome{text(value, "what")};
        });
}

json to_json(history_entry const& past)
{
    return json{
        {"revision", past.revision_},
        {"when_ms", past.when_.time_since_epoch().count()},
        {"author", past.author_},
        {"summary", past.summary_}};
}

} // namespace jackdawhall::wire
