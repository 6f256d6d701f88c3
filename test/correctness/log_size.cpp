// The log and the messages are bounded by the size of the state, not by the
// number of changes.
#include <catch2/catch.hpp>

#include "checkers.hpp"
#include "scenario.hpp"

using namespace jackdawhall;
using namespace jackdawhall::control;
using namespace jackdawhall::test;

namespace
{

constexpr std::size_t many_routes = 1386;
constexpr std::size_t text_bytes = 268 << 10;

std::string path_of(std::size_t i)
{
    return "/some-path-" + std::to_string(i) + "/";
}

document large_document(std::int64_t version)
{
    document d{
        version,
        version - 1,
        "digest " + std::to_string(version),
        std::string(text_bytes, 't'),
        {}};
    d.contents_.push_back({{"service", "plans", 2}, service_v2{}});
    for (std::size_t i = 0; i < many_routes; ++i)
    {
        route_v2 r;
        r.virtual_host_ = "some-virtual-host.example";
        r.path_prefix_ = path_of(i);
        r.services_ = {{service_name::make("plans").value(), 1}};
        r.timeout_ms_ = 5000 + version;
        d.contents_.push_back(
            {{"route", r.virtual_host_ + r.path_prefix_, 2}, r});
    }
    return d;
}

// Counted without regard to how the product estimates it.
std::size_t text_bytes_of(log_entry const& entry)
{
    document_command const* c = std::get_if<document_command>(&entry.command_);
    if (!c)
        return 0;
    std::size_t total = c->document_.text_.size();
    for (auto const& placed : c->document_.contents_)
        total += placed.first.kind_.size() + placed.first.name_.size();
    return total;
}

std::size_t bytes_held(entry_log const& log)
{
    std::size_t total = 0;
    for (log_index i = log.base_index() + 1; i <= log.last_index(); ++i)
        total += text_bytes_of(log.at(i));
    return total;
}

std::size_t entries_held(entry_log const& log)
{
    return log.last_index() - log.base_index();
}

void put_document(memory_fleet& fleet, std::int64_t version)
{
    std::size_t const to = fleet.leader().value();
    std::uint64_t const n = fleet.submit(to, large_document(version));
    auto const taken = [&]
    { return fleet.control_of(to).machine_.document_version_ == version; };
    INFO("change " << n);
    REQUIRE(fleet.run_until(taken, 5s));
}

} // namespace

// An existing core ended itself at its limit of memory: the log was bounded by
// the number of its entries alone.
TEST_CASE("240 changes of a large document leave a small log")
{
    memory_fleet fleet({.hosts_ = 3});
    wait_until_ready(fleet, 3);
    std::size_t most = 0;
    for (std::int64_t version = 1; version <= 240; ++version)
    {
        put_document(fleet, version);
        for (std::size_t i = 0; i < 3; ++i)
            most =
                std::max(most, bytes_held(fleet.control_of(i).consensus_.log_));
    }
    CHECK(most < std::size_t{16} << 20);
    fleet.run_for(1s);
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(fleet.control_of(i).machine_.document_version_ == 240);
}

TEST_CASE("an empty host joins after 180 changes of a large document")
{
    memory_fleet fleet({.hosts_ = 3});
    wait_until_ready(fleet, 3);
    for (std::int64_t version = 1; version <= 180; ++version)
        put_document(fleet, version);
    std::size_t const lost = (fleet.leader().value() + 1) % 3;
    fleet.kill(lost);
    fleet.lose_disk(lost);
    fleet.start(lost);
    fleet.run_for(15s);
    consensus_state const& c = fleet.control_of(lost).consensus_;
    std::vector<voter> const& voters = c.log_.voters();
    CHECK(std::find(voters.begin(), voters.end(), c.self_) != voters.end());
    CHECK(fleet.control_of(lost).machine_.document_version_ == 180);
    CHECK(bytes_held(c.log_) < std::size_t{16} << 20);
}

TEST_CASE("small changes are still kept for followers that are behind")
{
    memory_fleet fleet({.hosts_ = 3});
    wait_until_ready(fleet, 3);
    for (std::int64_t version = 1; version <= 60; ++version)
        put_document(fleet, version);
    for (int i = 0; i < 100; ++i)
        make_change(fleet, {put_account("a" + std::to_string(i), 1, 1)});
    std::size_t const leader = fleet.leader().value();
    CHECK(entries_held(fleet.control_of(leader).consensus_.log_) >= 100);
}
