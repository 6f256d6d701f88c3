// Links that go silent are found and replaced soon, whether they are used or
// idle.
#include <catch2/catch.hpp>

#include <memory>

#include <jackdawhall/loop.hpp>
#include <jackdawhall/loop/link_health.hpp>
#include <jackdawhall/loop/timer.hpp>

#include "silent_relay.hpp"

using namespace jackdawhall;
using namespace jackdawhall::loop;
using namespace std::chrono_literals;

namespace
{

host_name const near = host_name::make("near").value();
host_name const far = host_name::make("far").value();
std::string const secret = "0123456789abcdef-links";
instant const start{1h};

endpoint free_address()
{
    int const fd = open_listener({"127.0.0.1", 0}, "test").value();
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    close_fd(fd);
    return {"127.0.0.1", ntohs(at.sin_port)};
}

// Two daemons' links; `near` reaches `far` through a relay.
struct pair_of_links
{
    event_loop loop_;
    std::vector<std::string> far_received_;
    std::vector<instant> near_lost_;
    std::vector<std::string> near_undelivered_;
    endpoint far_address_ = free_address();
    test::silent_relay relay_{far_address_};
    peer_links near_{
        near,
        free_address(),
        secret,
        {[](host_name const&, std::string const&) {},
         [this](host_name const&, std::uint64_t)
         { near_lost_.push_back(read_clocks().now_); },
         [this](host_name const&, std::string bytes)
         { near_undelivered_.push_back(std::move(bytes)); },
         [](host_name const&, std::string const&) {}, [](std::string const&) {},
         [] {}}};
    peer_links far_{
        far,
        far_address_,
        secret,
        {[this](host_name const&, std::string bytes)
         { far_received_.push_back(std::move(bytes)); },
         [](host_name const&, std::uint64_t) {},
         [](host_name const&, std::string const&) {},
         [](host_name const&, std::string const&) {}, [](std::string const&) {},
         [] {}}};

    void run_for(duration d)
    {
        timer_ptr const end = make_timer([this] { loop_.quit(); });
        set_timer_due(end, read_clocks().now_ + d);
        loop_.run();
    }
};

link_health quiet_since(instant heard)
{
    link_health h;
    h.last_received_ = h.last_used_ = heard;
    return h;
}

} // namespace

TEST_CASE("a message over a silent link is given up, and the next one arrives")
{
    pair_of_links links;
    REQUIRE(links.far_.listen());
    links.near_.set_address(far, links.relay_.address());
    links.near_.send(far, "first", 1);
    links.run_for(300ms);
    REQUIRE(links.far_received_ == std::vector<std::string>{"first"});
    links.run_for(1400ms);
    links.relay_.fall_silent();
    links.run_for(50ms);
    instant const sent = read_clocks().now_;
    links.near_.send(far, "lost", 2);
    links.run_for(1s);
    REQUIRE(links.near_lost_.size() == 1);
    CHECK(links.near_lost_.front() - sent < 800ms);
    links.near_.send(far, "next", 3);
    links.run_for(500ms);
    CHECK(links.far_received_ == std::vector<std::string>{"first", "next"});
}

TEST_CASE("a link that was used lately and is idle is found silent")
{
    pair_of_links links;
    REQUIRE(links.far_.listen());
    links.near_.set_address(far, links.relay_.address());
    links.near_.send(far, "first", 1);
    links.run_for(800ms);
    links.relay_.fall_silent();
    links.run_for(3200ms);
    CHECK(links.near_lost_.size() == 1);
}

// The relay passes about 2 MB a second.
TEST_CASE("a large message over a slow and sound link arrives")
{
    pair_of_links links;
    REQUIRE(links.far_.listen());
    links.near_.set_address(far, links.relay_.address());
    links.near_.send(far, "first", 1);
    links.run_for(450ms);
    std::string const large(6'000'000, 'x');
    links.near_.send(far, large, 2);
    instant const end = read_clocks().now_ + 15s;
    while (links.far_received_.size() < 2 && links.near_lost_.empty() &&
           read_clocks().now_ < end)
        links.run_for(50ms);
    CHECK(links.near_lost_.empty());
    CHECK(links.far_received_.size() == 2);
}

TEST_CASE("a peer that takes what is sent has its whole time again")
{
    link_health h = mark_asked(quiet_since(start), start + 100ms);
    h = mark_probed(mark_unacknowledged(h, 5000, start + 700ms), start + 700ms);
    link_health const taken = mark_unacknowledged(h, 4000, start + 1100ms);
    CHECK(
        check_link(taken, true, 1, start + 1100ms).action_ !=
        link_action::close_silent);
    link_health const stuck = mark_unacknowledged(h, 5000, start + 1100ms);
    CHECK(
        check_link(stuck, true, 1, start + 1100ms).action_ ==
        link_action::close_silent);
}

TEST_CASE("a link that was heard from lately has a second to answer")
{
    link_health const asked = mark_asked(quiet_since(start), start + 100ms);
    CHECK(!asked.stale_);
    CHECK(
        check_link(asked, true, 1, start + 100ms) ==
        link_check{link_action::wait, 500ms});
    CHECK(
        check_link(asked, true, 1, start + 700ms).action_ ==
        link_action::probe);
    link_health const probed = mark_probed(asked, start + 700ms);
    CHECK(
        check_link(probed, true, 1, start + 1050ms).action_ !=
        link_action::close_silent);
    CHECK(
        check_link(probed, true, 1, start + 1100ms).action_ ==
        link_action::close_silent);
}

TEST_CASE("a link is probed before it is closed after a pause of this process")
{
    link_health const asked = mark_asked(quiet_since(start), start + 100ms);
    CHECK(check_link(asked, true, 1, start + 5s).action_ == link_action::probe);
    link_health const probed = mark_probed(asked, start + 5s);
    CHECK(
        check_link(probed, true, 1, start + 5s) ==
        link_check{link_action::wait, 200ms});
    CHECK(
        check_link(probed, true, 1, start + 5200ms).action_ ==
        link_action::close_silent);
}

TEST_CASE("a link that was silent before is probed at once")
{
    link_health const asked = mark_asked(quiet_since(start), start + 5s);
    CHECK(asked.stale_);
    CHECK(check_link(asked, true, 1, start + 5s).action_ == link_action::probe);
    link_health const probed = mark_probed(asked, start + 5s);
    CHECK(
        check_link(probed, true, 1, start + 5s) ==
        link_check{link_action::wait, 300ms});
    CHECK(
        check_link(probed, true, 1, start + 5500ms).action_ ==
        link_action::close_silent);
    link_health const heard = mark_received(probed, start + 5200ms);
    CHECK(
        check_link(heard, true, 1, start + 5500ms).action_ ==
        link_action::wait);
}

TEST_CASE("idle links are probed at a bounded rate")
{
    link_health const used = quiet_since(start);
    CHECK(
        check_link(used, true, 20, start + 1s) ==
        link_check{link_action::wait, 1s});
    CHECK(check_link(used, true, 20, start + 2s).action_ == link_action::probe);
    // 100 links share 10 probes a second.
    CHECK(
        check_link(used, true, 100, start + 9900ms).action_ ==
        link_action::wait);
    link_health h = used;
    h.last_received_ = start + 10s;
    CHECK(check_link(h, true, 20, start + 13s).action_ == link_action::wait);
    CHECK(check_link(h, true, 20, start + 25s).action_ == link_action::probe);
    CHECK(
        check_link(used, false, 1, start + 60s).action_ ==
        link_action::close_idle);
}
