#include <jackdawhall/ctl/control_client.hpp>

#include <jackdawhall/loop.hpp>

namespace jackdawhall::ctl
{

namespace
{

constexpr std::chrono::seconds read_timeout{3};
constexpr std::chrono::seconds change_timeout{8};

using wire::json;

request make_request(
    control_client const& client, std::string const& method,
    std::string const& path, std::string body)
{
    return {
        method,
        path,
        {{"authorization", "Bearer " + client.token_}},
        std::move(body)};
}

leaf::result<json> as_json(answer const& a)
{
    json value = json::parse(a.body_, nullptr, false);
    if (a.status_ == 200 && !value.is_discarded())
        return value;
    if (value.is_object() && value.contains("what"))
        return leaf::new_error(user_error{
            value.value("what", ""), value.value("mend", "see the log")});
    return leaf::new_error(user_error{
        "the control host answered " + std::to_string(a.status_),
        "check that --control names the operators' address"});
}

leaf::result<json> read_from(
    control_client const& client, endpoint const& host, std::string const& path)
{
    BOOST_LEAF_AUTO(
        a,
        loop::fetch(host, make_request(client, "GET", path, {}), read_timeout));
    return as_json(a);
}

leaf::result<change_outcome> submit_to(
    control_client const& client, endpoint const& host, std::string const& body)
{
    BOOST_LEAF_AUTO(
        a, loop::fetch(
               host, make_request(client, "POST", "/v1/changes", body),
               change_timeout));
    BOOST_LEAF_AUTO(value, as_json(a));
    return wire::outcome_from_json(value);
}

} // namespace

leaf::result<json> read(control_client const& client, std::string const& path)
{
    for (std::size_t i = 0; i + 1 < client.hosts_.size(); ++i)
    {
        leaf::result<json> value = read_from(client, client.hosts_.at(i), path);
        if (value)
            return value;
    }
    return read_from(client, client.hosts_.back(), path);
}

std::vector<json>
read_each(control_client const& client, std::string const& path)
{
    std::vector<json> values;
    for (endpoint const& host : client.hosts_)
    {
        leaf::result<json> value = read_from(client, host, path);
        values.push_back(value ? std::move(value.value()) : json(nullptr));
    }
    return values;
}

leaf::result<change_outcome>
submit(control_client const& client, change const& c)
{
    std::string const body = wire::to_json(c).dump();
    change_outcome last = unknown_outcome{"no control host answered"};
    for (int attempt = 0; attempt < change_attempts; ++attempt)
    {
        endpoint const& host = client.hosts_.at(
            static_cast<std::size_t>(attempt) % client.hosts_.size());
        leaf::result<change_outcome> outcome = submit_to(client, host, body);
        bool const final_try = attempt + 1 == change_attempts;
        if (!outcome && final_try)
            return outcome;
        if (!outcome)
            continue;
        last = std::move(outcome.value());
        if (!std::holds_alternative<unknown_outcome>(last))
            return last;
    }
    return last;
}

} // namespace jackdawhall::ctl
