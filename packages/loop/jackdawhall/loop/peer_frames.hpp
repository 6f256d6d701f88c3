// Frames between daemons, from and to bytes. A frame is a 4-byte length, a kind
// and a payload. Not for users of the package.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <jackdawhall/model.hpp>

namespace jackdawhall::loop
{

// Asks for a pong.
struct ping_frame
{
    auto operator<=>(ping_frame const&) const = default;
};
struct pong_frame
{
    auto operator<=>(pong_frame const&) const = default;
};
// What the accepting side sends first.
struct challenge_frame
{
    std::string nonce_;
    auto operator<=>(challenge_frame const&) const = default;
};
// The answer to it: who connects, and that it knows the fleet's secret.
struct hello_frame
{
    std::string host_;
    std::string proof_;
    auto operator<=>(hello_frame const&) const = default;
};
struct message_frame
{
    std::string bytes_;
    auto operator<=>(message_frame const&) const = default;
};
using peer_frame = std::variant<
    ping_frame, pong_frame, message_frame, challenge_frame, hello_frame>;

// Length and kind, before the payload.
inline constexpr std::size_t frame_header_bytes = 5;

std::string encode_frame(peer_frame const& f);

// What stands at the beginning of bytes received.
struct incomplete_frame // more bytes are needed
{
    auto operator<=>(incomplete_frame const&) const = default;
};
struct malformed_frame
{
    std::string what_;
    auto operator<=>(malformed_frame const&) const = default;
};
struct whole_frame
{
    peer_frame frame_;
    std::size_t size_ = 0; // bytes that it takes
    auto operator<=>(whole_frame const&) const = default;
};
using received_frame =
    std::variant<incomplete_frame, malformed_frame, whole_frame>;

// Takes frames of `most_bytes` at most.
received_frame decode_frame(std::string_view bytes, std::uint32_t most_bytes);

// Proof that `host` knows the fleet's secret, in answer to a nonce.
std::string prove_secret(
    std::string const& secret, std::string const& nonce,
    std::string const& host);

} // namespace jackdawhall::loop
