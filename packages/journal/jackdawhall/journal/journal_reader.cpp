#include <jackdawhall/journal/journal_reader.hpp>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <memory>
#include <unistd.h>

#include <xxhash.h>

#include <jackdawhall/journal/journal_file.hpp>

namespace jackdawhall::journal
{

namespace
{

constexpr std::size_t window_bytes = 256 << 10;

template <class Integer>
Integer get(std::string_view bytes, std::size_t at)
{
    Integer value{};
    std::memcpy(&value, bytes.data() + at, sizeof value);
    return value;
}

} // namespace

leaf::result<void> journal_reader::read_at(
    std::uint64_t at, std::string& bytes, std::size_t count) const
{
    bytes.resize(count);
    std::size_t done = 0;
    while (done < count)
    {
        ssize_t const n = ::pread(
            file_, bytes.data() + done, count - done,
            static_cast<off_t>(at + done));
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return leaf::new_error(user_error{
                std::string("the journal cannot be read: ") +
                    (n < 0 ? std::strerror(errno) : "it became shorter"),
                "check the disk and the permissions"});
        done += static_cast<std::size_t>(n);
    }
    return {};
}

leaf::result<std::string_view>
journal_reader::view(std::uint64_t at, std::size_t count)
{
    if (at < window_at_ || at + count > window_at_ + window_.size())
    {
        std::size_t const held =
            std::min<std::uint64_t>(window_bytes, size_ - at);
        BOOST_LEAF_CHECK(read_at(at, window_, held));
        window_at_ = at;
    }
    return std::string_view(window_).substr(at - window_at_, count);
}

leaf::result<std::uint64_t>
journal_reader::checksum(std::uint64_t at, std::uint64_t count)
{
    std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> const sum(
        XXH3_createState(), &XXH3_freeState);
    XXH3_64bits_reset(sum.get());
    std::uint64_t done = 0;
    while (done < count)
    {
        std::size_t const part =
            std::min<std::uint64_t>(window_bytes, count - done);
        BOOST_LEAF_ASSIGN(std::string_view const bytes, view(at + done, part));
        XXH3_64bits_update(sum.get(), bytes.data(), bytes.size());
        done += part;
    }
    return XXH3_64bits_digest(sum.get());
}

leaf::result<std::optional<record_place>> journal_reader::find(std::uint64_t at)
{
    if (size_ - at < header_bytes)
        return std::nullopt;
    BOOST_LEAF_ASSIGN(std::string_view const header, view(at, header_bytes));
    record_place const place{
        at, get<std::uint32_t>(header, 0),
        get<std::uint8_t>(header, kind_offset),
        get<std::uint64_t>(header, synced_offset)};
    auto const wanted = get<std::uint64_t>(header, checksum_offset);
    if (place.length_ > max_record_bytes || place.end() > size_)
        return std::nullopt;
    BOOST_LEAF_ASSIGN(
        std::uint64_t const sum,
        checksum(at + kind_offset, place.end() - at - kind_offset));
    if (sum != wanted)
        return std::nullopt;
    return place;
}

leaf::result<std::string> journal_reader::read(record_place const& place) const
{
    std::string bytes;
    BOOST_LEAF_CHECK(read_at(place.at_ + header_bytes, bytes, place.length_));
    return bytes;
}

leaf::result<bool> journal_reader::was_synced(std::uint64_t at)
{
    for (std::uint64_t i = at + 1; i + header_bytes <= size_; ++i)
    {
        BOOST_LEAF_ASSIGN(std::string_view const header, view(i, header_bytes));
        auto const synced = get<std::uint64_t>(header, synced_offset);
        if (synced <= at || synced > size_)
            continue;
        BOOST_LEAF_ASSIGN(std::optional<record_place> const found, find(i));
        if (found)
            return true;
    }
    return false;
}

} // namespace jackdawhall::journal
