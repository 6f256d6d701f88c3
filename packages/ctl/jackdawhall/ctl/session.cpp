#include <jackdawhall/ctl/session.hpp>

#include <ostream>

#include <jackdawhall/loop.hpp>

namespace jackdawhall::ctl
{

using wire::json;

namespace
{

// How long after acceptance a change is in force on every host at the latest.
constexpr std::chrono::seconds in_force_within{5};

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

} // namespace

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

} // namespace jackdawhall::ctl
