// A daemon holds the servers that its control host lists, although it is sent
// only those that changed, and answers are lost or late or the host restarts.
#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

#include <jackdawhall/control.hpp>

#include "single_node.hpp"

using namespace jackdawhall;
using namespace jackdawhall::test;

namespace
{

backend_server
numbered_server(std::size_t i, server_state state = server_state::ready)
{
    backend_server server = single_node::server_at(
        host_name::make("host-" + std::to_string(i)).value(), 1);
    server.state_ = state;
    return server;
}

renewal_request announcement_of(std::size_t host, bool with_server)
{
    renewal_request r;
    r.host_ = host_name::make("host-" + std::to_string(host)).value();
    if (with_server)
        r.servers_ = {numbered_server(host)};
    return r;
}

control::membership make_membership(std::uint64_t incarnation)
{
    control::membership m;
    m.self_ = single_node::control_host();
    m.incarnation_ = incarnation;
    return m;
}

// What a daemon would ask, which knows this version of this run.
renewal_request renewal(std::uint64_t incarnation, std::uint64_t version)
{
    renewal_request r;
    r.host_ = single_node::self();
    r.wanted_ = {single_node::service()};
    r.membership_version_ = version;
    r.membership_incarnation_ = incarnation;
    return r;
}

renewal_response
answer_to(control::membership const& m, renewal_request const& asked)
{
    renewal_response a;
    a.stamp_ = asked.stamp_;
    a.confirmed_ = true;
    a.membership_version_ = m.version_;
    a.membership_incarnation_ = m.incarnation_;
    a.services_ = control::changed_services(m, asked);
    return a;
}

std::set<backend_server> as_set(std::vector<backend_server> const& servers)
{
    return {servers.begin(), servers.end()};
}

// One renewal of the node, as its control host sees it.
renewal_request next_renewal(single_node& node)
{
    node.pass(calls::renewal_interval);
    renewal_request asked = node.sent<renewal_request>().at(0);
    asked.wanted_ = {single_node::service()};
    return asked;
}

void give_answer(single_node& node, renewal_response a)
{
    a.incarnation_ = node.state().incarnation_;
    node.give(single_node::control_host(), std::move(a));
}

std::vector<backend_server> known_servers(single_node const& node)
{
    auto const known = node.state().servers_.find(single_node::service());
    return known == node.state().servers_.end() ? std::vector<backend_server>{}
                                                : known->second;
}

constexpr std::size_t fleet_size = 40;

// A server comes or goes.
control::membership change_one(control::membership m, random_source& random)
{
    std::size_t const host = random.below(fleet_size);
    return control::apply_announcement(
        std::move(m), announcement_of(host, random.below(2) == 0),
        instant{} + std::chrono::seconds(1));
}

} // namespace

TEST_CASE(
    "a daemon holds what its control host lists, whatever is lost or late")
{
    random_source random(GENERATE(range(1, 21)));
    control::membership m = make_membership(7);
    single_node node;
    std::vector<renewal_response> under_way;
    for (int i = 0; i < 400; ++i)
    {
        m = change_one(std::move(m), random);
        under_way.push_back(answer_to(m, next_renewal(node)));
        if (random.below(3) == 0)
            under_way.erase(under_way.begin()); // lost
        while (!under_way.empty() && random.below(2) == 0)
        {
            std::size_t const one = random.below(under_way.size());
            give_answer(node, under_way.at(one));
            under_way.erase(
                under_way.begin() + static_cast<std::ptrdiff_t>(one));
        }
    }
    give_answer(node, answer_to(m, next_renewal(node)));
    CHECK(
        as_set(known_servers(node)) ==
        as_set(control::servers_of(m, single_node::service())));
}

TEST_CASE("a daemon is sent only the servers that changed")
{
    control::membership m = make_membership(7);
    instant const at = instant{} + std::chrono::seconds(1);
    for (std::size_t i = 0; i < fleet_size; ++i)
        m = control::apply_announcement(
            std::move(m), announcement_of(i, true), at);
    renewal_request const known = renewal(7, m.version_);
    m = control::apply_announcement(
        std::move(m), announcement_of(3, false), at);
    renewal_response const a = answer_to(m, known);
    REQUIRE(a.services_.size() == 1);
    CHECK(a.services_.front().partial_);
    CHECK(a.services_.front().servers_.empty());
    CHECK(a.services_.front().removed_.size() == 1);
}

// The versions of two runs of a control host have nothing to do with each
// other: a list of changes since a version of the former run would keep the
// server.
TEST_CASE("a server that left while a control host restarted is forgotten")
{
    instant const at = instant{} + std::chrono::seconds(1);
    control::membership before = make_membership(7);
    for (std::size_t i = 0; i < 3; ++i)
        before = control::apply_announcement(
            std::move(before), announcement_of(i, true), at);
    single_node node;
    give_answer(node, answer_to(before, next_renewal(node)));
    REQUIRE(known_servers(node).size() == 3);

    control::membership after = make_membership(8);
    after = control::apply_announcement(
        std::move(after), announcement_of(0, true), at);
    backend_server other = numbered_server(9);
    other.service_ = name_literal<service_name>("payments");
    for (int i = 0; i < 10; ++i)
    {
        renewal_request r = announcement_of(9, false);
        other.slots_ = static_cast<std::uint32_t>(i + 1);
        r.servers_ = {other};
        after = control::apply_announcement(std::move(after), r, at);
    }
    give_answer(node, answer_to(after, next_renewal(node)));
    CHECK(
        as_set(known_servers(node)) ==
        std::set<backend_server>{numbered_server(0)});
}

TEST_CASE("a daemon that is far behind is sent all servers")
{
    control::membership m = make_membership(7);
    instant const at = instant{} + std::chrono::seconds(1);
    for (std::size_t i = 0; i < control::max_removed_servers + 20; ++i)
        m = control::apply_announcement(
            std::move(m), announcement_of(i, true), at);
    renewal_request const known = renewal(7, m.version_);
    for (std::size_t i = 0; i < control::max_removed_servers + 10; ++i)
        m = control::apply_announcement(
            std::move(m), announcement_of(i, false), at);
    renewal_response const a = answer_to(m, known);
    REQUIRE(a.services_.size() == 1);
    CHECK_FALSE(a.services_.front().partial_);
    CHECK(a.services_.front().servers_.size() == 10);
}
