#include <jackdawhall/daemon/announcement.hpp>

#include <jackdawhall/wire.hpp>

namespace jackdawhall::daemon
{

namespace
{

using wire::json;

std::optional<server_state> parse_state(std::string const& text)
{
    for (server_state const state :
         {server_state::warming, server_state::ready, server_state::draining})
    {
        if (to_text(state) == text)
            return state;
    }
    return std::nullopt;
}

std::uint32_t bounded(json const& value, std::uint32_t most)
{
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() < 1 ||
        value.get<std::uint64_t>() > most)
        throw json::other_error::create(
            501, "a count is no whole number from 1 to " + std::to_string(most),
            nullptr);
    return value.get<std::uint32_t>();
}

service_name service_from(json const& value)
{
    std::string text = value.get<std::string>();
    if (!is_name(text))
        throw json::other_error::create(
            501, "a service is not a name", nullptr);
    return service_name::make(std::move(text)).value();
}

} // namespace

calls::announcement parse_announcement(std::string const& body)
{
    json const given = wire::parse_json(body);
    calls::announcement a;
    a.id_ = given.at("id").get<std::string>();
    if (!is_name(a.id_))
        throw json::other_error::create(501, "the id is not a name", nullptr);
    a.service_ = service_from(given.at("service"));
    std::optional<endpoint> const address =
        parse_target(given.at("address").get<std::string>());
    std::optional<server_state> const state =
        parse_state(given.value("state", "ready"));
    if (!address || !state)
        throw json::other_error::create(
            501, "address or state is not valid", nullptr);
    a.address_ = *address;
    a.state_ = *state;
    a.slots_ = bounded(given.at("slots"), max_slots);
    a.connections_ = bounded(given.at("connections"), max_server_connections);
    for (json const& called : given.value("calls", json::array()))
        a.calls_.push_back(service_from(called));
    return a;
}

} // namespace jackdawhall::daemon
