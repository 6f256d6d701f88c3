// Backend servers as they announce themselves. None of this is persistent:
// announcements are repeated and expire.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

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

// IP address and TCP port.
struct endpoint
{
    std::string address_;
    std::uint16_t port_ = 0;
    auto operator<=>(endpoint const&) const = default;
};

// Reads an address that can be connected to, such as 10.0.0.7:7070: a dotted
// IPv4 address other than 0.0.0.0, and a port from 1 to 65535.
std::optional<endpoint> parse_target(std::string_view text);

// Region and availability zone of a host.
struct location
{
    region_name region_;
    zone_name zone_;
    auto operator<=>(location const&) const = default;
};

// A backend server, attached to the daemon on `host_`.
struct backend_server
{
    host_name host_;
    location location_;
    endpoint gate_; // where that daemon accepts calls for the server
    service_name service_;
    std::string id_;          // differs for each run of the backend server
    std::uint32_t slots_ = 1; // upper bound of its concurrent runs
    std::uint32_t connections_ = 1;
    server_state state_ = server_state::ready;
    // Differs for each run of that daemon; 0: a build that does not report
    // what became of forwards.
    std::uint64_t incarnation_ = 0;
    auto operator<=>(backend_server const&) const = default;
};

inline constexpr std::size_t max_server_id_bytes = 128;

// Whether `id` is 1 to 128 printable ASCII characters without spaces, so that
// it can stand in logs and in JSON.
bool is_server_id(std::string_view id);

// Upper bounds of what a backend server may announce. The gate's queue and the
// entries' loads are worked out from them.
inline constexpr std::uint32_t max_slots = 100000;
inline constexpr std::uint32_t max_server_connections = 1000000;

// Whether id, slots and connections are within these bounds.
bool is_within_bounds(backend_server const& server);

} // namespace jackdawhall
