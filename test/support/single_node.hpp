// One call node that is given its inputs directly. Keeps the effects of the
// last input.
#pragma once

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <jackdawhall/calls.hpp>

namespace jackdawhall::test
{

class single_node
{
public:
    explicit single_node(
        std::uint64_t seed = 7, calls::settings s = make_settings())
        : state_(calls::make_state(std::move(s), random_source(seed), now_))
    {
        // Its control host has told it that no server left before its start.
        state_.configuration_.complete_at_ = now_;
    }

    static host_name self() { return name_literal<host_name>("self"); }
    static host_name control_host()
    {
        return name_literal<host_name>("control");
    }
    static service_name service()
    {
        return name_literal<service_name>("plans");
    }

    static calls::settings make_settings()
    {
        calls::settings s;
        s.self_ = self();
        s.control_hosts_ = {control_host()};
        s.announcement_lifetime_ = std::chrono::hours(24);
        s.retry_budget_policy_.slack_ = 1000;
        s.retry_budget_policy_.nested_retry_cost_ = 1;
        return s;
    }

    calls::state const& state() const { return state_; }
    instant now() const { return now_; }

    void give(calls::input in)
    {
        calls::node_step next =
            calls::run(std::move(state_), std::move(in), {now_, {}});
        state_ = std::move(next.state_);
        effects_ = std::move(next.effects_);
    }
    void give(host_name const& from, message m)
    {
        give(received{from, std::move(m)});
    }
    // Lets time pass, then the timer of the node.
    void pass(duration d)
    {
        now_ += d;
        give(timer_expired{});
    }

    // A server on the host of this node announces itself.
    void announce(std::string const& id, std::int64_t started = 1)
    {
        calls::announcement a;
        a.id_ = id;
        a.service_ = service();
        a.address_ = {"10.0.0.1", 8080};
        a.slots_ = 1000;
        a.started_ = started;
        a.sequence_ = 1;
        give(a);
    }
    // Makes an open route to the servers known, as a control host does.
    void learn(
        std::vector<backend_server> servers,
        repetition repeated = repetition::repeatable,
        duration timeout = std::chrono::seconds(5))
    {
        route_v2 plans;
        plans.path_prefix_ = "/plans";
        plans.services_ = {{service(), 1}};
        plans.open_ = true;
        plans.repetition_ = repeated;
        plans.timeout_ms_ =
            std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
                .count();
        plans.attempts_ = 2;
        renewal_response r;
        r.incarnation_ = state_.incarnation_;
        r.stamp_ = now_.time_since_epoch().count();
        r.confirmed_ = true;
        r.update_ = {
            0,
            state_.configuration_.revision_ + 1,
            true,
            {{{"route", "plans", 2}, 1, plans}},
            {}};
        r.services_ = {{service(), std::move(servers)}};
        give(control_host(), r);
    }
    static backend_server
    server_at(host_name const& host, std::uint64_t incarnation)
    {
        backend_server server;
        server.host_ = host;
        server.service_ = service();
        server.id_ = "server-of-" + host.str();
        server.incarnation_ = incarnation;
        return server;
    }

    // Messages of a type that the last input made the node send.
    template <class Message>
    std::vector<Message> sent() const
    {
        std::vector<Message> found;
        for (calls::effect const& e : effects_)
        {
            send const* s = std::get_if<send>(&e);
            Message const* m =
                s ? std::get_if<Message>(&s->outgoing_.message_) : nullptr;
            if (m)
                found.push_back(*m);
        }
        return found;
    }
    // Effects of a type that the last input had.
    template <class Effect>
    std::vector<Effect> made() const
    {
        std::vector<Effect> found;
        for (calls::effect const& e : effects_)
        {
            if (Effect const* one = std::get_if<Effect>(&e))
                found.push_back(*one);
        }
        return found;
    }

private:
    instant now_ = instant{} + std::chrono::hours(1);
    calls::state state_;
    calls::effects effects_;
};

} // namespace jackdawhall::test
