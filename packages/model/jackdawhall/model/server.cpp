#include <jackdawhall/model/server.hpp>

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace jackdawhall
{

std::string_view to_text(server_state state)
{
    static constexpr std::array<std::string_view, 3> texts{
        "warming", "ready", "draining"};
    return texts.at(static_cast<std::size_t>(state));
}

std::optional<endpoint> parse_target(std::string_view text)
{
    std::size_t const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::uint16_t port = 0;
    auto const end = text.data() + text.size();
    auto const [stop, error] =
        std::from_chars(text.data() + colon + 1, end, port);
    if (error != std::errc{} || stop != end || port == 0)
        return std::nullopt;
    std::string address(text.substr(0, colon));
    in_addr number{};
    // A text with a 0 byte would be read up to that byte.
    if (address.find('\0') != std::string::npos ||
        inet_pton(AF_INET, address.c_str(), &number) != 1 ||
        number.s_addr == INADDR_ANY)
        return std::nullopt;
    return endpoint{std::move(address), port};
}

bool is_server_id(std::string_view id)
{
    return !id.empty() && id.size() <= max_server_id_bytes &&
           std::all_of(
               id.begin(), id.end(), [](char c) { return c > ' ' && c < 127; });
}

bool is_within_bounds(backend_server const& server)
{
    return is_server_id(server.id_) && server.slots_ >= 1 &&
           server.slots_ <= max_slots &&
           server.connections_ <= max_server_connections;
}

} // namespace jackdawhall
