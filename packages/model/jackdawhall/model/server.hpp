// Backend servers as they announce themselves. Nothing here must survive a
// restart: announcements are repeated and expire.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include <jackdawhall/model/name.hpp>

namespace jackdawhall
{

enum class server_state : std::uint8_t
{
    warming,
    ready,
    draining,
    last_ = draining
};

std::string_view to_text(server_state state);

// Address of a TCP port by IP number.
struct endpoint
{
    std::string address_;
    std::uint16_t port_ = 0;
    auto operator<=>(endpoint const&) const = default;
};

// Where a host is.
struct location
{
    region_name region_;
    zone_name zone_;
    auto operator<=>(location const&) const = default;
};

// One backend server, beside the daemon of `host_`.
struct backend_server
{
    host_name host_;
    location location_;
    endpoint gate_; // of the daemon beside it
    service_name service_;
    std::string id_; // of this run of the backend server
    std::uint32_t slots_ = 1;
    std::uint32_t connections_ = 1;
    server_state state_ = server_state::ready;
    auto operator<=>(backend_server const&) const = default;
};

} // namespace jackdawhall
