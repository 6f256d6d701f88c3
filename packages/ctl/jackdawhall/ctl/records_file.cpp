#include <jackdawhall/ctl/records_file.hpp>

#include <yaml-cpp/yaml.h>

namespace jackdawhall::ctl
{

namespace
{

using wire::json;

// A plain YAML scalar as JSON: whole number, number, truth value or text.
json scalar_to_json(YAML::Node const& node)
{
    if (node.Tag() == "!") // quoted
        return node.Scalar();
    std::int64_t whole = 0;
    if (YAML::convert<std::int64_t>::decode(node, whole))
        return whole;
    double number = 0;
    if (YAML::convert<double>::decode(node, number))
        return number;
    bool flag = false;
    if (YAML::convert<bool>::decode(node, flag))
        return flag;
    return node.Scalar();
}

json record_to_json(YAML::Node const& node)
{
    json object = json::object();
    for (auto const& item : node)
        object[item.first.Scalar()] = scalar_to_json(item.second);
    return object;
}

leaf::error_id bad_line(
    std::string const& path, YAML::Mark const& mark, std::string const& what,
    std::string const& mend)
{
    std::string place = path;
    if (!mark.is_null())
        place += ":" + std::to_string(mark.line + 1);
    return leaf::new_error(user_error{place + ": " + what, mend});
}

leaf::result<file_record>
read_one(std::string const& path, YAML::Node const& node)
{
    if (!node.IsMap())
        return bad_line(
            path, node.Mark(), "is no record",
            "write kind, name and the record's fields");
    json const value = record_to_json(node);
    return leaf::try_handle_some(
        [&]() -> leaf::result<file_record>
        {
            BOOST_LEAF_AUTO(made, wire::record_from_json(value));
            return file_record{made.first, made.second};
        },
        [&](user_error const& e) -> leaf::result<file_record>
        { return bad_line(path, node.Mark(), e.what_, e.mend_); });
}

std::string describe(record_key const& key, record_body const& body)
{
    json fields = wire::to_json(record{key, 0, body});
    for (char const* name : {"kind", "name", "schema", "revision"})
        fields.erase(name);
    return to_text(key) + " " + fields.dump();
}

} // namespace

leaf::result<std::vector<file_record>>
read_records_file(std::string const& path)
{
    try
    {
        YAML::Node const file = YAML::LoadFile(path);
        YAML::Node const list = file["records"];
        if (!list || !list.IsSequence())
            return bad_line(
                path, file.Mark(), "has no list 'records'",
                "write the records under 'records:'");
        std::vector<file_record> records;
        for (YAML::Node const& node : list)
        {
            BOOST_LEAF_AUTO(one, read_one(path, node));
            records.push_back(std::move(one));
        }
        return records;
    }
    catch (YAML::BadFile const&)
    {
        return leaf::new_error(
            user_error{path + " cannot be read", "name a file that exists"});
    }
    catch (YAML::Exception const& e)
    {
        return bad_line(path, e.mark, e.msg, "mend the YAML");
    }
}

difference find_difference(
    std::vector<file_record> const& wanted, known_records const& known)
{
    difference d;
    for (file_record const& w : wanted)
    {
        auto const held = known.find(w.key_);
        if (held == known.end())
        {
            d.edits_.push_back({w.key_, 0, w.body_});
            d.lines_.push_back("+ " + describe(w.key_, w.body_));
            continue;
        }
        if (held->second.second == w.body_)
            continue;
        d.edits_.push_back({w.key_, held->second.first, w.body_});
        d.lines_.push_back("- " + describe(w.key_, held->second.second));
        d.lines_.push_back("+ " + describe(w.key_, w.body_));
    }
    return d;
}

} // namespace jackdawhall::ctl
