// A snapshot that a control host sends to one that joins fits a frame of their
// link.
#include <catch2/catch.hpp>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/wire.hpp>

using namespace jackdawhall;

namespace
{

// docs/CAPACITY.md: claims a second at the design size. The ledger keeps them
// for an hour.
constexpr std::size_t claims_a_second = 2400;
constexpr std::size_t kept_seconds = 360; // a tenth of the hour

claim numbered_claim(std::size_t i)
{
    std::string const digits = std::to_string(1'000'000'000'000 + i);
    return {
        {account_name::make("acme").value(),
         "0193a000-0000-7000-8000-" + digits.substr(1)},
        std::string(32, 'b'),
        "run-" + digits,
        host_name::make("10.1.0.26").value()};
}

} // namespace

// An emptied host never joins: the link closes for the frame, again and again.
TEST_CASE("a snapshot with many claims fits a frame")
{
    install_snapshot m;
    for (std::size_t i = 0; i < claims_a_second * kept_seconds; ++i)
        m.snapshot_.claims_.push_back(numbered_claim(i));
    std::size_t const bytes = wire::encode(message{std::move(m)}).size();
    CHECK(bytes <= loop::max_frame_bytes);
}
