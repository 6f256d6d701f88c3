// Reads the records of a journal file through a window of bounded size. Not for
// users of the package.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <jackdawhall/model.hpp>

namespace jackdawhall::journal
{

// u32 length of the bytes, u64 checksum, u8 kind, u64 synced size; then bytes.
inline constexpr std::size_t header_bytes = 21;
inline constexpr std::size_t checksum_offset = 4;
inline constexpr std::size_t kind_offset = 12;
inline constexpr std::size_t synced_offset = 13;

// Where an undamaged record is, and its header.
struct record_place
{
    std::uint64_t at_ = 0;
    std::uint32_t length_ = 0; // of the bytes
    std::uint8_t kind_ = 0;
    std::uint64_t synced_ = 0;
    std::uint64_t end() const { return at_ + header_bytes + length_; }
    auto operator<=>(record_place const&) const = default;
};

// Each function fails with user_error if the disk does.
class journal_reader
{
public:
    // Does not own `file`.
    journal_reader(int file, std::uint64_t size) : file_(file), size_(size) {}

    // The record at `at`; empty if there is none or it is damaged.
    leaf::result<std::optional<record_place>> find(std::uint64_t at);

    // The bytes of a record.
    leaf::result<std::string> read(record_place const& place) const;

    // Whether a whole record after a damaged one at `at` says that the damaged
    // one had been synced.
    leaf::result<bool> was_synced(std::uint64_t at);

private:
    // Bytes of the file; all of them must be there, and fit the window.
    leaf::result<std::string_view> view(std::uint64_t at, std::size_t count);
    leaf::result<void>
    read_at(std::uint64_t at, std::string& bytes, std::size_t count) const;
    leaf::result<std::uint64_t> checksum(std::uint64_t at, std::uint64_t count);

    int file_ = -1;
    std::uint64_t size_ = 0;
    std::uint64_t window_at_ = 0;
    std::string window_;
};

} // namespace jackdawhall::journal
