#include <jackdawhall/loop/peer_frames.hpp>

#include <array>
#include <cstring>
#include <memory>
#include <utility>
#include <vector>

#include <glib.h>

namespace jackdawhall::loop
{

namespace
{

constexpr std::size_t length_bytes = 4;

// A frame's kind is its place in peer_frame.
std::vector<std::string_view> payload_of(peer_frame const& f)
{
    using parts = std::vector<std::string_view>;
    return std::visit(
        overloaded{
            [](ping_frame const&) { return parts{}; },
            [](pong_frame const&) { return parts{}; },
            [](message_frame const& m) { return parts{m.bytes_}; },
            [](challenge_frame const& c) { return parts{c.nonce_}; },
            [](hello_frame const& h) {
                return parts{h.host_, "\n", h.proof_};
            },
        },
        f);
}

std::optional<peer_frame> make_frame(std::size_t kind, std::string payload)
{
    switch (kind)
    {
    case 0:
        return payload.empty() ? std::optional<peer_frame>(ping_frame{})
                               : std::nullopt;
    case 1:
        return payload.empty() ? std::optional<peer_frame>(pong_frame{})
                               : std::nullopt;
    case 2:
        return message_frame{std::move(payload)};
    case 3:
        return challenge_frame{std::move(payload)};
    case 4:
    {
        std::size_t const end = payload.find('\n');
        if (end == std::string::npos)
            return std::nullopt;
        return hello_frame{payload.substr(0, end), payload.substr(end + 1)};
    }
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encode_frame(peer_frame const& f)
{
    std::vector<std::string_view> const payload = payload_of(f);
    std::size_t size = 0;
    for (std::string_view const part : payload)
        size += part.size();
    guint32 const length = GUINT32_TO_BE(static_cast<guint32>(size + 1));
    std::array<char, frame_header_bytes> header{};
    std::memcpy(header.data(), &length, length_bytes);
    header.back() = static_cast<char>(f.index());
    std::string bytes;
    bytes.reserve(header.size() + size);
    bytes.append(header.data(), header.size());
    for (std::string_view const part : payload)
        bytes.append(part);
    return bytes;
}

received_frame decode_frame(std::string_view bytes, std::uint32_t most_bytes)
{
    if (bytes.size() < length_bytes)
        return incomplete_frame{};
    guint32 length = 0;
    std::memcpy(&length, bytes.data(), length_bytes);
    length = GUINT32_FROM_BE(length);
    if (length == 0 || length > most_bytes)
        return malformed_frame{"frame of " + std::to_string(length) + " bytes"};
    if (bytes.size() - length_bytes < length)
        return incomplete_frame{};
    auto const kind = static_cast<unsigned char>(bytes[length_bytes]);
    std::optional<peer_frame> frame = make_frame(
        kind, std::string(bytes.substr(frame_header_bytes, length - 1)));
    if (!frame)
        return malformed_frame{
            "frame of unknown kind, or of a payload that does not fit it"};
    return whole_frame{std::move(*frame), length_bytes + length};
}

std::string prove_secret(
    std::string const& secret, std::string const& nonce,
    std::string const& host)
{
    std::string const text = "jackdawhall 1 " + nonce + " " + host;
    std::unique_ptr<char, decltype(&g_free)> const hex(
        g_compute_hmac_for_data(
            G_CHECKSUM_SHA256, reinterpret_cast<guchar const*>(secret.data()),
            secret.size(), reinterpret_cast<guchar const*>(text.data()),
            text.size()),
        &g_free);
    return hex.get();
}

} // namespace jackdawhall::loop
