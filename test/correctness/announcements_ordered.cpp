// What backend servers say of themselves may come late: an announcement counts
// only if nothing newer is known of the server, or of its address.
#include <catch2/catch.hpp>

#include <jackdawhall/calls.hpp>

using namespace jackdawhall;
using namespace jackdawhall::calls;
using namespace std::chrono_literals;

namespace
{

class one_daemon
{
public:
    one_daemon()
        : state_(make_state(make_settings(), random_source(7), instant{} + 1s))
    {
        // No server left before its start.
        state_.configuration_.complete_at_ = instant{} + 1s;
    }

    void hear(
        std::string const& id, std::int64_t started, std::int64_t sequence,
        server_state s)
    {
        announcement a;
        a.id_ = id;
        a.service_ = service_name::make("plans").value();
        a.address_ = {"10.0.0.1", 8080};
        a.started_ = started;
        a.sequence_ = sequence;
        a.state_ = s;
        give(a);
    }

    void give(input in)
    {
        state_ = run(std::move(state_), std::move(in), {now_, {}}).state_;
    }

    bool knows(std::string const& id) const
    {
        return state_.local_servers_.contains(id);
    }
    server_state state_of(std::string const& id) const
    {
        return state_.local_servers_.at(id).announcement_.state_;
    }

private:
    static settings make_settings()
    {
        settings s;
        s.self_ = host_name::make("host").value();
        return s;
    }

    instant now_ = instant{} + 2s;
    state state_;
};

} // namespace

TEST_CASE("a late ready does not bring a draining server back")
{
    one_daemon d;
    d.hear("a", 100, 1, server_state::ready);
    d.hear("a", 100, 3, server_state::draining);
    d.hear("a", 100, 2, server_state::ready);
    CHECK(d.state_of("a") == server_state::draining);
}

TEST_CASE("a server that said that it ends stays out")
{
    one_daemon d;
    d.hear("a", 100, 1, server_state::ready);
    d.give(server_deregistered{"a"});
    d.hear("a", 100, 2, server_state::ready);
    CHECK(d.state_of("a") == server_state::draining);
}

TEST_CASE("the same id in a new run of the server counts anew")
{
    one_daemon d;
    d.hear("a", 100, 9, server_state::draining);
    d.hear("a", 200, 1, server_state::ready);
    CHECK(d.state_of("a") == server_state::ready);
    d.hear("a", 100, 10, server_state::draining);
    CHECK(d.state_of("a") == server_state::ready);
}

TEST_CASE("a late announcement does not take an address back")
{
    one_daemon d;
    d.hear("old", 100, 1, server_state::ready);
    d.hear("new", 200, 1, server_state::ready);
    CHECK_FALSE(d.knows("old"));
    d.hear("old", 100, 2, server_state::ready);
    CHECK_FALSE(d.knows("old"));
    CHECK(d.knows("new"));
}
