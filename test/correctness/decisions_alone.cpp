// A front end of its own, without wire, loop, journal, GLib or Thrift: one host
// that controls itself and answers a request. Linking is the test.
#include <cstdio>
#include <cstdlib>
#include <deque>

#include <jackdawhall/calls.hpp>
#include <jackdawhall/control.hpp>

namespace
{

using namespace jackdawhall;

template <class Effects, class Function>
void each_message(Effects const& effects, Function f)
{
    for (auto const& e : effects)
    {
        if (send const* s = std::get_if<send>(&e))
            f(s->outgoing_.message_);
    }
}

template <class Store>
std::optional<control::store_number> number_of(control::effect const& e)
{
    Store const* s = std::get_if<Store>(&e);
    return s ? std::optional(s->number_) : std::nullopt;
}

} // namespace

int main()
{
    host_name const self = name_literal<host_name>("alone");
    control::consensus_settings c;
    c.self_ = self;
    c.control_hosts_ = {self};
    control::recovered_state disk;
    disk.self_ = {self, 1};
    disk.entries_ = {{1, 1, voters_command{{disk.self_}, {}}}};
    disk.hard_state_.term_ = 1;
    instant now{std::chrono::seconds(1)};
    control::state node = control::make_state(c, disk, random_source(1), now);
    calls::settings s;
    s.self_ = self;
    s.control_hosts_ = {self};
    calls::state calls_node = calls::make_state(s, random_source(2), now);

    for (int i = 0; i < 100 && !calls_node.configuration_.fresh_until_; ++i)
    {
        now += std::chrono::milliseconds(100);
        clock_reading const at{now, {}};
        calls::node_step up =
            calls::run(std::move(calls_node), timer_expired{}, at);
        calls_node = std::move(up.state_);
        std::deque<control::input> inputs{timer_expired{}};
        each_message(
            up.effects_,
            [&](message const& m) {
                inputs.push_back(received{self, m});
            });
        while (!inputs.empty())
        {
            control::node_step step =
                control::run(std::move(node), inputs.front(), at);
            inputs.pop_front();
            node = std::move(step.state_);
            for (control::effect const& e : step.effects_)
            {
                for (auto const& number :
                     {number_of<control::store_hard_state>(e),
                      number_of<control::store_entries>(e)})
                {
                    if (number)
                        inputs.push_back(control::stores_synced{*number});
                }
            }
            each_message(
                step.effects_,
                [&](message const& m)
                {
                    calls_node =
                        calls::run(std::move(calls_node), received{self, m}, at)
                            .state_;
                });
        }
    }
    bool const fresh = calls_node.configuration_.fresh_until_.has_value();
    std::printf(
        "fresh without any front end library: %s\n", fresh ? "yes" : "no");
    return fresh ? EXIT_SUCCESS : EXIT_FAILURE;
}
