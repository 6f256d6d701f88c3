// What a leader sends to one peer is bounded in bytes: each message, and what
// is not yet acknowledged.
#include <catch2/catch.hpp>

#include <jackdawhall/control.hpp>

using namespace jackdawhall;
using namespace jackdawhall::control;

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t entry_bytes = 400000;
constexpr std::size_t message_limit = std::size_t{4} << 20;
constexpr std::size_t unacknowledged_limit = std::size_t{24} << 20;

voter voter_named(std::string const& name)
{
    return {host_name::make(name).value(), 1};
}

recovered_state disk_with(std::uint64_t entries, std::size_t bytes)
{
    recovered_state disk;
    disk.self_ = voter_named("a");
    disk.hard_state_.term_ = 1;
    disk.snapshot_.voters_ = {voter_named("a"), voter_named("b")};
    for (std::uint64_t i = 1; i <= entries; ++i)
    {
        document d;
        d.text_ = std::string(bytes, 't');
        disk.entries_.push_back({i, 1, document_command{std::move(d), {}}});
    }
    return disk;
}

// The leader "a" of the hosts "a" and "b", and what it has sent to "b".
class lone_leader
{
public:
    explicit lone_leader(recovered_state disk)
    {
        consensus_settings settings;
        settings.self_ = disk.self_.host_;
        settings.control_hosts_ = {settings.self_, voter_named("b").host_};
        state_ = make_consensus(
            settings, std::move(disk), random_source{1}, instant{});
        pass(10s);
        take(receive(
            std::move(state_), vote_response{2, voter_named("b"), true, true},
            {now_, {}}));
        take(receive(
            std::move(state_), vote_response{2, voter_named("b"), false, true},
            {now_, {}}));
        REQUIRE(is_leader(state_));
        sent_.clear();
    }

    void pass(duration time)
    {
        now_ += time;
        take(tick(std::move(state_), {now_, {}}));
    }

    void answer(bool success, log_index match)
    {
        append_response m;
        m.term_ = 2;
        m.voter_ = voter_named("b");
        m.success_ = success;
        m.match_index_ = match;
        m.leader_time_ = now_.time_since_epoch().count();
        take(receive(std::move(state_), m, {now_, {}}));
    }

    std::vector<append_request> take_sent() { return std::exchange(sent_, {}); }
    log_index last_index() const { return state_.log_.last_index(); }

private:
    void take(consensus_step step)
    {
        state_ = std::move(step.state_);
        for (effect const& e : step.output_.effects_)
        {
            send const* s = std::get_if<send>(&e);
            append_request const* m =
                s ? std::get_if<append_request>(&s->outgoing_.message_)
                  : nullptr;
            if (m)
                sent_.push_back(*m);
        }
    }

    consensus_state state_;
    std::vector<append_request> sent_;
    instant now_{};
};

std::size_t bytes_of(append_request const& m)
{
    std::size_t total = 0;
    for (log_entry const& entry : m.entries_)
    {
        if (auto const* c = std::get_if<document_command>(&entry.command_))
            total += c->document_.text_.size();
    }
    return total;
}

} // namespace

// An empty host never joined: its first batch was larger than a frame may be.
TEST_CASE("a batch is bounded by its bytes")
{
    lone_leader leader(disk_with(180, entry_bytes));
    leader.answer(false, 0);
    log_index reached = 0;
    while (reached < leader.last_index())
    {
        std::vector<append_request> const sent = leader.take_sent();
        REQUIRE(!sent.empty());
        for (append_request const& m : sent)
        {
            REQUIRE(bytes_of(m) <= message_limit);
            REQUIRE(m.previous_index_ == reached);
            REQUIRE(!m.entries_.empty());
            reached += m.entries_.size();
        }
        leader.answer(true, reached);
    }
}

TEST_CASE("an entry that is larger than a batch is sent alone")
{
    lone_leader leader(disk_with(3, 2 * message_limit));
    leader.answer(false, 0);
    std::vector<append_request> const sent = leader.take_sent();
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().entries_.size() == 1);
}

TEST_CASE("what a peer has not acknowledged is bounded by its bytes")
{
    lone_leader leader(disk_with(180, entry_bytes));
    leader.answer(true, 1);
    leader.answer(false, 1);
    std::size_t total = 0;
    for (int i = 0; i < 60; ++i)
    {
        leader.pass(15ms);
        for (append_request const& m : leader.take_sent())
            total += bytes_of(m);
    }
    leader.pass(200ms);
    CHECK(total > 0);
    CHECK(total < unacknowledged_limit);
}
